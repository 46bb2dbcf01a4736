package agent

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/process/logging"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/relay"
)

func (a *Agent) handleMessage(now time.Time, from netip.Addr, data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		a.malformed(now, "message", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m := m.(type) {
	case message.Hello:
		a.handleHello(now, from, m)
	case message.Lookup:
		a.tell(from, a.locate(now, from, m))
	case message.Status, message.Accepted, message.Returned, message.Digest, message.Located:
		// Only balancers take these.
	}
}

func (a *Agent) handleHello(now time.Time, from netip.Addr, m message.Hello) {
	a.balancers[from] = now
	if m.ConfigVersion >= a.configVersion {
		a.configVersion, a.configHolder = m.ConfigVersion, from
	}
	if m.Unlisted {
		a.keeper.RequestCheck()
	}
	a.tell(from, a.status(now))
}

// locate answers a lookup. The lock is held.
func (a *Agent) locate(now time.Time, from netip.Addr, m message.Lookup) (l message.Located) {
	a.config.Metrics.Counter("lookups.answered").Inc(1)
	for _, key := range m.Flows {
		switch a.core.Locate(from, key) {
		case relay.HoldingYes:
			l.Held = append(l.Held, key)
			a.decisions.Log(now, "flow_located", "", "flow", packet.FlowName(key), "balancer", from, "host", a.core.HostID())
		case relay.HoldingNo:
			l.Denied = append(l.Denied, key)
		case relay.HoldingUnsure:
			l.Unsure = append(l.Unsure, key)
		}
	}
	l.Load = a.core.Load(now)
	return l
}

// status is what balancers are told. The lock is held.
func (a *Agent) status(now time.Time) message.Status {
	s := message.Status{
		Node: a.config.Node, Service: a.config.Service, DataCentre: a.config.DataCentre, State: a.core.State(now),
		Load: a.core.Load(now), Cold: a.core.Cold(now), ConfigVersion: a.configVersion, ConfigHolder: a.configHolder, Stopping: a.stopping,
	}
	for address, heard := range a.balancers {
		if now.Sub(heard) > balancerTime {
			delete(a.balancers, address)
			continue
		}
		s.Balancers = append(s.Balancers, address)
	}
	return s
}

func (a *Agent) tell(address netip.Addr, m message.Message) {
	if err := a.peers.Tell(netip.AddrPortFrom(address, a.config.PeerPort), m); err != nil {
		logging.Line(level.Error(a.config.Logger), "event", "message_not_encoded", "err", err)
	}
}

// tellBalancers sends the status to every balancer. The lock is held.
func (a *Agent) tellBalancers(now time.Time) {
	s := a.status(now)
	for address := range a.balancers {
		a.tell(address, s)
	}
}

// tellSeeds makes the agent known while no balancer asks for its status.
func (a *Agent) tellSeeds() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.status(now)
	if len(a.balancers) > 0 {
		return
	}
	a.tellAll(a.config.Seeds, s)
}

func (a *Agent) tellAll(addresses []netip.Addr, m message.Message) {
	for _, address := range addresses {
		a.tell(address, m)
	}
}

// announceState tells the balancers at once when the host takes new flows or no
// longer does. The lock is held.
func (a *Agent) announceState(now time.Time) {
	state := a.core.State(now)
	if state == a.state {
		return
	}
	logging.Line(level.Info(a.config.Logger), "event", "host_state_changed", "host", a.core.HostID(), "from", a.state, "to", state,
		"heartbeat_age_ms", a.core.HeartbeatAge(now).Milliseconds())
	a.state = state
	a.tellBalancers(now)
	if len(a.balancers) == 0 {
		a.tellAll(a.config.Seeds, a.status(now))
	}
}

// HandleHeartbeat takes a heartbeat of the host.
func (a *Agent) HandleHeartbeat(b relay.Heartbeat) (verdict relay.Verdict) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict, decisions := a.core.HandleHeartbeat(now, b)
	if verdict != relay.VerdictAccepted {
		logging.Line(level.Info(a.config.Logger), "event", "heartbeat_"+string(verdict), "host", b.ID, "born", b.StartMS,
			"sequence", b.Sequence, "state", b.State, "current", a.core.HostID())
	}
	a.execute(now, decisions)
	a.announceState(now)
	return verdict
}

// HandleDeregister takes the message of a host that it has ended.
func (a *Agent) HandleDeregister(id string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.core.HandleDeregister(id)
	logging.Line(level.Info(a.config.Logger), "event", "host_deregistered", "host", id, "current", current)
	a.announceState(now)
}

// RejectHeartbeat counts a heartbeat that names no host to use.
func (a *Agent) RejectHeartbeat(id string, err error) {
	a.config.Metrics.Counter("heartbeats.rejected").Inc(1)
	a.decisions.Log(time.Now(), "heartbeat_rejected", "", "host", id, "err", err)
}
