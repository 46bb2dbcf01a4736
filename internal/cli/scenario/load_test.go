package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agateramp/internal/load/generator"
	"agateramp/internal/load/history"
)

func (f *fleet) recordFile(host string) string { return filepath.Join(f.work, host+".runs") }

// records reads what the backend servers wrote, also those that were killed.
func (f *fleet) records(file string) (runs []history.Run) {
	in, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer in.Close()
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var r history.Run
		// The last line of a killed process may be incomplete.
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			runs = append(runs, r)
		}
	}
	return runs
}

// recorded counts the runs that a backend server started.
func (f *fleet) recorded(host string) (count uint64) {
	for _, r := range f.records(f.recordFile(host)) {
		count = max(count, r.Number)
	}
	return count
}

// loadFlags are the flags of load with the values that scenarios need most.
type loadFlags struct {
	service, adapter, caller                              string
	tcp                                                   bool
	flows, concurrency, length, interval, retransmissions int
	rate                                                  float64
	work, nextWork                                        uint
	time                                                  time.Duration
}

func parseLoad(args []string) (l loadFlags, err error) {
	set := flag.NewFlagSet("load", flag.ContinueOnError)
	set.StringVar(&l.service, "service", "studio", "name of the service")
	set.StringVar(&l.adapter, "adapter", "datagram", "datagram or geneve")
	set.StringVar(&l.caller, "caller", "198.51.100.1", "address of callers behind geneve")
	set.BoolVar(&l.tcp, "tcp", false, "TCP flows behind geneve")
	set.IntVar(&l.flows, "flows", 0, "number of flows")
	set.IntVar(&l.concurrency, "concurrency", 200, "most flows at once")
	set.IntVar(&l.length, "length", 20, "requests of a flow")
	set.IntVar(&l.interval, "interval", 50, "milliseconds between requests")
	set.IntVar(&l.retransmissions, "retransmissions", 8, "most retransmissions")
	set.Float64Var(&l.rate, "rate", 20, "flows opened per second")
	set.UintVar(&l.work, "work", 2000, "microseconds of work of the first request")
	set.UintVar(&l.nextWork, "next-work", 0, "microseconds of work of the others")
	set.DurationVar(&l.time, "for", 0, "when to end")
	return l, set.Parse(args)
}

// cmdLoad runs load in the background: load NAME [FLAG...]. All loads of a script
// share one history.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "load NAME [FLAG...]")
	f := fleetOf(ts)
	l, err := parseLoad(args[1:])
	ts.Check(err)
	service := f.definitions[l.service]
	if service == nil {
		ts.Fatalf("no configuration with a service %q was applied", l.service)
	}
	transport, err := f.transport(l)
	ts.Check(err)
	c := generator.Config{
		Transport: transport, History: f.history, Service: service.GetId(), Idempotent: service.GetIdempotent(),
		Flows: l.flows, Rate: l.rate, Concurrency: l.concurrency, Length: l.length, IntervalMS: l.interval,
		WorkMicros: uint32(l.work), NextWorkMicros: uint32(l.nextWork), BodySize: 100, Refusal: service.GetRefusal(),
		Retransmissions: l.retransmissions, Seed: uint64(len(f.loads) + 1),
	}
	if l.time > 0 {
		c.Until = time.Now().Add(l.time)
	}
	g, err := generator.New(c)
	ts.Check(err)
	load := &runningLoad{generator: g, ended: make(chan error, 1)}
	f.loads[args[0]] = load
	f.tasks.Go("load", func(ctx context.Context) error {
		_, err := g.Run(ctx)
		load.ended <- err
		return nil
	})
}

func (f *fleet) transport(l loadFlags) (generator.Transport, error) {
	if l.adapter == "geneve" {
		return generator.NewGeneve(generator.GeneveConfig{
			Listen: netip.MustParseAddrPort(f.address("caller." + l.caller)), Fabric: netip.MustParseAddrPort(f.address("fabric.geneve")),
			Service: f.services[l.service].address, TCP: l.tcp, Caller: netip.MustParseAddr(l.caller), Group: f.tasks,
		})
	}
	return generator.NewDatagram(netip.MustParseAddrPort(f.address("fabric." + l.service)))
}

// liveSummary returns the summary of all loads so far.
func (f *fleet) liveSummary() any {
	return asJSON(history.Summarize(f.history, nil))
}

func asJSON(summary history.Summary) (value any) {
	encoded, err := json.Marshal(summary)
	if err != nil {
		return err.Error()
	}
	if err = json.Unmarshal(encoded, &value); err != nil {
		return err.Error()
	}
	return value
}

// cmdFinish waits for all loads, adds the records of the backend servers to what
// callers saw and prints the summary.
func cmdFinish(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "finish")
	f := fleetOf(ts)
	for _, load := range f.loads {
		ts.Check(<-load.ended)
		load.ended <- nil
	}
	files, err := filepath.Glob(filepath.Join(f.work, "*.runs"))
	ts.Check(err)
	for _, file := range files {
		for _, r := range f.records(file) {
			f.history.RecordRun(r)
		}
	}
	f.history.Close(time.Now())
	f.summary = asJSON(history.Summarize(f.history, nil))
	encoded, err := json.MarshalIndent(f.summary, "", "  ")
	ts.Check(err)
	ts.Logf("%s", encoded)
}

// cmdExpect compares a value of the summary that finish printed:
// expect PATH OP VALUE.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "expect PATH OP VALUE")
	if ok, seen := compareAt(fleetOf(ts).summary, args); !ok {
		ts.Fatalf("expect %v: it is %s", args, seen)
	}
}
