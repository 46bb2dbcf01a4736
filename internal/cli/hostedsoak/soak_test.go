package hostedsoak

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	soakFirst  = flag.Int("soak.first", 1, "first seed of TestHostedSoak")
	soakCount  = flag.Int("soak.count", 2, "number of seeds of TestHostedSoak after the regression seeds")
	soakLength = flag.Duration("soak.length", scriptLength, "time in which faults of a seed begin; regression seeds hold for the default")
	soakKeep   = flag.Bool("soak.keep", false, "keep the logs of seeds that pass, too")
	soakRace   = flag.Bool("soak.race", false, "build the program with the race detector")
)

// hostedRegressionSeeds once broke a promise. A change of draw changes their scripts.
var hostedRegressionSeeds = []int{}

const (
	// recoveredShare is the share of operations that must be served after the recovery.
	recoveredShare = 0.25
	// calmShare is the share from which the deployment counts as recovered early.
	calmShare  = 0.9
	calmWindow = time.Second
	// routeTries is how often a route is tried that is not served. Cold hosts refuse some.
	routeTries = 3
	// overloadMargin is by how much the share of served operations of a class may be below
	// that of a lower priority, for the chance in some hundred operations. Fewer than
	// overloadOwed operations say nothing.
	overloadMargin = 0.05
	overloadOwed   = 50
)

// Guards against broken promises of the programs of the hosting platform under faults in
// series that overlap: they run as separate processes that are killed, suspended and
// restarted, their links and the store fail, hosts come and go, configurations change, data
// centres are evacuated and callers ask for more than the hosts take.
func TestHostedSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak starts processes")
	}
	program := buildProgram(t, *soakRace)
	seeds := append([]int(nil), hostedRegressionSeeds...)
	for i := range *soakCount {
		seeds = append(seeds, *soakFirst+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakSeed(t, seed, program) })
	}
}

// soakSeed plays the script of a seed. The logs of a failed one are kept.
func soakSeed(t *testing.T, seed int, program string) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("hosted-soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFleet(dir, program)
	stopped := false
	stop := func(gracefully bool) {
		if !stopped {
			stopped = true
			f.stop(gracefully)
		}
	}
	defer stop(false)
	if err == nil {
		err = f.start()
	}
	if err != nil {
		t.Fatalf("%v; logs are in %s", err, dir)
	}
	f.callers.setFactor(1)
	f.callers.start()
	time.Sleep(calmWindow)
	f.play(draw(seed, *soakLength))
	f.recover()
	f.checkRoutes()
	f.callers.setFactor(0)
	f.checkOverloads()
	stop(true)
	f.note("%s", f.summary())
	t.Logf("seed %d: %s", seed, f.summary())
	for _, v := range f.checker.violations {
		f.note("VIOLATION %s", v)
		t.Error(v)
	}
	if t.Failed() || *soakKeep {
		t.Logf("logs are in %s", dir)
		return
	}
	_ = os.RemoveAll(dir)
}

// recover waits until callers are served again, and checks that it is in time.
func (f *fleet) recover() {
	healed := time.Now()
	for time.Since(healed) < recoveryTime {
		time.Sleep(calmWindow / 2)
		now := time.Now()
		// Operations that began within the last half second may still be served.
		if s := f.callers.served(nil, now.Add(-calmWindow), now.Add(-calmWindow/2)); s.owed > 0 && s.served >= calmShare {
			break
		}
	}
	from := time.Now()
	f.note("recovered after %v", from.Sub(healed))
	time.Sleep(2 * calmWindow)
	f.checker.recovered(time.Now(), f.callers.served(nil, from, from.Add(calmWindow)))
}

// checkRoutes checks that each balancer serves all routes of the configuration in force.
func (f *fleet) checkRoutes() {
	f.mu.Lock()
	routes := slices.Collect(maps.Keys(f.routes))
	f.mu.Unlock()
	var flows []*callerFlow
	for _, route := range routes {
		flows = append(flows, f.callers.check(time.Now(), route)...)
	}
	var missing string
	for range routeTries {
		time.Sleep(openTimeout)
		if flows, missing = f.callers.checkAgain(time.Now(), flows); missing == "" {
			return
		}
	}
	f.checker.report(time.Now(), "CONFIG", "not served at the end: %s", missing)
}

// checkOverloads compares the priorities of a service in each time of overload, and reports
// what callers got.
func (f *fleet) checkOverloads() {
	for _, s := range f.overloads {
		var text []string
		for i, k := range classes {
			high := f.callers.served(k, s.from, s.to)
			text = append(text, fmt.Sprintf("%s %.2f of %d", k.name, high.served, high.owed))
			for _, low := range classes[i+1:] {
				f.checker.prioritised(time.Now(), high, f.callers.served(low, s.from, s.to))
			}
		}
		f.report += fmt.Sprintf("; in %v of overload %s", s.to.Sub(s.from).Round(time.Millisecond), strings.Join(text, ", "))
	}
}

// note appends a line to the record of the soak.
func (f *fleet) note(format string, args ...any) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := os.OpenFile(filepath.Join(f.dir, "soak.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer file.Close()
	fmt.Fprintf(file, "%s %8.3f %s\n", now.Format("15:04:05.000"), now.Sub(f.checker.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// summary returns what callers got and what was counted.
func (f *fleet) summary() string {
	var parts []string
	for _, k := range classes {
		s := f.callers.served(k, time.Time{}, time.Now())
		parts = append(parts, fmt.Sprintf("%s %.3f of %d", k.name, s.served, s.owed))
	}
	for _, name := range slices.Sorted(maps.Keys(f.checker.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, f.checker.counts[name]))
	}
	return strings.Join(parts, ", ") + f.report
}
