package scenario

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	soakFirst = flag.Int("soak.first", 1, "first seed of TestSoak")
	soakCount = flag.Int("soak.count", 2, "number of seeds of TestSoak after the regression seeds")
)

// regressionSeeds once broke a promise. A change of the generator changes their
// scripts.
var regressionSeeds = []int{
	10,   // a flow was refused as not run though its request ran; open, see KNOWN-RED.txt
	25,   // a recovering agent delivered a request from another port than before
	37,   // a full report to a restarted agent was marked as complete too early; also open
	46,   // an agent that was paused refused flows that others had taken
	5049, // a flow was refused as not run though its request ran; open
}

const (
	// soakSteps is the number of faults of a soak.
	soakSteps = 12
	// soakGap bounds the time between the starts of two faults, soakLength that of a
	// fault. Faults overlap, because the gap is shorter. An agent that is away for
	// 10 s counts as lost, and callers send again for 26 s.
	soakGap    = 1500 * time.Millisecond
	soakLength = 4 * time.Second
	// agentsDown is how many agents may be away or recovering at once: a flow is known
	// to its owner and two witnesses.
	agentsDown = 2
	// soakRecovery is how long a target is left alone after a fault: a restarted agent
	// hears of its flows, and a process that just started has its signal handlers.
	soakRecovery = 3 * time.Second
	// balancersDown leaves one balancer to the fabric.
	balancersDown = 2
)

// fault disturbs one target from its start until its end.
type fault struct {
	// target is held until the fault ends, so that faults of one target don't overlap.
	target string
	start  []string
	end    []string
	// needsStore is set when the fault cannot start while the store fails.
	needsStore bool
}

// running is a fault that has started.
type running struct {
	fault
	ends time.Duration
}

var dataCentres = []string{"sapporo-a", "sapporo-b", "asahikawa"}

// soak draws a script. Time passes only in its "await elapsed" commands.
type soak struct {
	random *rand.Rand
	lines  []string
	now    time.Duration
	active []running
}

func (s *soak) emit(lines ...string) { s.lines = append(s.lines, lines...) }

func (s *soak) pass(wait time.Duration) {
	s.now += wait
	s.emit(fmt.Sprintf("await elapsed %d", wait.Milliseconds()))
}

// count returns how many active faults have a target with a prefix.
func (s *soak) count(prefix string) (count int) {
	for _, r := range s.active {
		if strings.HasPrefix(r.target, prefix) {
			count++
		}
	}
	return count
}

// finish ends the faults whose time is over, or all.
func (s *soak) finish(all bool) {
	var kept []running
	for _, r := range s.active {
		if all || r.ends <= s.now {
			s.emit(r.end...)
			if !strings.HasPrefix(r.target, "proxy") && len(r.end) > 0 {
				kept = append(kept, running{fault: fault{target: r.target}, ends: s.now + soakRecovery})
			}
			continue
		}
		kept = append(kept, r)
	}
	s.active = kept
}

// begin starts a fault that fits those that are active, and reports whether it did.
func (s *soak) begin(f fault) bool {
	switch {
	case s.count(f.target) > 0,
		strings.HasPrefix(f.target, "studio") && s.count("studio") >= agentsDown,
		strings.HasPrefix(f.target, "balancer") && s.count("balancer") >= balancersDown,
		f.needsStore && s.count("store")+s.count("proxy store") > 0:
		return false
	}
	s.emit(f.start...)
	if len(f.end) > 0 {
		s.active = append(s.active, running{fault: f, ends: s.now + time.Duration(s.random.Int64N(int64(soakLength)))})
	}
	return true
}

// draw returns one of the faults.
func (s *soak) draw() fault {
	i := s.random.IntN(len(dataCentres))
	balancer, host := fmt.Sprintf("balancer-%d", i+1), fmt.Sprintf("studio-%d", i+1)
	startBalancer := []string{fmt.Sprintf("balancer %s %s", balancer, dataCentres[i]), "fabric add " + balancer}
	startAgent := []string{fmt.Sprintf("agent %s studio %s 2", host, dataCentres[i])}
	proxies := []string{"store", "balancer-1.control", "balancer-2.control", "balancer-3.control"}
	p := proxies[s.random.IntN(len(proxies))]
	modes := []proxyMode{proxyDelays, proxySilent, proxyOneWay, proxyReset}
	storeFaults := []string{"store down", "store delay 300", "store lose 5"}
	faults := []fault{
		{balancer, []string{"signal KILL " + balancer, "fabric remove " + balancer, "await exit " + balancer + " -1"}, startBalancer, false},
		{balancer, []string{"signal TERM " + balancer, "await log " + balancer + " leaving", "fabric remove " + balancer, "await exit " + balancer + " 0"}, startBalancer, false},
		{balancer, []string{"signal STOP " + balancer}, []string{"signal CONT " + balancer}, false},
		{host, []string{"signal KILL " + host, "await exit " + host + " -1"}, startAgent, false},
		{host, []string{"signal USR1 " + host, "await exit " + host + " 0"}, startAgent, false},
		{host, []string{"signal STOP " + host}, []string{"signal CONT " + host}, false},
		{"store", []string{storeFaults[s.random.IntN(len(storeFaults))]}, []string{"store up"}, false},
		{
			"fabric", []string{fmt.Sprintf(`fabric faults '{"Lost": %d, "Duplicated": %d, "Delayed": %d, "MaxDelayMS": %d}'`,
				s.random.IntN(30), s.random.IntN(100), s.random.IntN(200), 1+s.random.IntN(400))}, []string{"fabric faults '{}'"}, false,
		},
		{"proxy " + p, []string{fmt.Sprintf("proxy %s %s", p, modes[s.random.IntN(len(modes))])}, []string{"proxy " + p + " pass"}, false},
		{
			"config", []string{fmt.Sprintf("cp edit/weight-%d.json config/50-weight.json", 1+s.random.IntN(2)), "apply config"}, nil, true,
		},
	}
	return faults[s.random.IntN(len(faults))]
}

// soakScript returns the script of a seed.
func soakScript(seed int) string {
	s := &soak{random: rand.New(rand.NewPCG(uint64(seed), 0))}
	for _, name := range []string{"store", "balancer-1.control", "balancer-2.control", "balancer-3.control"} {
		s.emit("proxy " + name + " pass")
	}
	s.emit("store start", "apply config", "fabric start studio=203.0.113.10:7000")
	for i := range dataCentres {
		s.emit(fmt.Sprintf("backend start studio-%d 1 2", i+1))
	}
	for i, where := range dataCentres {
		s.emit(fmt.Sprintf("balancer balancer-%d %s", i+1, where))
	}
	for i, where := range dataCentres {
		s.emit(fmt.Sprintf("agent studio-%d studio %s 2", i+1, where))
	}
	s.emit("settled studio 3", "fabric add balancer-1 balancer-2 balancer-3",
		"load flows -rate 30 -length 80 -interval 50 -flows 500 -retransmissions 12", "await runs studio-1 >= 20")
	for range soakSteps {
		for started := false; !started; {
			started = s.begin(s.draw())
		}
		s.pass(time.Duration(s.random.Int64N(int64(soakGap))))
		s.finish(false)
	}
	s.finish(true)
	s.emit(
		"settled studio 3", "finish", "expect violations == 0", "expect runs_doubled == 0", "expect refused_but_run == 0",
		"expect answers_wrong == 0", "expect packets_misdelivered == 0", "expect flows_completed >= 100", soakFiles,
	)
	return strings.Join(s.lines, "\n")
}

const soakFiles = `
-- config/10-services.json --
{
  "services": {
    "studio": {
      "addresses": [{"address": "203.0.113.10:7000", "protocol": "udp"}],
      "first_packet": "prefix",
      "prefix_hex": "41474c46",
      "refusal_hex": "524546555345",
      "queue_deadline_ms": 2000,
      "drain_time_ms": 8000
    }
  }
}
-- edit/weight-1.json --
{"hosts": {"studio-1": {"service": "studio", "weight": 500}}}
-- edit/weight-2.json --
{"hosts": {"studio-2": {"service": "studio", "weight": 2000}}}
`

// Guards against broken promises under faults in random series that overlap: the
// roles run as separate processes that are killed, paused and restarted, their
// control connections are delayed, held back and reset, and the store fails. No
// host dies, so that no established flow may break.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak starts processes")
	}
	dir := t.TempDir()
	var files []string
	seeds := append([]int(nil), regressionSeeds...)
	for i := range *soakCount {
		seeds = append(seeds, *soakFirst+i)
	}
	for _, seed := range seeds {
		file := filepath.Join(dir, fmt.Sprintf("seed-%d.txtar", seed))
		if err := os.WriteFile(file, []byte(soakScript(seed)), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	testscript.Run(t, testscript.Params{
		Files: files, Setup: setup, Cmds: scriptCommands(), RequireExplicitExec: true, RequireUniqueNames: true,
	})
}
