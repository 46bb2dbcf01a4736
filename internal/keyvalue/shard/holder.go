package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
)

const (
	// takeoverGrace is how long a new holder removes no member. Balancers dial a
	// new holder within 2 s of its record and then resend their agents.
	takeoverGrace = 10 * time.Second
	// stallGrace follows a pause of this process, in which it could not answer
	// pings and so lost streams that are not evidence of dead agents.
	stallGrace = 5 * time.Second
	// stall is the gap between two ticks that is taken for a pause.
	stall = 2 * time.Second
	// attachmentGrace is how long the agents of a disconnected balancer count as
	// attached to it. A balancer dials again within a second and resends them.
	attachmentGrace = 4 * time.Second
	// maxSamples bounds the samples that one Beat stands for.
	maxSamples = 16
	// maxEarlyReports bounds the reports kept for services that the configuration
	// does not have yet.
	maxEarlyReports = 4096
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Shard is the shard held.
	Shard int
	// Fence is the create revision of the lease key. It must be set.
	Fence int64
	// Now is the time of the takeover. It must be set.
	Now time.Time
	// Stored is the specs of all shards, read from the store after the lease was taken.
	Stored []StoredSpec
	// MinSettings is the mod revision of the configuration manifest, read after the
	// lease was taken. Nothing is published under older settings, because the
	// holder before may have published under these.
	MinSettings int64
	// Settings is the configuration known so far. Empty means none yet.
	Settings *Settings
	// Balancers lists every balancer that has a leased key.
	Balancers []string
}

// Holder keeps the membership of the services of one shard and decides which
// table specs to publish. It is used by one goroutine.
type Holder struct {
	shard       int
	fence       int64
	minSettings int64
	settings    *Settings
	services    map[uint32]*service
	byName      map[string]uint32
	leased      map[string]bool
	streams     map[string]*stream
	early       []Reported
	graceUntil  time.Time
	lastTick    time.Time
	nextWeights time.Time
	inflight    *Publish
}

// stream is what is known of a balancer that has or had a stream.
type stream struct {
	incarnation uint64
	connected   bool
}

// NewHolder returns the holder of a shard that was just taken.
func NewHolder(c HolderConfig) (h *Holder, err error) {
	if c.Fence == 0 || c.Now.IsZero() || c.Shard < 0 || c.Shard >= Count {
		return nil, errors.Errorf("hold shard %d: the fence and the time must be set, and the shard be below %d", c.Shard, Count)
	}
	h = &Holder{
		shard: c.Shard, fence: c.Fence, minSettings: c.MinSettings, settings: &Settings{},
		services: map[uint32]*service{}, byName: map[string]uint32{}, leased: map[string]bool{}, streams: map[string]*stream{},
		graceUntil: c.Now.Add(takeoverGrace), lastTick: c.Now, nextWeights: c.Now.Add(weightInterval),
	}
	for _, name := range c.Balancers {
		h.leased[name] = true
	}
	for _, stored := range c.Stored {
		if Of(stored.Spec.GetServiceId()) == h.shard {
			h.adopt(c.Now, stored)
			// A service that had hosts before the takeover is warm.
			if s := h.services[stored.Spec.GetServiceId()]; !s.activeSince.IsZero() {
				s.activeSince = c.Now.Add(-warmAfter)
			}
		}
	}
	if c.Settings != nil {
		h.configure(c.Now, c.Settings, nil)
	}
	return h, nil
}

// Fence returns the create revision of the lease key.
func (h *Holder) Fence() int64 { return h.fence }

// Spec returns the spec of a service as last known to be stored, or nil.
func (h *Holder) Spec(serviceID uint32) *controlpb.TableSpec {
	if s := h.services[serviceID]; s != nil {
		return s.stored
	}
	return nil
}

// Handle takes an event and appends what is to be done to effects.
func (h *Holder) Handle(now time.Time, event Event, effects []Effect) []Effect {
	switch e := event.(type) {
	case SettingsChanged:
		effects = h.configure(now, e.Settings, effects)
	case BalancersChanged:
		h.leased = map[string]bool{}
		for _, name := range e.Names {
			h.leased[name] = true
		}
	case BalancerConnected:
		effects = h.connected(now, e, effects)
	case BalancerDisconnected:
		if st := h.streams[e.Name]; st != nil {
			st.connected = false
			h.doubt(now, e.Name)
		}
	case Reported:
		effects = h.report(now, e, effects)
	case Beat:
		for _, s := range h.services {
			if m := s.members[e.Heartbeat.GetHost()]; m != nil && m.up() {
				for range min(max(1, e.Heartbeat.GetSamples()), maxSamples) {
					s.learner.Observe(now, m.name, e.Heartbeat.GetBusyShare())
				}
			}
		}
	case Acked:
		h.ack(e)
	case Suspected:
		effects = h.suspect(now, e, effects)
	case Published:
		h.published(now, e.Revision)
	case Reread:
		h.reread(now, e.Stored)
	case Tick:
		effects = h.tick(now, effects)
	}
	return effects
}

func (h *Holder) tick(now time.Time, effects []Effect) []Effect {
	if now.Sub(h.lastTick) > stall && now.Add(stallGrace).After(h.graceUntil) {
		h.graceUntil = now.Add(stallGrace)
	}
	h.lastTick = now
	h.forget(now)
	weigh := !now.Before(h.nextWeights)
	if weigh {
		h.nextWeights = now.Add(weightInterval)
	}
	for _, id := range h.order() {
		s := h.services[id]
		if weigh || s.stale {
			s.weigh(now)
		}
		for _, m := range s.members {
			effects = h.judge(now, s, m, effects)
		}
		effects = h.push(now, s, effects)
	}
	return h.publish(now, effects)
}

// order returns the service ids in a fixed order, so that equal events give equal effects.
func (h *Holder) order() []uint32 { return slices.Sorted(maps.Keys(h.services)) }

// configure takes newer settings.
func (h *Holder) configure(now time.Time, settings *Settings, effects []Effect) []Effect {
	if settings.Version < h.settings.Version || settings.Revision < h.settings.Revision {
		return effects
	}
	h.settings = settings
	h.byName = map[string]uint32{}
	for _, s := range h.services {
		s.settings = nil
	}
	for i := range settings.Services {
		c := &settings.Services[i]
		id := c.Service.GetId()
		if Of(id) != h.shard {
			continue
		}
		h.byName[c.Service.GetName()] = id
		s := h.services[id]
		if s == nil {
			s = newService(id)
			h.services[id] = s
		}
		s.settings = c
	}
	for id, s := range h.services {
		if name := s.stored.GetService().GetName(); s.settings == nil && name != "" && h.byName[name] == 0 {
			h.byName[name] = id // settings may be older than the spec
		}
		for _, m := range s.members {
			m.override, s.stale = settings.Hosts[m.name], true
		}
	}
	early := h.early
	h.early = nil
	for _, e := range early {
		effects = h.report(now, e, effects)
	}
	return effects
}

func (h *Holder) connected(now time.Time, e BalancerConnected, effects []Effect) []Effect {
	st := h.streams[e.Name]
	if st == nil || st.incarnation != e.Incarnation {
		// A restarted balancer uses what it acknowledges from now on.
		for _, s := range h.services {
			delete(s.balancerAcks, e.Name)
		}
		st = &stream{incarnation: e.Incarnation}
		h.streams[e.Name] = st
	}
	st.connected = true
	h.doubt(now, e.Name)
	for _, id := range h.order() {
		s := h.services[id]
		for _, m := range s.ordered() {
			if m.told {
				effects = append(effects, &Tell{Balancer: e.Name, Suspect: m.suspicion(s.id, true)})
			}
		}
	}
	return effects
}

// doubt starts the time after which the attachments to a balancer are dropped
// unless it reports them again.
func (h *Holder) doubt(now time.Time, balancer string) {
	for _, s := range h.services {
		for _, m := range s.members {
			if a := m.attached[balancer]; a != nil {
				a.until = now.Add(attachmentGrace)
			}
		}
	}
}

// forget drops attachments that were not confirmed in time, and streams and
// acknowledgements of balancers that are gone.
func (h *Holder) forget(now time.Time) {
	for name, st := range h.streams {
		if !st.connected && !h.leased[name] {
			// The attachments of a dead balancer still run out by their own time: the
			// end of its lease says nothing about the agents.
			delete(h.streams, name)
			for _, s := range h.services {
				delete(s.balancerAcks, name)
			}
		}
	}
	for _, s := range h.services {
		for _, m := range s.members {
			for balancer, a := range m.attached {
				if !a.until.IsZero() && !now.Before(a.until) {
					m.detach(now, balancer)
				}
			}
		}
	}
}

func (h *Holder) ack(e Acked) {
	s := h.services[e.Ack.GetServiceId()]
	if s == nil {
		return
	}
	if e.Ack.GetBalancer() {
		if e.Ack.GetName() == e.Balancer {
			s.balancerAcks[e.Balancer] = max(s.balancerAcks[e.Balancer], e.Ack.GetVersion())
		}
		return
	}
	m := s.members[e.Ack.GetName()]
	if m == nil || !e.Ack.GetTransferred() {
		return
	}
	if a := m.attached[e.Balancer]; a != nil {
		a.acked = max(a.acked, e.Ack.GetVersion())
	}
}
