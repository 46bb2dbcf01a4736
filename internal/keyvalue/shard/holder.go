package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
)

const (
	// takeoverGrace is how long a new holder removes no member. Balancers dial a new holder
	// within 2 s after its holder key is written, and then report their agents again.
	takeoverGrace = 10 * time.Second
	// stallGrace is how long a holder removes no member after a pause of its process.
	// During the pause the process could not answer pings, so it lost streams of agents
	// that may be alive.
	stallGrace = 5 * time.Second
	// stallThreshold is the gap between two ticks that counts as a pause of the process.
	stallThreshold = 2 * time.Second
	// attachmentGrace is how long the agents of a disconnected balancer count as attached
	// to it. The balancer dials again within a second and reports them again.
	attachmentGrace = 4 * time.Second
	// maxHeartbeatSamples limits the samples that one heartbeat represents.
	maxHeartbeatSamples = 16
	// maxEarlyReports limits the reports that are kept for services that the configuration
	// does not have yet.
	maxEarlyReports = 4096
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Shard is the shard that is held.
	Shard int
	// Fence is the create revision of the holder key. It must be set.
	Fence int64
	// Now is the time of the takeover. It must be set.
	Now time.Time
	// Stored holds the specs of all shards, read from the store after the holder key was
	// acquired.
	Stored []StoredSpec
	// MinSettingsRevision is the mod revision of the configuration manifest, read after the
	// holder key was acquired. The holder publishes nothing under older settings, because
	// the previous holder may already have published under these.
	MinSettingsRevision int64
	// Settings is the configuration known so far. If nil, there is none yet.
	Settings *Settings
	// Balancers lists every balancer that has a leased key.
	Balancers []string
}

// Holder tracks the members of the services of one shard and decides which table specs to
// publish. Its methods must not be called concurrently.
type Holder struct {
	shard               int
	fence               int64
	minSettingsRevision int64
	settings            *Settings
	services            map[uint32]*service
	serviceIDs          map[string]uint32 // by service name
	leasedBalancers     map[string]bool
	balancerStreams     map[string]*balancerStream
	earlyReports        []MemberReported // of services that are not known yet
	graceUntil          time.Time        // no lost host is removed before this time
	lastTick            time.Time
	nextWeightStep      time.Time
	inflight            *Publish // nil when none is outstanding
}

// balancerStream is the state of a balancer that has or had a stream.
type balancerStream struct {
	incarnation uint64
	connected   bool
}

// NewHolder returns the holder of a shard that was just acquired. It returns an error if
// Fence or Now is not set or Shard does not exist.
func NewHolder(c HolderConfig) (h *Holder, err error) {
	if c.Fence == 0 || c.Now.IsZero() || c.Shard < 0 || c.Shard >= Count {
		return nil, errors.Errorf("hold shard %d: Fence and Now must be set, and Shard must be in [0, %d)", c.Shard, Count)
	}
	h = &Holder{
		shard: c.Shard, fence: c.Fence, minSettingsRevision: c.MinSettingsRevision, settings: &Settings{},
		services: map[uint32]*service{}, serviceIDs: map[string]uint32{}, leasedBalancers: map[string]bool{},
		balancerStreams: map[string]*balancerStream{},
		graceUntil:      c.Now.Add(takeoverGrace), lastTick: c.Now, nextWeightStep: c.Now.Add(weightInterval),
	}
	for _, name := range c.Balancers {
		h.leasedBalancers[name] = true
	}
	for _, stored := range c.Stored {
		if Of(stored.Spec.GetServiceId()) == h.shard {
			h.adoptSpec(c.Now, stored)
			// In a service that had hosts before the takeover, new hosts start slowly.
			if s := h.services[stored.Spec.GetServiceId()]; !s.activeSince.IsZero() {
				s.activeSince = c.Now.Add(-slowStartAfter)
			}
		}
	}
	if c.Settings != nil {
		h.applySettings(c.Now, c.Settings, nil)
	}
	return h, nil
}

// Fence returns the create revision of the holder key.
func (h *Holder) Fence() int64 { return h.fence }

// Spec returns the last known stored spec of a service, or nil if there is none. The caller
// must not change it.
func (h *Holder) Spec(serviceID uint32) *controlpb.TableSpec {
	if s := h.services[serviceID]; s != nil {
		return s.stored
	}
	return nil
}

// Handle processes an event and appends the resulting effects to effects.
func (h *Holder) Handle(now time.Time, event Event, effects []Effect) []Effect {
	switch e := event.(type) {
	case SettingsChanged:
		effects = h.applySettings(now, e.Settings, effects)
	case BalancersChanged:
		h.leasedBalancers = map[string]bool{}
		for _, name := range e.Names {
			h.leasedBalancers[name] = true
		}
	case BalancerConnected:
		effects = h.balancerConnected(now, e, effects)
	case BalancerDisconnected:
		if st := h.balancerStreams[e.Name]; st != nil {
			st.connected = false
			h.startAttachmentGrace(now, e.Name)
		}
	case MemberReported:
		effects = h.handleMemberReport(now, e, effects)
	case HeartbeatReceived:
		for _, s := range h.services {
			if m := s.members[e.Heartbeat.GetHost()]; m != nil && m.hasStream() {
				for range min(max(1, e.Heartbeat.GetSamples()), maxHeartbeatSamples) {
					s.learner.Observe(now, m.name, e.Heartbeat.GetBusyShare())
				}
			}
		}
	case AckReceived:
		h.handleAck(e)
	case HostSuspected:
		effects = h.handleSuspect(now, e, effects)
	case PublishConfirmed:
		h.publishConfirmed(now, e.Revision)
	case PublishUnconfirmed:
		h.publishUnconfirmed(now, e.Stored)
	case Tick:
		effects = h.tick(now, effects)
	}
	return effects
}

// tick checks the deadlines and appends what is due to effects.
func (h *Holder) tick(now time.Time, effects []Effect) []Effect {
	if now.Sub(h.lastTick) > stallThreshold && now.Add(stallGrace).After(h.graceUntil) {
		h.graceUntil = now.Add(stallGrace)
	}
	h.lastTick = now
	h.removeExpired(now)
	stepDue := !now.Before(h.nextWeightStep)
	if stepDue {
		h.nextWeightStep = now.Add(weightInterval)
	}
	for _, id := range h.sortedServiceIDs() {
		s := h.services[id]
		if stepDue || s.weightsStale {
			s.stepWeights(now)
		}
		for _, m := range s.members {
			effects = h.updateSuspicion(now, s, m, effects)
		}
		effects = h.pushSpec(now, s, effects)
	}
	return h.nextPublish(now, effects)
}

// sortedServiceIDs returns the service ids in ascending order, so that the same events
// produce the same effects.
func (h *Holder) sortedServiceIDs() []uint32 { return slices.Sorted(maps.Keys(h.services)) }

// applySettings replaces the settings, unless the new ones are older.
func (h *Holder) applySettings(now time.Time, settings *Settings, effects []Effect) []Effect {
	if settings.Version < h.settings.Version || settings.Revision < h.settings.Revision {
		return effects
	}
	h.settings = settings
	h.serviceIDs = map[string]uint32{}
	for _, s := range h.services {
		s.settings = nil
	}
	for i := range settings.Services {
		configured := &settings.Services[i]
		id := configured.Service.GetId()
		if Of(id) != h.shard {
			continue
		}
		h.serviceIDs[configured.Service.GetName()] = id
		s := h.services[id]
		if s == nil {
			s = newService(id)
			h.services[id] = s
		}
		s.settings = configured
	}
	for id, s := range h.services {
		if name := s.stored.GetService().GetName(); s.settings == nil && name != "" && h.serviceIDs[name] == 0 {
			h.serviceIDs[name] = id // the settings may be older than the spec
		}
		for _, m := range s.members {
			m.override, s.weightsStale = settings.Hosts[m.name], true
		}
	}
	early := h.earlyReports
	h.earlyReports = nil
	for _, e := range early {
		effects = h.handleMemberReport(now, e, effects)
	}
	return effects
}

// balancerConnected records the stream of a balancer and sends the current suspicions to
// it.
func (h *Holder) balancerConnected(now time.Time, e BalancerConnected, effects []Effect) []Effect {
	st := h.balancerStreams[e.Name]
	if st == nil || st.incarnation != e.Incarnation {
		// A restarted balancer starts without tables, so only its new acknowledgements count.
		for _, s := range h.services {
			delete(s.balancerAcks, e.Name)
		}
		st = &balancerStream{incarnation: e.Incarnation}
		h.balancerStreams[e.Name] = st
	}
	st.connected = true
	h.startAttachmentGrace(now, e.Name)
	for _, id := range h.sortedServiceIDs() {
		s := h.services[id]
		for _, m := range s.sortedMembers() {
			if m.suspicionSent {
				effects = append(effects, &SendSuspicion{Balancer: e.Name, Suspect: m.suspectMessage(s.id, true)})
			}
		}
	}
	return effects
}

// startAttachmentGrace sets when the attachments to a balancer expire unless the balancer
// reports them again.
func (h *Holder) startAttachmentGrace(now time.Time, balancer string) {
	for _, s := range h.services {
		for _, m := range s.members {
			if a := m.attachments[balancer]; a != nil {
				a.expiresAt = now.Add(attachmentGrace)
			}
		}
	}
}

// removeExpired removes attachments that were not reported again in time, and the streams
// and acknowledgements of balancers that are gone.
func (h *Holder) removeExpired(now time.Time) {
	for name, st := range h.balancerStreams {
		if !st.connected && !h.leasedBalancers[name] {
			// The attachments of a dead balancer expire at their own time: the end of its
			// lease is no evidence about the agents.
			delete(h.balancerStreams, name)
			for _, s := range h.services {
				delete(s.balancerAcks, name)
			}
		}
	}
	for _, s := range h.services {
		for _, m := range s.members {
			for balancer, a := range m.attachments {
				if !a.expiresAt.IsZero() && !now.Before(a.expiresAt) {
					m.detach(now, balancer)
				}
			}
		}
	}
}

// handleAck records the version that a balancer uses, or whose directory entries an agent
// has transferred.
func (h *Holder) handleAck(e AckReceived) {
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
	if a := m.attachments[e.Balancer]; a != nil {
		a.ackedVersion = max(a.ackedVersion, e.Ack.GetVersion())
	}
}
