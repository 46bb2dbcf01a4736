package scenario

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/load/generator"
	"agateramp/internal/load/history"
	"agateramp/internal/process/group"
)

// firstPort is below the range that the system takes ports of sockets from.
const firstPort = 10000

// logTail is how much of each log a failed script prints.
const logTail = 64_000

type fleetKey struct{}

// fleet is what a script has started.
type fleet struct {
	ip      string
	work    string
	history *history.History
	loads   map[string]*runningLoad
	tasks   *group.Group

	mu        sync.Mutex
	processes map[string]*process
	ports     map[string]int
	// machines holds the last part of the IP address of each machine.
	machines map[string]int
	// roles are the roles that were started, by process name.
	roles    map[string]string
	services map[string]*service
	// proxies stand before the addresses with these names.
	proxies map[string]*proxy
	// definitions are the services of the configuration last applied.
	definitions map[string]*controlpb.Service
	summary     any
}

type runningLoad struct {
	generator *generator.Generator
	ended     chan error
}

type process struct {
	command *exec.Cmd
	log     string
	ended   chan struct{}
	// code is set before ended is closed.
	code int
}

func newFleet(ip, work string) *fleet {
	return &fleet{
		ip: ip, work: work, history: history.New(), loads: make(map[string]*runningLoad), tasks: newGroup(),
		processes: make(map[string]*process), ports: make(map[string]int), roles: make(map[string]string), machines: make(map[string]int), services: make(map[string]*service), proxies: make(map[string]*proxy),
		definitions: make(map[string]*controlpb.Service),
	}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// address returns the address with a name such as studio-1.data, the same one for
// each call. Each machine has an IP address of its own: the sockets that one opens
// on any port must not take the ports of another's flows.
func (f *fleet) address(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	port, ok := f.ports[name]
	if !ok {
		port = firstPort + len(f.ports)
		f.ports[name] = port
	}
	machine, _, _ := strings.Cut(name, ".")
	last, ok := f.machines[machine]
	if !ok {
		last = 2 + len(f.machines)
		f.machines[machine] = last
	}
	return fmt.Sprintf("%s.%d:%d", strings.TrimSuffix(f.ip, ".1"), last, port)
}

func (f *fleet) logFile(name string) string { return filepath.Join(f.work, name+".log") }

// start starts a process under a name; its output is appended to NAME.log.
func (f *fleet) start(name string, command ...string) (err error) {
	if p := f.process(name); p != nil && !p.hasEnded() {
		return fmt.Errorf("%s is running", name)
	}
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	out, err := os.OpenFile(f.logFile(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p := &process{command: exec.Command(path, command[1:]...), log: out.Name(), ended: make(chan struct{})}
	p.command.Dir, p.command.Stdout, p.command.Stderr = f.work, out, out
	// The process must not outlive a test binary that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.command.Start(); err != nil {
		return err
	}
	f.tasks.Go(name, p.wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

func (f *fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// end kills every process and waits for it.
func (f *fleet) end() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		if !p.hasEnded() {
			_ = p.command.Process.Kill()
		}
	}
	f.tasks.Stop()
	_ = f.tasks.Wait()
}

// report fails the script for a data race of a process, and prints the logs of a
// failed one.
func (f *fleet) report(t testscript.T) {
	test, ok := t.(interface {
		Failed() bool
		Errorf(format string, args ...any)
	})
	if !ok {
		return
	}
	var logs []string
	for name, p := range f.processes {
		text, _ := os.ReadFile(p.log)
		if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("panic: ")) {
			test.Errorf("%s raced or panicked", name)
		}
		logs = append(logs, fmt.Sprintf("== %s\n%s", name, text[max(0, len(text)-logTail):]))
	}
	if test.Failed() {
		slices.Sort(logs)
		t.Log(strings.Join(logs, "\n"))
		t.Log(fmt.Sprintf("summary: %v", f.summary))
	}
}

// cmdStart starts a process in the background: start NAME COMMAND ARGUMENT...
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "start NAME COMMAND ARGUMENT...")
	ts.Check(fleetOf(ts).start(args[0], args[1:]...))
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM, "USR1": syscall.SIGUSR1,
}

// cmdSignal sends a signal to processes: signal SIGNAL NAME...
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "signal SIGNAL NAME...")
	number, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, name := range args[1:] {
		p := fleetOf(ts).process(name)
		if p == nil || p.hasEnded() {
			ts.Fatalf("%s does not run", name)
		}
		ts.Check(p.command.Process.Signal(number))
	}
}

var marks = map[string]history.MarkKind{
	"leaving": history.MarkLeaving, "drain-known": history.MarkDrainKnown, "returned": history.MarkReturned,
	"stopped": history.MarkStopped, "died": history.MarkDied,
}

// cmdMark records an event of hosts for the checks: mark KIND HOST...
func cmdMark(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "mark KIND HOST...")
	kind, ok := marks[args[0]]
	if !ok {
		ts.Fatalf("unknown mark %s", args[0])
	}
	for _, name := range args[1:] {
		fleetOf(ts).history.Mark(history.Mark{Kind: kind, Name: name, At: time.Now()})
	}
}
