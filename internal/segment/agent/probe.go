package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/process/logging"
)

const (
	// probeTimeout limits a connection attempt to the host, which is on the same machine.
	probeTimeout = 100 * time.Millisecond
	// probeCheckInterval is how often the agent checks whether the host has to be probed.
	probeCheckInterval = 50 * time.Millisecond
)

// hostRefuses reports whether the machine refuses connections to the host because no process listens at its address. A
// connection that is accepted is closed at once; no request is sent. After a timeout the host may be running.
func (a *Agent) hostRefuses() bool {
	a.config.Metrics.Counter("host.probes").Inc(1)
	conn, err := net.DialTimeout("tcp4", a.config.HostAddress.String(), probeTimeout)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// probeHost probes the host if it has sent no heartbeat yet or has fallen silent. If no process of the host runs, its
// flows are lost and are reset at once.
func (a *Agent) probeHost() {
	a.mu.Lock()
	needed := a.core.NeedsProbe(time.Now())
	a.mu.Unlock()
	switch {
	case !needed:
	case a.hostRefuses():
		a.handleHostAbsent()
	default:
		a.handleHostListens()
	}
}

// handleHostListens announces the state of a host that accepts connections, if that has changed it.
func (a *Agent) handleHostListens() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.HandleHostListens()
	a.announceState(time.Now())
}

// handleHostAbsent resets the flows of a host that does not run and announces its state.
func (a *Agent) handleHostAbsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	decisions := a.core.HandleHostAbsent(now)
	if !a.core.HostAbsent() {
		a.announceState(now)
		return
	}
	logging.Line(level.Info(a.config.Logger), "event", "host_absent", "host", a.core.HostID(),
		"heartbeat_age_ms", a.heartbeatAge(now), "flows_reset", len(decisions))
	a.execute(now, decisions)
	a.announceState(now)
}
