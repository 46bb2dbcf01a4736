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
	// unheardInterval is how often agents that have not answered yet are asked, and
	// maxUnheard how many of them at once.
	unheardInterval = 50 * time.Millisecond
	maxUnheard      = 32
	// digestInterval is how often balancers compare what they know.
	digestInterval = 400 * time.Millisecond
	// comparePause is the least time between two reads because of other agents.
	comparePause = 2 * time.Second
	// balancerTime is how long a balancer is known after it was last heard of.
	balancerTime = 3 * time.Second
)

func (b *Balancer) handleMessage(now time.Time, from netip.Addr, data []byte) {
	m, err := message.Decode(data)
	if err != nil {
		b.malformed(now, "message", err)
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
			b.malformed(now, "returned packet", err)
			return
		}
		b.config.Metrics.Counter("packets.returned." + m.Reason.String()).Inc(1)
		b.decisions.Log(now, "packet_returned", m.Reason.String(), "flow", packet.FlowName(s.FromCaller()), "agent", from, "first", s.First())
		b.execute(now, b.core.HandleReturned(now, from, &s, m.Reason, m.Load))
		b.wakeTimer()
	case message.Digest:
		b.balancers[from] = now
		b.heardVersion(from, m.ConfigVersion)
		if m.Agents != b.agentsDigest(now) && now.After(b.compareAt) {
			b.compareAt = now.Add(comparePause)
			b.want(from)
		}
	case message.Located:
		b.execute(now, b.core.HandleLocated(now, from, m.Held, m.Denied, m.Unsure, m.Load))
		b.wakeTimer()
	case message.Hello, message.Lookup:
		// Only agents are asked for these.
	}
}

func (b *Balancer) handleStatus(now time.Time, from netip.Addr, m message.Status) {
	changed := b.core.HandleStatus(now, from, dispatch.Status{
		Node: m.Node, Service: m.Service, DataCentre: m.DataCentre, State: m.State, Load: m.Load, Cold: m.Cold, Stopping: m.Stopping,
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
		b.heardVersion(m.ConfigHolder, m.ConfigVersion)
	}
}

// heardVersion asks a balancer for its view if it has a newer configuration.
func (b *Balancer) heardVersion(holder netip.Addr, version uint64) {
	if version > b.core.Routes().Version() {
		b.want(holder)
	}
}

// want queues a balancer whose view is read; one too many is met again.
func (b *Balancer) want(balancer netip.Addr) {
	if balancer == b.config.Address {
		return
	}
	select {
	case b.wanted <- balancer:
	default:
	}
}

// agentsDigest is equal at balancers that hear from the same agents.
func (b *Balancer) agentsDigest(now time.Time) (digest uint64) {
	for _, address := range b.core.Heard(now) {
		octets := address.As16()
		digest ^= xxhash.Sum64(octets[:])
	}
	return digest
}

// greet asks agents for their status and tells balancers what is known here. Agents
// that have not answered yet are asked more often.
func (b *Balancer) greet(ctx context.Context) (err error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var turnAt, digestAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(turnAt) {
			turnAt = now.Add(b.greetTurn())
		}
		if now.After(digestAt) {
			digestAt = now.Add(digestInterval)
			b.greetBalancers(now)
		}
		next := turnAt.Sub(now)
		if b.greetUnheard(now) {
			next = min(next, unheardInterval)
		}
		timer.Reset(next)
	}
}

// greetTurn asks those agents for their status whose turn it is, and returns the
// time to the next turn.
func (b *Balancer) greetTurn() (wait time.Duration) {
	b.mu.Lock()
	interval := b.core.StatusInterval()
	agents := b.turn(b.core.Agents(), interval)
	b.mu.Unlock()
	b.hello(agents)
	return min(interval, digestInterval)
}

// greetUnheard asks agents that have not answered yet. It reports whether there
// are any.
func (b *Balancer) greetUnheard(now time.Time) (some bool) {
	b.mu.Lock()
	agents := b.core.Unheard(now, maxUnheard)
	b.mu.Unlock()
	b.hello(agents)
	return len(agents) > 0
}

// hello asks agents for their status.
func (b *Balancer) hello(agents []netip.Addr) {
	b.mu.Lock()
	version := b.core.Routes().Version()
	unlisted := make(map[netip.Addr]bool)
	for _, address := range agents {
		unlisted[address] = b.listed && !b.storeDown && !b.core.Listed(address)
	}
	b.mu.Unlock()
	for _, address := range agents {
		b.tell(address, message.Hello{ConfigVersion: version, Unlisted: unlisted[address]})
	}
}

// turn returns the agents that are asked now. Where the interval is longer than
// that of digests, the agents are asked in parts.
func (b *Balancer) turn(agents []netip.Addr, interval time.Duration) []netip.Addr {
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

// greetBalancers sends a digest to the known balancers, and to seeds while no
// balancer is known.
func (b *Balancer) greetBalancers(now time.Time) {
	b.mu.Lock()
	var targets []netip.Addr
	for address, heard := range b.balancers {
		if now.Sub(heard) > balancerTime {
			delete(b.balancers, address)
			continue
		}
		targets = append(targets, address)
	}
	if len(targets) == 0 {
		targets = slices.DeleteFunc(slices.Clone(b.config.Seeds), func(a netip.Addr) bool { return a == b.config.Address })
	}
	digest := message.Digest{ConfigVersion: b.core.Routes().Version(), Agents: b.agentsDigest(now)}
	b.mu.Unlock()
	for _, address := range targets {
		b.tell(address, digest)
	}
}

func (b *Balancer) tell(address netip.Addr, m message.Message) {
	if err := b.peers.Tell(netip.AddrPortFrom(address, b.config.PeerPort), m); err != nil {
		logging.Line(level.Error(b.config.Logger), "event", "message_not_encoded", "err", err)
	}
}

// configChanged takes what the store holds under the configuration's key.
func (b *Balancer) configChanged(entries map[string]store.Entry) {
	entry, ok := entries[b.config.ConfigKey]
	if !ok {
		return
	}
	b.apply(entry.Value, "store")
}

// apply puts a configuration in force if it is newer.
func (b *Balancer) apply(raw []byte, source string) {
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
			"routes", set.Len(), "unreadable_routes", set.Unreadable(), "source", source)
	}
}

// agentsChanged takes the entries of agents in the store. Entries that cannot be
// read name no agent.
func (b *Balancer) agentsChanged(entries map[string]store.Entry) {
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
	b.listed = true
	b.core.SetListed(now, addresses)
	b.core.SetComplete(b.isComplete(now))
	b.mu.Unlock()
	logging.Line(level.Info(b.config.Logger), "event", "agents_listed", "count", len(addresses))
	for _, address := range addresses {
		b.tell(address, message.Hello{})
	}
}
