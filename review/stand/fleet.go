package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, from the root of the repository.
const program = "target/agateramp-hosted"

// fleet is a small deployment on loopback addresses: the store, one balancer, and
// machines with a host and an agent each.
type fleet struct {
	record  *record
	folder  string
	network [2]byte
	// The ports are the same on all machines.
	packetPort, readyPort, controlPort, outboundPort, appPort, peerPort, storePort uint16
	store                                                                          *store
	caller                                                                         *caller
	balancer                                                                       *process

	// mu guards the fields below.
	mu        sync.Mutex
	processes []*process
	sentAt    map[openingCopy]time.Time
	takenBy   []taken
}

// openingCopy is one copy of the opening packet of a flow.
type openingCopy struct {
	port       uint16
	copyNumber uint32
}

// taken records that a host took the opening packet of a flow.
type taken struct {
	machine    *machine
	port       uint16
	copyNumber uint32
	at         time.Time
}

// machine is a side machine: a host and the agent beside it.
type machine struct {
	f       *fleet
	name    string
	address netip.Addr
	service string
	agent   *process
}

// process is a process of the project's own programs.
type process struct {
	name    string
	role    string
	setting string
	cmd     *exec.Cmd
	ended   chan struct{}
}

func newFleet(r *record) (f *fleet, err error) {
	f = &fleet{record: r, sentAt: make(map[openingCopy]time.Time)}
	f.network = [2]byte{byte(10 + rand.IntN(200)), byte(1 + rand.IntN(250))}
	if f.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	ports := []*uint16{&f.packetPort, &f.readyPort, &f.controlPort, &f.outboundPort, &f.appPort, &f.peerPort, &f.storePort}
	base := uint16(20_000 + 16*rand.IntN(600))
	for i, p := range ports {
		*p = base + uint16(i)
	}
	if f.store, err = startStore(netip.AddrPortFrom(f.address(5), f.storePort).String()); err != nil {
		return nil, err
	}
	f.caller, err = startCaller(f, f.address(9), netip.AddrPortFrom(f.address(1), f.packetPort))
	return f, err
}

// address returns the loopback address of the fleet that ends with last.
func (f *fleet) address(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], last})
}

// target returns the address of the n-th route.
func (f *fleet) target(n byte) netip.AddrPort { return netip.AddrPortFrom(f.address(200+n), 443) }

func (f *fleet) close() {
	f.killAll()
	f.store.close()
	_ = f.caller.conn.Close()
	_ = os.RemoveAll(f.folder)
}

// killAll kills the processes that are left.
func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		select {
		case <-p.ended:
		default:
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
}

func (f *fleet) noteSent(port uint16, copyNumber uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentAt[openingCopy{port, copyNumber}] = time.Now()
}

func (f *fleet) noteTaken(t taken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.at = time.Now()
	f.takenBy = append(f.takenBy, t)
}

// setConfig writes a version of the operator's configuration, in which route n goes to
// the n-th service. A service of "" leaves the route out.
func (f *fleet) setConfig(version int, services ...string) {
	routes := []map[string]any{}
	for n, service := range services {
		if service != "" {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("route-%d", n), "hostname": f.target(byte(n)).Addr().String(), "prefix": "/443/", "service": service,
				"type": "unsafe", "timeout_ms": 2500, "slo_ms": 2500, "priority": 1, "attempts": 1,
			})
		}
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15_000}})
	if err != nil {
		panic(err)
	}
	f.store.put("op/config", value)
	f.record.logf("operator: version %d is acknowledged, routes to %q", version, services)
}

// settings returns the settings file of a process, in the platform's format.
func (f *fleet) settings(name, role, class string, address netip.Addr, service string) string {
	serves, listen, memory, share := `["front", "control"]`, fmt.Sprintf("  control: %q\n", netip.AddrPortFrom(address, f.controlPort)), 284, 0.4
	extra := ""
	if class == "side" {
		serves, memory, share = `["side"]`, 152, 0.24
		listen += fmt.Sprintf("  outbound: %q\n", netip.AddrPortFrom(address, f.outboundPort))
		extra = fmt.Sprintf("service: %q\napp: %q\n", service, netip.AddrPortFrom(address, f.appPort))
	}
	return fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
serves: %s
ip: %q
zone: "z-a"
region: "r-a"
zones:
  z-a: "r-a"
listen:
  packet_addr: %q
  ready_addr: %q
%sport_range:
  - %d
  - %d
seeds:
  - %q
bootstrap: true
limits:
  cpu_share: %v
  cores: 1
  memory_mb: %d
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "local"
entry: "advertise"
heartbeat_ms: %d
bounds:
  stable_ms: 4000
  ack_ms: 5000
  drain_ms: 3000
  grace_s: 6
  config_apply_ms: 3000
  rollback_slack_ms: 250
  reorder_ms: 2000
  flow_ttl_s: 60
hash: "steady"
deploy_mode: "agent"
platform:
  address: %q
  deploy_mode: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
%s`, name, role, class, serves, address, netip.AddrPortFrom(address, f.packetPort), netip.AddrPortFrom(address, f.readyPort), listen,
		f.peerPort, f.peerPort+15, netip.AddrPortFrom(f.address(1), f.controlPort), share, memory, heartbeatInterval.Milliseconds(),
		netip.AddrPortFrom(f.address(5), f.storePort), extra)
}

// newProcess writes the settings of a process and starts it.
func (f *fleet) newProcess(name, role, class string, address netip.Addr, service string) (p *process, err error) {
	p = &process{name: name, role: role, setting: filepath.Join(f.folder, name+".yaml")}
	if err = os.WriteFile(p.setting, []byte(f.settings(name, role, class, address, service)), 0o600); err != nil {
		return nil, err
	}
	return p, f.start(p)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) (err error) {
	logs, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	p.cmd = exec.Command(program, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "AGATERAMP_SETTINGS=" + p.setting}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err = p.cmd.Start(); err != nil {
		return err
	}
	f.record.logf("%s: process starts", p.name)
	ended := make(chan struct{})
	p.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, &process{name: p.name, cmd: p.cmd, ended: ended})
	return nil
}

// restart ends a process with a signal and starts it again after a short delay.
func (f *fleet) restart(p *process, signal syscall.Signal, delay time.Duration) (err error) {
	f.record.logf("%s: %v", p.name, signal)
	if err = p.cmd.Process.Signal(signal); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		return fmt.Errorf("%s did not end within grace_s", p.name)
	}
	f.record.logf("%s: process has ended", p.name)
	time.Sleep(delay)
	return f.start(p)
}

func (f *fleet) startBalancer() (err error) {
	if f.balancer, err = f.newProcess("front-1", "balancer", "front", f.address(1), ""); err != nil {
		return err
	}
	return f.awaitReady()
}

// awaitReady waits until the balancer is ready, as the routers see it.
func (f *fleet) awaitReady() (err error) {
	client := &http.Client{Timeout: time.Second}
	return await("the balancer is ready", 15*time.Second, func() bool {
		response, err := client.Get("http://" + netip.AddrPortFrom(f.address(1), f.readyPort).String() + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// startMachine starts a side machine with its agent. Its host is started apart.
func (f *fleet) startMachine(n byte, service string) (m *machine, err error) {
	m = &machine{f: f, name: fmt.Sprintf("side-%d", n), address: f.address(10 + n), service: service}
	if m.agent, err = f.newProcess(m.name, "agent", "side", m.address, service); err != nil {
		return nil, err
	}
	err = await("the agent of "+m.name+" listens", 5*time.Second, func() bool {
		conn, err := net.DialTimeout("tcp4", netip.AddrPortFrom(m.address, f.controlPort).String(), time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return m, err
}

// await polls a condition until it holds.
func await(what string, timeout time.Duration, holds func() bool) (err error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", timeout, what)
}
