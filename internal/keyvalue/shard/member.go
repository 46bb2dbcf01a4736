package shard

import (
	"maps"
	"slices"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/weights"
)

const (
	// removeAfter is how long a host must have been without a stream before it is
	// left out of the table. Agents restart faster; until then balancers suspect it.
	removeAfter = 3 * time.Second
	// massWindow is the time within which losing more than half of the members is
	// taken for a fault of the observation.
	massWindow = 5 * time.Second
)

// service is a service of the shard.
type service struct {
	id uint32
	// settings is nil when the configuration does not have the service.
	settings *ServiceSettings
	// stored is the spec that the store holds, and revision its mod revision.
	stored   *controlpb.TableSpec
	revision int64
	// listed holds the members of the newest version by host, and retained the
	// newest entry of each host in any retained version.
	listed, retained map[string]*controlpb.Member

	members map[string]*member
	// balancerAcks holds the newest version in use by balancer.
	balancerAcks map[string]uint64
	// removals holds when lost hosts were last left out.
	removals map[string]time.Time
	// changedAt is when a change that is not published yet was first seen.
	changedAt   time.Time
	publishedAt time.Time
	pushAt      time.Time
	// pushes counts the pushes since the last change; each doubles the wait.
	pushes    int
	blockedAt time.Time
	kept      bool
	learner   *weights.Learner
	// stale is set when a host came or its base weight changed since the last step
	// of the learner.
	stale bool
	// activeSince is when the service had its first active host.
	activeSince time.Time
}

// member is a host that is announced or listed in a retained version.
type member struct {
	name string
	// announced is what the agent said last, or the listed member before that.
	announced *controlpb.Member
	override  HostSettings
	draining  bool
	// gone is set when the agent said that it leaves.
	gone     bool
	attached map[string]*attachment
	// downSince is when the last attachment ended.
	downSince time.Time
	// told is set when balancers were told to suspect the host.
	told bool
	// weight is the effective weight in thousandths, and weighed the base weight
	// that it was derived from.
	weight, weighed uint32
}

// attachment is the stream of an agent at a balancer.
type attachment struct {
	// acked is the newest version whose directory entries the agent has transferred.
	acked uint64
	// until is when the attachment ends unless it is reported again; zero means
	// that it was reported on the present stream of the balancer.
	until time.Time
}

func newService(id uint32) *service {
	return &service{
		id: id, members: map[string]*member{}, balancerAcks: map[string]uint64{}, removals: map[string]time.Time{},
		learner: weights.New(),
	}
}

// ordered returns the members in the order of their names.
func (s *service) ordered() []*member {
	members := make([]*member, 0, len(s.members))
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		members = append(members, s.members[name])
	}
	return members
}

// setStored takes a spec as that which the store holds.
func (s *service) setStored(spec *controlpb.TableSpec, revision int64) {
	s.stored, s.revision = spec, revision
	s.listed, s.retained = map[string]*controlpb.Member{}, map[string]*controlpb.Member{}
	for i, v := range spec.GetVersions() {
		for _, m := range v.GetMembers() {
			if i == 0 {
				s.listed[m.GetHost()] = m
			}
			if s.retained[m.GetHost()] == nil {
				s.retained[m.GetHost()] = m
			}
		}
	}
}

func (m *member) up() bool { return len(m.attached) > 0 }

func (m *member) detach(now time.Time, balancer string) {
	if m.attached[balancer] == nil {
		return
	}
	delete(m.attached, balancer)
	if !m.up() {
		m.downSince = now
	}
}

// drains reports whether the host takes no new flows.
func (m *member) drains() bool { return m.draining || m.override.Drain }

func (m *member) suspicion(serviceID uint32, suspected bool) *controlpb.Suspect {
	return &controlpb.Suspect{
		ServiceId: serviceID, Host: m.name, Suspected: suspected, Incarnation: m.announced.GetIncarnation(),
	}
}

// acked returns the newest version whose directory entries the agent has transferred.
func (m *member) acked() (version uint64) {
	for _, a := range m.attached {
		version = max(version, a.acked)
	}
	return version
}

// decidedDead reports whether the host has been without a stream for long enough.
func (h *Holder) decidedDead(now time.Time, m *member) bool {
	return m.gone || (!m.up() && !now.Before(m.downSince.Add(removeAfter)) && !now.Before(h.graceUntil))
}

// report takes what an agent announced at a balancer.
func (h *Holder) report(now time.Time, e Reported, effects []Effect) []Effect {
	r := e.Report
	id, ok := h.byName[r.GetService()]
	if !ok {
		if len(h.early) < maxEarlyReports {
			h.early = append(h.early, e)
		}
		return effects
	}
	s := h.services[id]
	if r.GetMember() == nil {
		return effects
	}
	m := s.members[r.GetMember().GetHost()]
	if m != nil && r.GetMember().GetIncarnation() < m.announced.GetIncarnation() {
		return effects // a late report of an earlier process
	}
	if r.GetGone() {
		if m != nil {
			m.gone, m.attached, m.downSince = true, map[string]*attachment{}, now
			effects = h.judge(now, s, m, effects)
		}
		return effects
	}
	if !s.claim(now, r.GetMember()) {
		return effects
	}
	if m == nil {
		m = &member{name: r.GetMember().GetHost(), attached: map[string]*attachment{}}
		m.override = h.settings.Hosts[m.name]
		s.members[m.name] = m
	}
	if m.announced.GetIncarnation() != r.GetMember().GetIncarnation() {
		// The acknowledgements of the earlier process do not count for this one.
		m.attached, m.gone = map[string]*attachment{}, false
	}
	if m.gone {
		return effects
	}
	m.announced, m.draining, s.stale = r.GetMember(), r.GetMember().GetDraining(), true
	a := m.attached[e.Balancer]
	if a == nil {
		a = &attachment{}
		m.attached[e.Balancer] = a
	}
	a.until = time.Time{}
	if st := h.streams[e.Balancer]; st == nil || !st.connected {
		a.until = now.Add(attachmentGrace)
	}
	return h.judge(now, s, m, effects)
}

// claim gives the data address of an announced host to it. A table with one
// address twice is refused by its readers, so of two hosts that announce the
// same address the later process keeps it. It reports false when that is the other.
func (s *service) claim(now time.Time, announced *controlpb.Member) bool {
	for _, other := range s.members {
		if other.name == announced.GetHost() || other.announced.GetAddress() != announced.GetAddress() || other.gone {
			continue
		}
		if other.up() && other.announced.GetIncarnation() > announced.GetIncarnation() {
			return false
		}
		other.gone, other.attached, other.downSince = true, map[string]*attachment{}, now
	}
	return true
}

// suspect takes the end of an agent's stream at a balancer.
func (h *Holder) suspect(now time.Time, e Suspected, effects []Effect) []Effect {
	s := h.services[e.Suspect.GetServiceId()]
	if s == nil || !e.Suspect.GetSuspected() {
		return effects
	}
	m := s.members[e.Suspect.GetHost()]
	if m == nil || e.Suspect.GetIncarnation() < m.announced.GetIncarnation() {
		return effects
	}
	m.detach(now, e.Balancer)
	return h.judge(now, s, m, effects)
}

// judge tells the balancers when a host loses its last stream or is back.
func (h *Holder) judge(now time.Time, s *service, m *member, effects []Effect) []Effect {
	down := !m.up() && (m.gone || !now.Before(h.graceUntil)) && s.retained[m.name] != nil
	switch {
	case down && !m.told:
		m.told = true
		return append(effects, &Tell{Suspect: m.suspicion(s.id, true)})
	case m.told && m.up():
		m.told = false
		return append(effects, &Tell{Suspect: m.suspicion(s.id, false)})
	}
	return effects
}

// lost returns the hosts to leave out of the next version because no balancer
// has their stream. It returns none when more than half of the members were lost
// at once; these are then kept until enough of them are back, or the operator or
// the agents themselves say that they are gone.
func (h *Holder) lost(now time.Time, s *service) (lost map[string]bool, down, total int) {
	lost = map[string]bool{}
	total = len(s.listed)
	for name := range s.listed {
		m := s.members[name]
		if m == nil || m.gone || m.up() {
			continue
		}
		down++
		if h.decidedDead(now, m) {
			lost[name] = true
		}
	}
	recent := 0
	for name, at := range s.removals {
		if s.listed[name] == nil && now.Sub(at) < massWindow {
			recent++
		}
	}
	down, total = down+recent, total+recent
	if len(lost) > 0 && 2*down > total {
		return map[string]bool{}, down, total
	}
	return lost, down, total
}
