package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"agateramp/internal/process/logging"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
)

const (
	// helloRetryInterval is how often agents that have not answered yet are sent a Hello, and
	// maxHelloRetryAgents is the most of them that are sent one in each round.
	helloRetryInterval  = 50 * time.Millisecond
	maxHelloRetryAgents = 32
	// pollPartInterval is the interval between two parts of a poll, if the agents are polled in parts.
	// relayPollPartInterval takes its place if packets are relayed: each part asks agents of all data centres, so that a
	// cut is noticed sooner.
	pollPartInterval      = 400 * time.Millisecond
	relayPollPartInterval = 200 * time.Millisecond
	// minCompareInterval is the least time between two reads of views because of different agent hashes.
	minCompareInterval = 2 * time.Second
)

func (b *Balancer) handleMessage(now time.Time, from netip.Addr, data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		b.recordMalformed(now, "message", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch m := m.(type) {
	case message.Status:
		b.handleStatus(now, from, m)
	case message.Accepted:
		waited, decisions := b.core.HandleAccepted(now, from, m.Flow, m.Sequence, m.Handshake, m.Load)
		if waited > 0 {
			b.config.Metrics.Latency("latency.placement_us", waited)
		}
		b.execute(now, decisions)
		b.wakeTimer()
	case message.Returned:
		s, err := b.config.Codec.Decode(m.Packet)
		if err != nil {
			b.recordMalformed(now, "returned packet", err)
			return
		}
		b.exchangeEvacuations(now, from, m.Evacuations)
		b.config.Metrics.Counter("packets.returned." + m.Reason.String()).Inc(1)
		b.decisions.Log(now, "packet_returned", m.Reason.String(), "flow", packet.FlowName(s.KeyFromCaller()), "agent", from, "first", s.IsFirstPacket())
		b.execute(now, b.core.HandleReturned(now, from, &s, m.Reason, m.Load))
		b.wakeTimer()
	case message.Digest:
		b.handleDigest(now, from, m)
	case message.Located:
		b.execute(now, b.core.HandleLocated(now, from, dispatch.Located{Held: m.Held, Denied: m.Denied, Unsure: m.Unsure, Unseen: m.Unseen, Run: m.Run, Load: m.Load}))
		b.wakeTimer()
	case message.Hello, message.Lookup:
		// These are requests to agents; a balancer ignores them.
	}
}

// handleStatus records the status of an agent and the balancers that it reports. If the agent reports a newer
// configuration, handleStatus requests the view of the balancer that has it. b.mu must be held.
func (b *Balancer) handleStatus(now time.Time, from netip.Addr, m message.Status) {
	changed := b.core.HandleStatus(now, from, dispatch.Status{
		Node: m.Node, Service: m.Service, DataCentre: m.DataCentre, State: m.State, Load: m.Load, ColdRemaining: m.ColdRemaining, Stopping: m.Stopping, Run: m.Run,
	})
	if changed {
		logging.Line(level.Info(b.config.Logger), "event", "host_changed", "agent", from, "node", m.Node, "service", m.Service,
			"state", m.State, "agent_stopping", m.Stopping)
	}
	if b.isStarting(now) {
		b.updateListComplete(now)
	}
	b.exchangeEvacuations(now, from, m.Evacuations)
	for _, address := range m.Balancers {
		b.peers.Add(now, address)
	}
	if m.ConfigHolder.IsValid() {
		b.requestNewerView(m.ConfigHolder, m.ConfigVersion)
	}
}

// handleDigest records the digest of another balancer, and requests the balancer's view if that has news. b.mu must be
// held.
func (b *Balancer) handleDigest(now time.Time, from netip.Addr, m message.Digest) {
	b.peers.HandleDigest(now, from, m)
	b.paths.HandleDigest(now, from, m.DataCentre, m.ReachedDataCentres, m.CPUPermille)
	b.applyEvacuations(now, m.Evacuations, from.String())
	b.requestNewerView(from, m.ConfigVersion)
	if _, reachable := b.storeAge(now); !reachable && m.ListRevision.Compare(b.list.revision) > 0 {
		b.requestView(from)
	}
	b.compareAgents(now, from, m)
	b.updateListComplete(now)
	if m.ListRevision.Number == 0 && b.list.revision.Number != 0 {
		// The sender has just started and waits for what others know.
		b.sendMessage(from, b.digest(now))
	}
}

// compareAgents requests the view of a balancer whose agents differ from those of this one. b.mu must be held.
func (b *Balancer) compareAgents(now time.Time, from netip.Addr, m message.Digest) {
	urgent := b.isStarting(now) && !b.agentsCompared && !m.Starting
	switch {
	case m.Agents == b.hashAgents(now):
		b.agentsCompared = b.agentsCompared || !m.Starting
	case urgent || now.After(b.nextCompareAt):
		b.nextCompareAt = now.Add(minCompareInterval)
		b.requestView(from)
	}
}

// requestNewerView requests the view of a balancer if its configuration is newer than the one in force.
// b.mu must be held.
func (b *Balancer) requestNewerView(holder netip.Addr, version uint64) {
	if version > b.core.Routes().Version() {
		b.requestView(holder)
	}
}

// requestView queues a read of a balancer's view and does not block. If the queue is full, the request is dropped, and a
// later digest or status repeats it.
func (b *Balancer) requestView(balancer netip.Addr) {
	if balancer == b.config.Address {
		return
	}
	select {
	case b.viewRequests <- balancer:
	default:
	}
}

// hashAgents returns a hash of the addresses of the agents that answer. Balancers with the same agents have the same
// hash. b.mu must be held.
func (b *Balancer) hashAgents(now time.Time) (hash uint64) {
	for _, address := range b.core.AnsweringAgents(now) {
		octets := address.As16()
		hash ^= xxhash.Sum64(octets[:])
	}
	return hash
}

// exchangeStatus polls agents for their status and sends digests to other balancers until ctx ends. Agents that have
// not answered yet are polled more often.
func (b *Balancer) exchangeStatus(ctx context.Context) (err error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextPollAt, nextDigestAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-b.digestWake:
			nextDigestAt = time.Time{}
		}
		now := time.Now()
		if !now.Before(nextPollAt) {
			nextPollAt = now.Add(b.pollNextAgents())
		}
		if now.After(nextDigestAt) {
			nextDigestAt = now.Add(b.sendDigests(now))
		}
		wait := min(nextPollAt.Sub(now), nextDigestAt.Sub(now))
		if b.pollAgentsWithoutStatus(now) {
			wait = min(wait, helloRetryInterval)
		}
		timer.Reset(wait)
	}
}

// pollNextAgents polls the next part of the agents for their status and returns the time until the part after it.
func (b *Balancer) pollNextAgents() (wait time.Duration) {
	b.mu.Lock()
	b.updatePaths(time.Now())
	interval, partInterval := b.core.StatusInterval(), b.pollPartInterval()
	agents := b.takeNextAgents(b.core.Agents(), interval, partInterval)
	b.mu.Unlock()
	b.sendHellos(agents)
	return min(interval, partInterval)
}

// pollAgentsWithoutStatus polls agents that have not answered yet. It reports whether there are any.
func (b *Balancer) pollAgentsWithoutStatus(now time.Time) (found bool) {
	b.mu.Lock()
	agents := b.core.AgentsWithoutStatus(now, maxHelloRetryAgents)
	b.mu.Unlock()
	b.sendHellos(agents)
	return len(agents) > 0
}

// sendHellos sends agents a request for their status.
func (b *Balancer) sendHellos(agents []netip.Addr) {
	hellos := make([]message.Hello, len(agents))
	b.mu.Lock()
	now := time.Now()
	for i, address := range agents {
		hellos[i] = b.hello(address)
		b.core.RecordRequest(now, address)
	}
	b.mu.Unlock()
	for i, address := range agents {
		b.sendMessage(address, hellos[i])
	}
}

// hello returns the Hello for an agent. b.mu must be held.
func (b *Balancer) hello(agent netip.Addr) (h message.Hello) {
	_, storeReachable := b.storeAge(time.Now())
	h = message.Hello{
		ConfigVersion: b.core.Routes().Version(), Evacuations: b.evacuations.State(),
		Unlisted:     storeReachable && b.list.revision.Number > 0 && !b.core.IsListed(agent),
		UsualLatency: b.core.UsualLatency(time.Now(), agent),
	}
	if service, known := b.core.Service(agent); known && b.config.ColdBounds != nil && b.core.Routes() != nil {
		h.ColdRate, h.ColdRateKnown = b.core.Routes().ColdRate(service), true
	}
	return h
}

// takeNextAgents returns the agents that are polled now. If the interval at which each agent is polled is longer than
// partInterval, the agents are polled in parts, one in each partInterval. b.mu must be held.
func (b *Balancer) takeNextAgents(agents []netip.Addr, interval, partInterval time.Duration) []netip.Addr {
	if interval <= partInterval || len(agents) == 0 {
		return agents
	}
	count := int(int64(len(agents)) * int64(partInterval) / int64(interval))
	var part []netip.Addr
	for range max(count, 1) {
		b.nextAgent %= len(agents)
		part = append(part, agents[b.nextAgent])
		b.nextAgent++
	}
	return part
}

// sendDigests sends a digest to the known balancers, or to the seeds if no other balancer is known. It returns the time
// until the next ones.
func (b *Balancer) sendDigests(now time.Time) (wait time.Duration) {
	b.mu.Lock()
	b.peers.Expire(now)
	targets := b.peers.Addresses()
	if len(targets) == 0 {
		targets = slices.DeleteFunc(slices.Clone(b.config.Seeds), func(a netip.Addr) bool { return a == b.config.Address })
	}
	digest := b.digest(now)
	wait = b.peers.DigestInterval()
	b.mu.Unlock()
	for _, address := range targets {
		b.sendMessage(address, digest)
	}
	return wait
}

// digest returns the digest of this balancer. b.mu must be held.
func (b *Balancer) digest(now time.Time) (d message.Digest) {
	d = message.Digest{
		ConfigVersion: b.core.Routes().Version(), Agents: b.hashAgents(now), CPUPermille: b.config.CPUPermille,
		ListRevision: b.list.revision, ListComplete: b.agentsComplete(now), Starting: b.isStarting(now),
		Evacuations: b.evacuations.State(),
	}
	d.StoreAge, d.Watching = b.peers.StoreAge(now)
	if b.paths != nil && !b.stopping {
		d.DataCentre, d.ReachedDataCentres = b.config.DataCentre, b.paths.Reached(now)
	}
	return d
}

func (b *Balancer) sendMessage(address netip.Addr, m message.Message) {
	if err := b.peerSocket.SendMessage(netip.AddrPortFrom(address, b.config.PeerPort), m); err != nil {
		logging.Line(level.Error(b.config.Logger), "event", "message_not_encoded", "err", err)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one, and reports whether it did. The source
// is named in the log. Without knowledge of the evacuations none is put in force, because new flows could then reach
// hosts in an evacuated data centre. The first one is announced to the balancers that have none: after a loss of power most
// of them wait for it.
func (b *Balancer) applyConfig(raw []byte, source string) (applied bool) {
	set, err := b.config.DecodeConfig(raw)
	if err != nil {
		logging.Line(level.Error(b.config.Logger), "event", "config_unreadable", "source", source, "err", err)
		return false
	}
	b.mu.Lock()
	previous := b.core.Routes().Version()
	applied = (!b.usesEvacuations() || b.evacuations.State().Known()) && b.core.SetRoutes(set)
	b.wakeTimer()
	if applied && previous == 0 {
		digest := b.digest(time.Now())
		for _, address := range b.peers.WithoutConfig() {
			b.sendMessage(address, digest)
		}
	}
	b.mu.Unlock()
	if applied {
		logging.Line(level.Info(b.config.Logger), "event", "config_in_force", "version", set.Version(), "previous", previous,
			"routes", set.Len(), "unreadable_routes", set.UnreadableRoutes(), "cold_limits", set.ColdRateCount(), "source", source)
	}
	return applied
}
