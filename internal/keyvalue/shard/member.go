package shard

import (
	"maps"
	"slices"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/weights"
)

const (
	// removeAfter is how long a host must have had no stream before it is left out of the
	// table. Agents restart faster; until then balancers suspect the host.
	removeAfter = 3 * time.Second
	// massLossWindow is the time within which the loss of more than half of the members is
	// attributed to a fault of the observation.
	massLossWindow = 5 * time.Second
)

// service is a service of the shard.
type service struct {
	id uint32
	// settings is nil if the configuration does not have the service.
	settings *ServiceSettings
	// stored is the spec that the store holds, or nil if there is none, and storedRevision
	// the mod revision of its key.
	stored         *controlpb.TableSpec
	storedRevision int64
	// listed holds the members of the newest version by host. retained holds the newest
	// entry of each host in any retained version.
	listed, retained map[string]*controlpb.Member

	members map[string]*member
	// balancerAcks holds the newest version that each balancer uses, by name.
	balancerAcks map[string]uint64
	// removedAt holds when each lost host was last left out of the table.
	removedAt map[string]time.Time
	// changedAt is when an unpublished change was first seen; zero if there is none.
	changedAt time.Time
	// publishedAt is when the newest version was published or read.
	publishedAt time.Time
	// nextPushAt is when the spec is next sent to the balancers that are behind.
	nextPushAt time.Time
	// pushes counts the pushes since the last change. Each doubles the wait until the next.
	pushes int
	// blockedAt is when the service was first unable to publish a change or was last
	// reported as blocked; zero if it is not blocked.
	blockedAt time.Time
	// keptReported is set while lost hosts are kept in the table and this has been
	// reported.
	keptReported bool
	learner      *weights.Learner
	// weightsStale is set if a host was added or a base weight changed since the last step
	// of the learner.
	weightsStale bool
	// activeSince is when the service first had an active host: one that is not draining and
	// has a weight above 0. Zero means that it has had none.
	activeSince time.Time
}

// member is a host that its agent has announced or that a retained version lists.
type member struct {
	name string
	// announced is the last announcement of the agent. Until the first one, it is the
	// listed entry.
	announced *controlpb.Member
	override  HostSettings
	draining  bool
	// gone is set if the agent has announced that it leaves, or another host has taken its
	// address.
	gone bool
	// attachments holds the streams of the agent by balancer.
	attachments map[string]*attachment
	// downSince is when the last attachment ended.
	downSince time.Time
	// suspicionSent is set while balancers have been instructed to suspect the host.
	suspicionSent bool
	// learnedWeight is the weight that the learner derived from the base weight
	// learnedBase, both in thousandths.
	learnedWeight, learnedBase uint32
}

// attachment is the stream of an agent at a balancer.
type attachment struct {
	// ackedVersion is the newest version whose directory entries the agent has transferred.
	ackedVersion uint64
	// expiresAt is when the attachment ends unless it is reported again. Zero means that it
	// was reported on the present stream of the balancer.
	expiresAt time.Time
}

func newService(id uint32) *service {
	return &service{
		id: id, members: map[string]*member{}, balancerAcks: map[string]uint64{}, removedAt: map[string]time.Time{},
		learner: weights.New(),
	}
}

// usedVersion returns the newest version that a balancer uses, or 0 if none is known.
func (s *service) usedVersion() (version uint64) {
	for _, v := range s.balancerAcks {
		version = max(version, v)
	}
	return version
}

// sortedMembers returns the members ordered by name.
func (s *service) sortedMembers() []*member {
	members := make([]*member, 0, len(s.members))
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		members = append(members, s.members[name])
	}
	return members
}

// setStored records the spec that the store holds.
func (s *service) setStored(spec *controlpb.TableSpec, revision int64) {
	s.stored, s.storedRevision = spec, revision
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

// hasStream reports whether the agent of the host has a stream at any balancer.
func (m *member) hasStream() bool { return len(m.attachments) > 0 }

// detach removes the attachment to a balancer.
func (m *member) detach(now time.Time, balancer string) {
	if m.attachments[balancer] == nil {
		return
	}
	delete(m.attachments, balancer)
	if !m.hasStream() {
		m.downSince = now
	}
}

// isDraining reports whether the host accepts no new flows.
func (m *member) isDraining() bool { return m.draining || m.override.Drain }

// suspectMessage returns the message that starts or ends the suspicion of the host.
func (m *member) suspectMessage(serviceID uint32, suspected bool) *controlpb.Suspect {
	return &controlpb.Suspect{
		ServiceId: serviceID, Host: m.name, Suspected: suspected, Incarnation: m.announced.GetIncarnation(),
	}
}

// ackedVersion returns the newest version whose directory entries the agent has
// transferred.
func (m *member) ackedVersion() (version uint64) {
	for _, a := range m.attachments {
		version = max(version, a.ackedVersion)
	}
	return version
}

// declaredDead reports whether the host has left or has been without a stream for long
// enough to be left out of the table.
func (h *Holder) declaredDead(now time.Time, m *member) bool {
	return m.gone || (!m.hasStream() && !now.Before(m.downSince.Add(removeAfter)) && !now.Before(h.graceUntil))
}

// handleMemberReport processes the announcement of an agent at a balancer. Reports of a
// service that is not known yet are kept until the configuration has it.
func (h *Holder) handleMemberReport(now time.Time, e MemberReported, effects []Effect) []Effect {
	r := e.Report
	id, ok := h.serviceIDs[r.GetService()]
	if !ok {
		if len(h.earlyReports) < maxEarlyReports {
			h.earlyReports = append(h.earlyReports, e)
		}
		return effects
	}
	s := h.services[id]
	if r.GetMember() == nil {
		return effects
	}
	m := s.members[r.GetMember().GetHost()]
	if m != nil && r.GetMember().GetIncarnation() < m.announced.GetIncarnation() {
		return effects // a delayed report of an earlier process
	}
	if r.GetGone() {
		if m != nil {
			m.gone, m.attachments, m.downSince = true, map[string]*attachment{}, now
			effects = h.updateSuspicion(now, s, m, effects)
		}
		return effects
	}
	if !s.claimAddress(now, r.GetMember()) {
		return effects
	}
	if m == nil {
		m = &member{name: r.GetMember().GetHost(), attachments: map[string]*attachment{}}
		m.override = h.settings.Hosts[m.name]
		s.members[m.name] = m
	}
	if m.announced.GetIncarnation() != r.GetMember().GetIncarnation() {
		// The acknowledgements of an earlier process do not count for this one.
		m.attachments, m.gone = map[string]*attachment{}, false
	}
	if m.gone {
		return effects
	}
	m.announced, m.draining, s.weightsStale = r.GetMember(), r.GetMember().GetDraining(), true
	a := m.attachments[e.Balancer]
	if a == nil {
		a = &attachment{}
		m.attachments[e.Balancer] = a
	}
	a.expiresAt = time.Time{}
	if st := h.balancerStreams[e.Balancer]; st == nil || !st.connected {
		a.expiresAt = now.Add(attachmentGrace)
	}
	return h.updateSuspicion(now, s, m, effects)
}

// claimAddress assigns the data address of an announced host to that host. Readers reject a
// table that contains an address twice, so of two hosts that announce the same address, the
// one with the later agent process keeps it. claimAddress returns false if that is the
// other host.
func (s *service) claimAddress(now time.Time, announced *controlpb.Member) bool {
	for _, other := range s.members {
		if other.name == announced.GetHost() || other.announced.GetAddress() != announced.GetAddress() || other.gone {
			continue
		}
		if other.hasStream() && other.announced.GetIncarnation() > announced.GetIncarnation() {
			return false
		}
		other.gone, other.attachments, other.downSince = true, map[string]*attachment{}, now
	}
	return true
}

// handleSuspect processes the end of the stream of an agent at a balancer.
func (h *Holder) handleSuspect(now time.Time, e HostSuspected, effects []Effect) []Effect {
	s := h.services[e.Suspect.GetServiceId()]
	if s == nil || !e.Suspect.GetSuspected() {
		return effects
	}
	m := s.members[e.Suspect.GetHost()]
	if m == nil || e.Suspect.GetIncarnation() < m.announced.GetIncarnation() {
		return effects
	}
	m.detach(now, e.Balancer)
	return h.updateSuspicion(now, s, m, effects)
}

// updateSuspicion notifies the balancers when a host has lost its last stream, and when it
// has one again.
func (h *Holder) updateSuspicion(now time.Time, s *service, m *member, effects []Effect) []Effect {
	down := !m.hasStream() && (m.gone || !now.Before(h.graceUntil)) && s.retained[m.name] != nil
	switch {
	case down && !m.suspicionSent:
		m.suspicionSent = true
		return append(effects, &SendSuspicion{Suspect: m.suspectMessage(s.id, true)})
	case m.suspicionSent && m.hasStream():
		m.suspicionSent = false
		return append(effects, &SendSuspicion{Suspect: m.suspectMessage(s.id, false)})
	}
	return effects
}

// lostHosts returns the hosts to leave out of the next version because no balancer has a
// stream of their agents. It returns none if more than half of the members were lost at
// once; these are kept until enough of them are back, their agents announce that they
// leave, or other hosts take their addresses. down counts the hosts without a stream and
// those left out within massLossWindow; total counts all members and those left out within
// massLossWindow.
func (h *Holder) lostHosts(now time.Time, s *service) (lost map[string]bool, down, total int) {
	lost = map[string]bool{}
	total = len(s.listed)
	for name := range s.listed {
		m := s.members[name]
		if m == nil || m.gone || m.hasStream() {
			continue
		}
		down++
		if h.declaredDead(now, m) {
			lost[name] = true
		}
	}
	recent := 0
	for name, at := range s.removedAt {
		if s.listed[name] == nil && now.Sub(at) < massLossWindow {
			recent++
		}
	}
	down, total = down+recent, total+recent
	if len(lost) > 0 && 2*down > total {
		return map[string]bool{}, down, total
	}
	return lost, down, total
}
