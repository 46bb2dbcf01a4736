package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/registry"
)

const (
	// helloRetryInterval is how often agents that have not answered yet are sent a Hello, and
	// maxHelloRetryAgents is the most of them that are sent one in each round.
	helloRetryInterval  = 50 * time.Millisecond
	maxHelloRetryAgents = 32
	// digestInterval is how often balancers exchange digests of what they know.
	digestInterval = 400 * time.Millisecond
	// minCompareInterval is the least time between two reads of views because of different agent hashes.
	minCompareInterval = 2 * time.Second
	// balancerTTL is how long a balancer counts as known after its last digest or, before its first, after it was reported.
	balancerTTL = 3 * time.Second
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
		b.config.Metrics.Counter("packets.returned." + m.Reason.String()).Inc(1)
		b.decisions.Log(now, "packet_returned", m.Reason.String(), "flow", packet.FlowName(s.KeyFromCaller()), "agent", from, "first", s.IsFirstPacket())
		b.execute(now, b.core.HandleReturned(now, from, &s, m.Reason, m.Load))
		b.wakeTimer()
	case message.Digest:
		b.balancers[from] = now
		b.requestNewerView(from, m.ConfigVersion)
		if m.Agents != b.hashAgents(now) && now.After(b.nextCompareAt) {
			b.nextCompareAt = now.Add(minCompareInterval)
			b.requestView(from)
		}
	case message.Located:
		b.execute(now, b.core.HandleLocated(now, from, m.Held, m.Denied, m.Unsure, m.Load))
		b.wakeTimer()
	case message.Hello, message.Lookup:
		// These are requests to agents; a balancer ignores them.
	}
}

// handleStatus records the status of an agent and the balancers that it reports. If the agent reports a newer
// configuration, handleStatus requests the view of the balancer that has it. b.mu must be held.
func (b *Balancer) handleStatus(now time.Time, from netip.Addr, m message.Status) {
	changed := b.core.HandleStatus(now, from, dispatch.Status{
		Node: m.Node, Service: m.Service, DataCentre: m.DataCentre, State: m.State, Load: m.Load, ColdRemaining: m.ColdRemaining, Stopping: m.Stopping,
	})
	if changed {
		logging.Line(level.Info(b.config.Logger), "event", "host_changed", "agent", from, "node", m.Node, "service", m.Service,
			"state", m.State, "agent_stopping", m.Stopping)
	}
	for _, address := range m.Balancers {
		if _, known := b.balancers[address]; !known && address != b.config.Address {
			b.balancers[address] = now
		}
	}
	if m.ConfigHolder.IsValid() {
		b.requestNewerView(m.ConfigHolder, m.ConfigVersion)
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
		}
		now := time.Now()
		if !now.Before(nextPollAt) {
			nextPollAt = now.Add(b.pollNextAgents())
		}
		if now.After(nextDigestAt) {
			nextDigestAt = now.Add(digestInterval)
			b.sendDigests(now)
		}
		wait := nextPollAt.Sub(now)
		if b.pollAgentsWithoutStatus(now) {
			wait = min(wait, helloRetryInterval)
		}
		timer.Reset(wait)
	}
}

// pollNextAgents polls the next part of the agents for their status and returns the time until the part after it.
func (b *Balancer) pollNextAgents() (wait time.Duration) {
	b.mu.Lock()
	interval := b.core.StatusInterval()
	agents := b.takeNextAgents(b.core.Agents(), interval)
	b.mu.Unlock()
	b.sendHellos(agents)
	return min(interval, digestInterval)
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
	b.mu.Lock()
	version := b.core.Routes().Version()
	unlisted := make(map[netip.Addr]bool)
	for _, address := range agents {
		unlisted[address] = b.agentsListed && !b.storeDown && !b.core.IsListed(address)
	}
	b.mu.Unlock()
	for _, address := range agents {
		b.sendMessage(address, message.Hello{ConfigVersion: version, Unlisted: unlisted[address]})
	}
}

// takeNextAgents returns the agents that are polled now. If the interval at which each agent is polled is longer than
// digestInterval, the agents are polled in parts, so that each part takes one digestInterval. b.mu must be held.
func (b *Balancer) takeNextAgents(agents []netip.Addr, interval time.Duration) []netip.Addr {
	if interval <= digestInterval || len(agents) == 0 {
		return agents
	}
	count := int(int64(len(agents)) * int64(digestInterval) / int64(interval))
	var part []netip.Addr
	for range max(count, 1) {
		b.nextAgent %= len(agents)
		part = append(part, agents[b.nextAgent])
		b.nextAgent++
	}
	return part
}

// sendDigests sends a digest to the known balancers, or to the seeds if no other balancer is known.
func (b *Balancer) sendDigests(now time.Time) {
	b.mu.Lock()
	var targets []netip.Addr
	for address, lastSeen := range b.balancers {
		if now.Sub(lastSeen) > balancerTTL {
			delete(b.balancers, address)
			continue
		}
		targets = append(targets, address)
	}
	if len(targets) == 0 {
		targets = slices.DeleteFunc(slices.Clone(b.config.Seeds), func(a netip.Addr) bool { return a == b.config.Address })
	}
	digest := message.Digest{ConfigVersion: b.core.Routes().Version(), Agents: b.hashAgents(now)}
	b.mu.Unlock()
	for _, address := range targets {
		b.sendMessage(address, digest)
	}
}

func (b *Balancer) sendMessage(address netip.Addr, m message.Message) {
	if err := b.peerSocket.SendMessage(netip.AddrPortFrom(address, b.config.PeerPort), m); err != nil {
		logging.Line(level.Error(b.config.Logger), "event", "message_not_encoded", "err", err)
	}
}

// handleConfigEntries applies the configuration that the store holds, if there is one.
func (b *Balancer) handleConfigEntries(entries map[string]store.Entry) {
	entry, ok := entries[b.config.ConfigKey]
	if !ok {
		return
	}
	b.applyConfig(entry.Value, "store")
}

// applyConfig puts a configuration in force if it is newer than the current one. The source is named in the log.
func (b *Balancer) applyConfig(raw []byte, source string) {
	set, err := b.config.DecodeConfig(raw)
	if err != nil {
		logging.Line(level.Error(b.config.Logger), "event", "config_unreadable", "source", source, "err", err)
		return
	}
	b.mu.Lock()
	previous := b.core.Routes().Version()
	applied := b.core.SetRoutes(set)
	b.mu.Unlock()
	if applied {
		logging.Line(level.Info(b.config.Logger), "event", "config_in_force", "version", set.Version(), "previous", previous,
			"routes", set.Len(), "unreadable_routes", set.UnreadableRoutes(), "source", source)
	}
}

// handleAgentEntries replaces the list of agents by the entries in the store and sends each agent a Hello. Entries
// that cannot be decoded are logged and skipped.
func (b *Balancer) handleAgentEntries(entries map[string]store.Entry) {
	var addresses []netip.Addr
	for key, entry := range entries {
		e, err := registry.DecodeEntry(entry.Value)
		if err != nil {
			logging.Line(level.Warn(b.config.Logger), "event", "entry_unreadable", "key", key, "revision", entry.ModRevision, "err", err)
			continue
		}
		addresses = append(addresses, e.Address)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	b.mu.Lock()
	now := time.Now()
	b.agentsListed = true
	b.core.SetListedAgents(now, addresses)
	b.core.SetAgentListComplete(b.agentsComplete(now))
	b.mu.Unlock()
	logging.Line(level.Info(b.config.Logger), "event", "agents_listed", "count", len(addresses))
	for _, address := range addresses {
		b.sendMessage(address, message.Hello{})
	}
}
