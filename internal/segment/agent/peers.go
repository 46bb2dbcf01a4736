package agent

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/process/logging"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/relay"
)

func (a *Agent) handleMessage(now time.Time, from netip.Addr, data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		a.recordMalformed(now, "message", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m := m.(type) {
	case message.Hello:
		a.handleHello(now, from, m)
	case message.Lookup:
		a.sendMessage(from, a.answerLookup(now, from, m))
	case message.Status, message.Accepted, message.Returned, message.Digest, message.Located:
		// These are messages to balancers; an agent ignores them.
	}
}

// handleHello records the balancer, and its configuration version if none is newer, and answers with the status.
// a.mu must be held.
func (a *Agent) handleHello(now time.Time, from netip.Addr, m message.Hello) {
	a.recordHello(now, from)
	if m.ConfigVersion >= a.configVersion {
		a.configVersion, a.configHolder = m.ConfigVersion, from
	}
	if m.ColdRateKnown {
		a.core.SetColdRate(m.ColdRate, m.ConfigVersion)
	}
	if m.UsualLatency > 0 {
		a.core.SetUsualLatency(m.UsualLatency)
	}
	if m.Unlisted {
		a.registrar.RequestCheck()
	}
	if a.evacuations.Merge(now, m.Evacuations) {
		a.updateEvacuated(now)
	}
	s := a.status(now)
	if !s.Evacuations.IsLater(m.Evacuations) {
		s.Evacuations = evacuation.State{}
	}
	a.sendMessage(from, s)
}

// updateEvacuated passes on to the relay whether the data centre of the host is evacuated. a.mu must be held.
func (a *Agent) updateEvacuated(now time.Time) {
	evacuated := a.config.DataCentre != "" && a.evacuations.IsEvacuated(now, a.config.DataCentre)
	if !a.core.SetEvacuated(evacuated) {
		return
	}
	revision := a.evacuations.State().Revision()
	logging.Line(level.Info(a.config.Logger), "event", "host_evacuated", "evacuated", evacuated, "generation", revision.Generation, "revision", revision.Number)
}

// recordHello records that a balancer has sent a Hello. a.mu must be held.
func (a *Agent) recordHello(now time.Time, from netip.Addr) {
	a.balancers[from] = now
	if !a.lastHelloAt.IsZero() {
		// A long silence is an outage of the balancers, not a longer gap.
		gap := min(now.Sub(a.lastHelloAt), a.helloSilence())
		a.helloGap += time.Duration(helloGapWeight * float64(gap-a.helloGap))
	}
	a.lastHelloAt = now
}

// helloSilence returns the time without a Hello after which balancers are sent the status unasked. a.mu must be held.
func (a *Agent) helloSilence() time.Duration { return max(minHelloSilence, silentGaps*a.helloGap) }

// answerLookup returns the answer to a Lookup. a.mu must be held.
func (a *Agent) answerLookup(now time.Time, from netip.Addr, m message.Lookup) (l message.Located) {
	a.config.Metrics.Counter("lookups.answered").Inc(1)
	for i, key := range m.Flows {
		switch a.core.Locate(from, key, m.Acknowledgement(i)) {
		case relay.HoldingYes:
			l.Held = append(l.Held, key)
			a.decisions.Log(now, "flow_located", "", "flow", packet.FlowName(key), "balancer", from, "host", a.core.HostID())
		case relay.HoldingNo:
			l.Denied = append(l.Denied, key)
		case relay.HoldingUnsure:
			l.Unsure = append(l.Unsure, key)
		case relay.HoldingUnseen:
			l.Unseen = append(l.Unseen, key)
		}
	}
	l.Run = a.run
	l.Load = a.core.Load(now)
	return l
}

// status returns the status to send to balancers, and removes balancers that have sent no Hello for balancerTTL.
// a.mu must be held.
func (a *Agent) status(now time.Time) message.Status {
	s := message.Status{
		Node: a.config.Node, Service: a.config.Service, DataCentre: a.config.DataCentre, State: a.core.State(now),
		Load: a.core.Load(now), ColdRemaining: a.core.ColdRemaining(now), ConfigVersion: a.configVersion, ConfigHolder: a.configHolder, Stopping: a.stopping,
		Evacuations: a.evacuations.State(), Run: a.run,
	}
	for address, lastHelloAt := range a.balancers {
		if now.Sub(lastHelloAt) > balancerTTL {
			delete(a.balancers, address)
			continue
		}
		if len(s.Balancers) < maxReportedBalancers {
			s.Balancers = append(s.Balancers, address)
		}
	}
	return s
}

// sendMessage sends a message to the peer port of a balancer.
func (a *Agent) sendMessage(address netip.Addr, m message.Message) {
	if err := a.peerSocket.SendMessage(netip.AddrPortFrom(address, a.config.PeerPort), m); err != nil {
		logging.Line(level.Error(a.config.Logger), "event", "message_not_encoded", "err", err)
	}
}

// sendStatusToBalancers sends the status to every known balancer. a.mu must be held.
func (a *Agent) sendStatusToBalancers(now time.Time) {
	s := a.status(now)
	for address := range a.balancers {
		a.sendMessage(address, s)
	}
}

// sendStatusUnasked sends the status to all known balancers and to the seeds if none has sent a Hello for a while: the
// balancers may have restarted and not know of the agent, because its entry in the store lapsed or cannot be read.
func (a *Agent) sendStatusUnasked() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastHelloAt) <= a.helloSilence() {
		return
	}
	s := a.status(now)
	for address := range a.balancers {
		a.sendMessage(address, s)
	}
	a.sendToAll(a.config.Seeds, s)
}

func (a *Agent) sendToAll(addresses []netip.Addr, m message.Message) {
	for _, address := range addresses {
		a.sendMessage(address, m)
	}
}

// announceState sends the status to the balancers, or to the seeds if no balancer is known, as soon as the host's
// state has changed. a.mu must be held.
func (a *Agent) announceState(now time.Time) {
	state := a.core.State(now)
	if state == a.announcedState {
		return
	}
	logging.Line(level.Info(a.config.Logger), "event", "host_state_changed", "host", a.core.HostID(), "from", a.announcedState, "to", state,
		"heartbeat_age_ms", a.heartbeatAge(now))
	a.announcedState = state
	a.sendStatusToBalancers(now)
	if len(a.balancers) == 0 {
		a.sendToAll(a.config.Seeds, a.status(now))
	}
}

// announceFailures sends the status to the balancers if the host fails more requests than they were sent. a.mu must be
// held.
func (a *Agent) announceFailures(now time.Time) {
	failures := a.core.Health(now).Failures
	if failures >= a.announcedFailures+failuresPerAnnouncement {
		a.sendStatusToBalancers(now)
		a.announcedFailures = failures
	}
	a.announcedFailures = min(a.announcedFailures, failures)
}

// HandleHeartbeat processes a heartbeat of the host.
func (a *Agent) HandleHeartbeat(hb relay.Heartbeat) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	verdict := a.core.HandleHeartbeat(now, hb)
	if verdict != relay.VerdictAccepted {
		logging.Line(level.Info(a.config.Logger), "event", "heartbeat_"+string(verdict), "host", hb.Start.ID, "born", hb.Start.StartMS,
			"sequence", hb.Sequence, "state", hb.State, "current", a.core.HostID())
	}
	a.announceState(now)
}

// HandleDeregister processes the notice of a host that it has ended. The id names the start of the host that ended; a
// notice of an earlier start changes nothing.
func (a *Agent) HandleDeregister(id string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.core.HandleDeregister(now, id)
	logging.Line(level.Info(a.config.Logger), "event", "host_deregistered", "host", id, "current", current)
	a.announceState(now)
}

// HandleRejectedHeartbeat counts and logs a heartbeat that is invalid or not from this agent's host. Such a heartbeat is
// not passed to HandleHeartbeat.
func (a *Agent) HandleRejectedHeartbeat(id string, err error) {
	a.config.Metrics.Counter("heartbeats.rejected").Inc(1)
	a.decisions.Log(time.Now(), "heartbeat_rejected", "", "host", id, "err", err)
}
