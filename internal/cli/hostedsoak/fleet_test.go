package hostedsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// The size of the deployment: 15 processes.
const (
	balancersPerDC = 2
	callersPerDC   = 2
	// agentClass is the class of all agents; balancers have that of their data centre.
	agentClass = 3
	classCount = 4
	// networks is how many loopback networks fleets try.
	networks = 50 * 250
)

var (
	dataCentres = []string{"east", "north", "south"}
	// hostServices are the services of the hosts of a data centre.
	hostServices = []string{studio, studio, archive}
)

// fleet is a deployment on loopback addresses of its own, with all stand-ins.
type fleet struct {
	dir, program string
	tasks        *group.Group
	client       *http.Client
	network      int
	lock         net.PacketConn
	links        *links
	store        *metadataStore
	checker      *checker
	callers      *callers
	balancers    []*process
	machines     []*machine
	// homes are the data centres of callers.
	homes map[netip.Addr]string

	// mu guards the fields below, the state of the operator.
	mu        sync.Mutex
	version   int
	routes    map[netip.AddrPort]string
	timeoutMS int
	evacuated map[string]bool
	// overloads are the times of overload.
	overloads []span
	// report is what callers got under overload.
	report string
}

// buildProgram builds the program of the deployment.
func buildProgram(t *testing.T, race bool) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "agateramp-hosted")
	arguments := []string{"build", "-o", path}
	if race {
		arguments = append(arguments, "-race")
	}
	if output, err := exec.Command("go", append(arguments, "agateramp/cmd/agateramp-hosted")...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// address returns the loopback address of the fleet that ends with last.
func (f *fleet) address(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(200 + f.network/250), byte(1 + f.network%250), byte(last)})
}

// claim takes a network that no other process uses for a fleet.
func (f *fleet) claim() (err error) {
	for f.network = os.Getpid() % networks; ; f.network = (f.network + 1) % networks {
		f.lock, err = net.ListenPacket("udp4", netip.AddrPortFrom(f.address(1), storePort).String())
		if !isInUse(err) {
			return err
		}
	}
}

func isInUse(err error) bool {
	return err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error())
}

// newFleet lays out a deployment, opens all sockets of the stand-ins and starts them. It
// starts no process.
func newFleet(dir, program string) (f *fleet, err error) {
	now := time.Now()
	f = &fleet{
		dir: dir, program: program, tasks: group.New(context.Background()), checker: newChecker(now), homes: make(map[netip.Addr]string),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		routes: make(map[netip.AddrPort]string), timeoutMS: 2000, evacuated: make(map[string]bool),
	}
	f.links = newLinks(f.tasks)
	if f.store, err = newStore(); err != nil {
		return f, err
	}
	f.callers = &callers{
		f: f, sockets: make(map[netip.AddrPort]*net.UDPConn), flows: make(map[netip.AddrPort]*callerFlow),
		idle: make(map[*class][]*callerFlow), due: make(map[*class]time.Time),
	}
	if err = f.claim(); err != nil {
		return f, err
	}
	for i, dc := range dataCentres {
		if err = f.layOut(i, dc); err != nil {
			return f, err
		}
	}
	if err = f.links.start(classCount); err != nil {
		return f, err
	}
	f.tasks.Go("store end", func(ctx context.Context) error {
		<-ctx.Done()
		return f.store.server.Close()
	})
	f.tasks.Every("hosts tick", tickTime, func() {
		for _, m := range f.machines {
			if h := m.current(); h != nil {
				h.tick(time.Now())
			}
		}
	})
	for _, b := range f.balancers {
		f.tasks.Every("readiness", 500*time.Millisecond, func() { b.poll(f.client) })
	}
	for _, k := range classes {
		f.routes[k.route()] = k.service
	}
	f.configure(func() {})
	return f, nil
}

// layOut adds the machines of a data centre.
func (f *fleet) layOut(i int, dc string) (err error) {
	for n := range balancersPerDC {
		p, err := f.newProcess(fmt.Sprintf("balancer-%s-%d", dc, n), "balancer", dc, uint16(i), f.address(10+10*i+n), "")
		if err != nil {
			return err
		}
		f.balancers = append(f.balancers, p)
	}
	for n, service := range hostServices {
		address := f.address(50 + 10*i + n)
		p, err := f.newProcess(fmt.Sprintf("agent-%s-%d", dc, n), "agent", dc, agentClass, address, service)
		if err != nil {
			return err
		}
		f.machines = append(f.machines, &machine{f: f, service: service, agent: p})
	}
	for n := range callersPerDC {
		address := f.address(100 + 10*i + n)
		f.homes[address] = dc
		if err = f.callers.listen(address, classCount); err != nil {
			return err
		}
	}
	for _, p := range f.processes() {
		if p.dataCentre != dc {
			continue
		}
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(p.address, storePort).String())
		if err != nil {
			return err
		}
		f.tasks.Go("store", func(context.Context) error {
			_ = f.store.server.Serve(listener)
			return nil
		})
	}
	return nil
}

// processes returns all processes.
func (f *fleet) processes() (all []*process) {
	all = append(all, f.balancers...)
	for _, m := range f.machines {
		all = append(all, m.agent)
	}
	return all
}

// configure writes the operator's configuration after a change of it.
func (f *fleet) configure(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.version += 2
	f.writeOperatorKeys()
	f.checker.configAcked(time.Now(), f.version, maps.Clone(f.routes))
}

// evacuate evacuates a data centre, or takes it back.
func (f *fleet) evacuate(dc string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[dc] = evacuated
	if !evacuated {
		// New flows are allowed from the moment in which the order to take it back is sent.
		f.checker.evacuationAcked(time.Now(), dc, false)
	}
	f.writeOperatorKeys()
	if evacuated {
		f.checker.evacuationAcked(time.Now(), dc, true)
	}
}

// rewrite writes the operator's keys again, after the store came back from a copy.
func (f *fleet) rewrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeOperatorKeys()
}

// writeOperatorKeys writes the configuration and the evacuations that differ in the store.
// f.mu must be held.
func (f *fleet) writeOperatorKeys() {
	routes := []map[string]any{}
	for _, route := range slices.SortedFunc(maps.Keys(f.routes), netip.AddrPort.Compare) {
		entry := map[string]any{
			"name": route.String(), "hostname": route.Addr().String(), "prefix": fmt.Sprintf("/%d/", route.Port()), "service": f.routes[route],
			"type": "safe", "timeout_ms": f.timeoutMS, "slo_ms": 400, "priority": 1,
		}
		for _, k := range classes {
			if k.route() == route {
				entry["timeout_ms"], entry["slo_ms"], entry["priority"] = k.timeout.Milliseconds(), k.objective.Milliseconds(), k.priority
			}
		}
		routes = append(routes, entry)
	}
	services := []map[string]any{{"name": studio, "cold_per_s": coldRate}, {"name": archive, "cold_per_s": coldRate}}
	value, err := json.Marshal(map[string]any{"version": f.version, "routes": routes, "services": services, "limits": map[string]any{"idle_timeout_ms": idleTimeout.Milliseconds()}})
	if err != nil {
		panic(err)
	}
	writes := []store.Write{{Key: "op/config", Value: value}}
	for _, dc := range dataCentres {
		writes = append(writes, store.Write{Key: "op/evacuate/" + dc, Value: []byte("{}"), Delete: !f.evacuated[dc]})
	}
	writes = slices.DeleteFunc(writes, func(w store.Write) bool {
		e, _, _ := f.store.data.Get(context.Background(), w.Key)
		return e == nil && w.Delete || e != nil && !w.Delete && bytes.Equal(e.Value, w.Value)
	})
	if _, err = f.store.data.Txn(context.Background(), nil, writes); err != nil {
		panic(err)
	}
}

// start starts all processes and hosts, and waits until callers can be served.
func (f *fleet) start() (err error) {
	var names []string
	for _, p := range f.processes() {
		names = append(names, p.name)
	}
	defer f.disrupt(true, func() {}, names...)()
	for _, p := range f.processes() {
		if err = p.start(); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range f.machines {
		if err = m.startHost("", 0); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(f.balancers, func(b *process) bool { return !b.inRotation() }) {
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("balancers are not ready")
}

// stop ends all processes, as planned if gracefully is set, and all stand-ins.
func (f *fleet) stop(gracefully bool) {
	ends := group.New(context.Background())
	for _, p := range f.processes() {
		ends.Go("end", func(context.Context) error {
			p.signal(syscall.SIGCONT)
			if gracefully {
				p.terminate()
			}
			p.kill()
			p.checkOutput()
			return nil
		})
	}
	_ = ends.Wait()
	f.tasks.Stop()
	for _, m := range f.machines {
		if h := m.current(); h != nil {
			h.crash()
		}
	}
	for _, conn := range f.callers.sockets {
		_ = conn.Close()
	}
	f.links.close()
	if f.lock != nil {
		_ = f.lock.Close()
	}
	_ = f.tasks.Wait()
}
