package hostedsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeatInterval is how often hosts send heartbeats.
	heartbeatInterval = 1200 * time.Millisecond
	// maxMisses is how many readiness polls a balancer misses before routers leave it out.
	maxMisses = 2
	// signalTime is the time after its start in which a process may not handle signals yet.
	signalTime = time.Second
)

// process is a process of the product on a machine, through all its runs.
type process struct {
	f                *fleet
	name, role       string
	dataCentre       string
	class            uint16
	address          netip.Addr
	settings, output string

	// mu guards the fields below.
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	boots int
	// startedAt is the start of the current run.
	startedAt time.Time
	// ending is set while the soak ends the process. stopped is set while it is suspended.
	ending, stopped bool
	// misses is the number of readiness polls in a row without success.
	misses int
}

// newProcess writes the settings of a process, which is not started yet. service is that of
// the host beside it, or empty.
func (f *fleet) newProcess(name, role, dataCentre string, class uint16, address netip.Addr, service string) (p *process, err error) {
	p = &process{f: f, name: name, role: role, dataCentre: dataCentre, class: class, address: address, misses: maxMisses}
	p.settings, p.output = filepath.Join(f.dir, name+".yaml"), filepath.Join(f.dir, name+".log")
	f.links.names[address], f.links.classes[address] = name, class
	return p, p.writeSettings(service)
}

// settingsMap is a part of a settings file.
type settingsMap map[string]any

// writeSettings writes the settings for the next run, as JSON, which YAML includes.
func (p *process) writeSettings(service string) (err error) {
	at := func(port uint16) string { return netip.AddrPortFrom(p.address, port).String() }
	seeds, places := []string{}, settingsMap{}
	for i, d := range dataCentres {
		seeds = append(seeds, netip.AddrPortFrom(p.f.address(10+10*i), controlPort).String())
		places[d] = "r"
	}
	data, err := json.Marshal(settingsMap{
		"node_name": p.name, "role": p.role, "ip": p.address, "zone": p.dataCentre, "region": "r", "zones": places, "service": service, "app": at(hostPort),
		"listen":     settingsMap{"packet_addr": at(firstPacketPort + p.class), "ready_addr": at(readinessPort), "control": at(controlPort), "outbound": at(outboundPort)},
		"port_range": []uint16{firstPeerPort + p.class, firstPeerPort + p.class}, "seeds": seeds, "bootstrap": true,
		"limits": settingsMap{"cpu_share": 0.5, "cores": 1, "memory_mb": 256}, "heartbeat_ms": heartbeatInterval.Milliseconds(), "hash": "steady", "deploy_mode": "agent",
		"bounds": settingsMap{
			"stable_ms": stableTime.Milliseconds(), "ack_ms": drainAckTime.Milliseconds(), "drain_ms": drainTime.Milliseconds(), "grace_s": graceTime.Seconds(),
			"config_apply_ms": configTime.Milliseconds(), "rollback_slack_ms": rollbackSlack.Milliseconds(), "evacuate_ms": evacuationTime.Milliseconds(),
			"cold_excess": coldExcess, "cold_slack": coldSlack, "reorder_ms": reorderTime.Milliseconds(), "flow_ttl_s": flowLifetime.Seconds(),
		},
		"platform": settingsMap{"address": at(storePort), "deploy_mode": "kv"},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// start starts a run of the process, unless one runs.
func (p *process) start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil && !isClosed(p.ended) || p.f.tasks.Context().Err() != nil {
		return nil
	}
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(p.f.program, p.role, "--settings", p.settings, "--metrics-port", "0")
	cmd.Stdout, cmd.Stderr = output, output
	// The process must not outlive a test binary that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.boots++
	p.f.checker.bootStarted(p.boot(), p.name)
	if err = cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.ending, p.stopped, p.startedAt = cmd, ended, false, false, time.Now()
	p.f.tasks.Go(p.name, func(context.Context) error {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		close(ended)
		if !p.ending {
			p.f.checker.report(time.Now(), "END", "%s ended by itself: %v", p.boot(), err)
		}
		return nil
	})
	return nil
}

// boot names the current run.
func (p *process) boot() string { return fmt.Sprintf("%s#%d", p.name, p.boots) }

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil || isClosed(p.ended) {
		return
	}
	switch s {
	case syscall.SIGHUP:
		if time.Since(p.startedAt) < signalTime {
			return
		}
	case syscall.SIGKILL, syscall.SIGTERM:
		p.ending = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// terminate ends the process as planned. One that does not end in time is killed.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	ended, cmd, stopped, boot := p.ended, p.cmd, p.stopped, p.boot()
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
		if code := cmd.ProcessState.ExitCode(); code > 0 {
			p.f.checker.report(time.Now(), "END", "%s exited with %d after SIGTERM", boot, code)
		}
	case <-time.After(graceTime):
		if !stopped {
			p.f.checker.report(time.Now(), "END", "%s did not end within %v of SIGTERM", boot, graceTime)
		}
		p.kill()
	}
}

// poll asks the balancer whether it is ready, as the routers do.
func (p *process) poll(client *http.Client) {
	response, err := client.Get("http://" + netip.AddrPortFrom(p.address, readinessPort).String() + "/v1/readyz")
	if err == nil {
		_ = response.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && response.StatusCode == http.StatusOK && p.f.links.get(callersName, p.name).dropped < 1 {
		p.misses = 0
		return
	}
	p.misses++
}

// inRotation reports whether routers send packets to the balancer.
func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses < maxMisses
}

// currentBoot names the current run.
func (p *process) currentBoot() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boot()
}

// checkOutput reports what the logs of a process say of faults in the program.
func (p *process) checkOutput() {
	text, _ := os.ReadFile(p.output)
	for _, sign := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"} {
		if bytes.Contains(text, []byte(sign)) {
			p.f.checker.report(time.Now(), "END", "%s logs %q", p.name, sign)
		}
	}
}
