package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
)

// maxVersions is the largest number of retained versions of a spec.
const maxVersions = 4

const (
	// urgentDelay and changeDelay are how long a change waits, so that changes that come
	// close together are published in one version.
	urgentDelay = 50 * time.Millisecond
	changeDelay = 300 * time.Millisecond
	// changeSpacing is the shortest time between two versions that are not urgent.
	changeSpacing = time.Second
	// retireDelay delays the retirement of old versions, so that it can be written together
	// with a new version that comes soon.
	retireDelay = time.Second
	// pushDelay is how long balancers may take to receive a spec through their watch before
	// the holder sends it to them.
	pushDelay    = 500 * time.Millisecond
	maxPushDelay = 30 * time.Second
	// maxPushDoublings keeps the wait from overflowing. The wait reaches maxPushDelay after
	// fewer doublings.
	maxPushDoublings = 10
	// blockedAfter is how long a service must have been unable to publish before it is
	// reported.
	blockedAfter = 10 * time.Second
	// maxTransactionBytes limits the total size of the specs in one transaction.
	maxTransactionBytes = 512 << 10
)

// urgency orders the changes of a service. A change that is not urgent must leave room for
// one more retained version, so that slow retirement of old versions never delays an urgent
// change.
type urgency int

const (
	unchanged urgency = iota
	// weightChange is a weight that was learned or raised by slow start.
	weightChange
	// memberChange is a host that was added, has ended its drain, or has changed.
	memberChange
	// urgentChange is a new definition, a drain, a changed address, or a host that is lost
	// or has left.
	urgentChange
)

// maxRetained returns how many older versions may be retained beside a new one.
func (u urgency) maxRetained() int {
	if u == urgentChange {
		return maxVersions - 1
	}
	return maxVersions - 2
}

// delay returns how long a change waits before it is published.
func (u urgency) delay() time.Duration {
	if u == urgentChange {
		return urgentDelay
	}
	return changeDelay
}

// versionPlan describes the next version of a service.
type versionPlan struct {
	members []*member
	lost    map[string]bool
	urgency urgency
}

// planVersion compares the present members and the configured definition with the stored
// spec.
func (h *Holder) planVersion(now time.Time, s *service) (p versionPlan) {
	raiseUrgency := func(u urgency) { p.urgency = max(p.urgency, u) }
	if s.stored == nil || (s.settings != nil && s.settings.ConfigVersion > s.stored.GetConfigVersion()) {
		raiseUrgency(urgentChange)
	}
	if s.usedVersion() > NewestVersion(s.stored) {
		// The store was restored or the spec was unreadable: balancers use a version that it no longer holds.
		raiseUrgency(urgentChange)
	}
	p.lost, _, _ = h.lostHosts(now, s)
	for _, m := range s.members {
		old := s.listed[m.name]
		if m.gone || p.lost[m.name] || (old == nil && !m.hasStream()) {
			if old != nil {
				raiseUrgency(urgentChange)
			}
			continue
		}
		p.members = append(p.members, m)
		raiseUrgency(m.changeUrgency(old))
	}
	return p
}

// memberEntries returns the members of the planned version ordered by name.
func (p *versionPlan) memberEntries() []*controlpb.Member {
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	entries := make([]*controlpb.Member, 0, len(p.members))
	for _, m := range p.members {
		next := proto.Clone(m.announced).(*controlpb.Member)
		next.Draining, next.BaseWeight = m.isDraining(), m.baseWeight()
		next.Weight = m.effectiveWeight()
		entries = append(entries, next)
	}
	return entries
}

// changeUrgency returns how urgent it is to replace the listed entry of a host; old is nil
// if the host is not listed. A new incarnation alone changes the host of no bucket and is
// published with the next other change.
func (m *member) changeUrgency(old *controlpb.Member) urgency {
	announced := m.announced
	switch {
	case old == nil:
		return memberChange
	case old.GetAddress() != announced.GetAddress(), m.isDraining() && !old.GetDraining():
		return urgentChange
	case old.GetBaseWeight() != m.baseWeight(), old.GetDraining() != m.isDraining(),
		old.GetControlAddress() != announced.GetControlAddress(), old.GetDataCentre() != announced.GetDataCentre(),
		old.GetSlots() != announced.GetSlots(), old.GetConnections() != announced.GetConnections():
		return memberChange
	case old.GetWeight() != m.effectiveWeight():
		return weightChange
	}
	return unchanged
}

// nextPublish appends the next Publish to effects, if a change is due. It waits while one
// is outstanding or the settings are older than MinSettingsRevision.
func (h *Holder) nextPublish(now time.Time, effects []Effect) []Effect {
	if h.inflight != nil || h.settings.Version == 0 || h.settings.Revision < h.minSettingsRevision {
		return effects
	}
	var publication *Publish
	size := 0
	for _, id := range h.sortedServiceIDs() {
		s := h.services[id]
		var change *Change
		change, effects = h.nextChange(now, s, effects)
		if change == nil {
			continue
		}
		if size += proto.Size(change.Spec); size > maxTransactionBytes && publication != nil {
			break
		}
		if publication == nil {
			publication = &Publish{SettingsRevision: h.settings.Revision}
		}
		publication.Changes = append(publication.Changes, *change)
	}
	if publication != nil {
		h.inflight = publication
		effects = append(effects, publication)
	}
	return effects
}

// nextChange returns the change of a service that is due, or nil. It appends the reports of
// kept hosts, of lost hosts and of a blocked publication to effects.
func (h *Holder) nextChange(now time.Time, s *service, effects []Effect) (*Change, []Effect) {
	if s.settings == nil {
		// Settings older than the spec do not show whether the service was removed: it may
		// be newer than they are.
		if s.stored != nil && s.storedRevision != 0 && h.settings.Version > s.stored.GetConfigVersion() {
			return &Change{Spec: s.stored, Delete: true, Revision: s.storedRevision}, effects
		}
		return nil, effects
	}
	p := h.planVersion(now, s)
	effects = h.reportHostsKept(now, s, effects)
	oldest := h.oldestToRetain(now, s)
	if p.urgency == unchanged {
		s.changedAt = time.Time{}
		s.blockedAt = time.Time{}
		if s.stored != nil && oldest > OldestVersion(s.stored) && now.Sub(s.publishedAt) >= retireDelay {
			return s.newChange(h.fence, nil, oldest), effects
		}
		return nil, effects
	}
	if s.changedAt.IsZero() {
		s.changedAt = now
	}
	if now.Sub(s.changedAt) < p.urgency.delay() || (p.urgency < urgentChange && now.Sub(s.publishedAt) < changeSpacing) {
		return nil, effects
	}
	if s.stored != nil && int(NewestVersion(s.stored)-oldest)+1 > p.urgency.maxRetained() {
		return h.reportBlocked(now, s, oldest, effects)
	}
	s.blockedAt = time.Time{}
	for _, name := range slices.Sorted(maps.Keys(p.lost)) {
		effects = append(effects, &HostEjected{ServiceID: s.id, Host: name})
	}
	return s.newChange(h.fence, p.memberEntries(), oldest), effects
}

// newChange returns the change that adds a version with the given members, or no version if
// members is nil, and retires the versions below oldest.
func (s *service) newChange(fence int64, members []*controlpb.Member, oldest uint64) *Change {
	spec := &controlpb.TableSpec{ServiceId: s.id, Fence: fence}
	newest := NewestVersion(s.stored)
	if members != nil {
		spec.Versions = append(spec.Versions, &controlpb.TableVersion{Version: max(newest, s.usedVersion()) + 1, Members: members})
	}
	for _, v := range s.stored.GetVersions() {
		// The versions of a spec are consecutive, so none can be retained below versions that the store lost.
		if v.GetVersion() >= oldest && (members == nil || s.usedVersion() <= newest) {
			spec.Versions = append(spec.Versions, v)
		}
	}
	spec.Service, spec.ConfigVersion = s.stored.GetService(), s.stored.GetConfigVersion()
	// The definition changes only together with the version, so that readers that compare
	// only versions do not miss it.
	if members != nil && (s.stored == nil || s.settings.ConfigVersion > s.stored.GetConfigVersion()) {
		spec.Service, spec.ConfigVersion = s.settings.Service, s.settings.ConfigVersion
	}
	return &Change{Spec: spec, Revision: s.storedRevision}
}

// reportBlocked reports the balancers and agents that keep a service from publishing, once
// it has been blocked for blockedAfter and then at that interval. The Change that it
// returns is always nil.
func (h *Holder) reportBlocked(now time.Time, s *service, oldest uint64, effects []Effect) (*Change, []Effect) {
	if s.blockedAt.IsZero() {
		s.blockedAt = now
	}
	if now.Sub(s.blockedAt) < blockedAfter {
		return nil, effects
	}
	s.blockedAt = now
	return nil, append(effects, &PublicationBlocked{
		ServiceID: s.id, Version: oldest, WaitingFor: h.namesBehind(now, s, oldest),
	})
}

// reportHostsKept reports once that members are kept because too many were lost at once.
func (h *Holder) reportHostsKept(now time.Time, s *service, effects []Effect) []Effect {
	_, down, total := h.lostHosts(now, s)
	kept := 2*down > total && down > 0 && !now.Before(h.graceUntil)
	if kept && !s.keptReported {
		effects = append(effects, &HostsKept{ServiceID: s.id, Lost: down, Total: total})
	}
	s.keptReported = kept
	return effects
}

// oldestToRetain returns the oldest version that must still be retained.
func (h *Holder) oldestToRetain(now time.Time, s *service) uint64 {
	oldest := OldestVersion(s.stored)
	for oldest < NewestVersion(s.stored) && !h.anyBehind(now, s, oldest, nil) {
		oldest++
	}
	return oldest
}

// anyBehind reports whether a live balancer, or a live agent of the service, has yet to
// acknowledge a version above the given one. A balancer is live while it has a leased key
// or a stream, even if it has only one of them. An agent is live while a balancer has its
// stream and until it is declared dead. If each is nil, anyBehind stops at the first one
// that is behind; otherwise it calls each with the name of every one.
func (h *Holder) anyBehind(now time.Time, s *service, version uint64, each func(name string)) (found bool) {
	behind := func(name string) bool {
		found = true
		if each != nil {
			each(name)
		}
		return each == nil
	}
	for name := range h.leasedBalancers {
		if s.balancerAcks[name] <= version && behind(name) {
			return true
		}
	}
	for name, st := range h.balancerStreams {
		if st.connected && !h.leasedBalancers[name] && s.balancerAcks[name] <= version && behind(name) {
			return true
		}
	}
	for name, m := range s.members {
		live := m.hasStream() || (s.listed[name] != nil && !h.declaredDead(now, m))
		if live && m.ackedVersion() <= version && behind(name) {
			return true
		}
	}
	return found
}

// namesBehind returns the names of the balancers and agents that have yet to acknowledge a
// version above the given one, sorted.
func (h *Holder) namesBehind(now time.Time, s *service, version uint64) (names []string) {
	h.anyBehind(now, s, version, func(name string) { names = append(names, name) })
	slices.Sort(names)
	return names
}

// publishConfirmed records what the outstanding transaction wrote.
func (h *Holder) publishConfirmed(now time.Time, revision int64) {
	if h.inflight == nil {
		return
	}
	for _, c := range h.inflight.Changes {
		id := c.Spec.GetServiceId()
		if !c.Delete {
			h.adoptSpec(now, StoredSpec{Spec: c.Spec, Revision: revision})
			continue
		}
		if s := h.services[id]; s != nil && s.settings == nil {
			delete(h.services, id)
		}
	}
	h.inflight = nil
}

// publishUnconfirmed records what the store holds after a transaction that failed or whose
// outcome is unknown.
func (h *Holder) publishUnconfirmed(now time.Time, stored []StoredSpec) {
	h.inflight = nil
	found := map[uint32]bool{}
	for _, st := range stored {
		if Of(st.Spec.GetServiceId()) == h.shard {
			found[st.Spec.GetServiceId()] = true
			h.adoptSpec(now, st)
		}
	}
	for id, s := range h.services {
		switch {
		case found[id]:
		case s.settings == nil:
			delete(h.services, id)
		default:
			s.storedRevision = 0 // version numbers continue from the last known one
		}
	}
}

// adoptSpec records a spec that the store holds and updates the members of its service.
func (h *Holder) adoptSpec(now time.Time, st StoredSpec) {
	id := st.Spec.GetServiceId()
	s := h.services[id]
	if s == nil {
		s = newService(id)
		h.services[id] = s
		if name := st.Spec.GetService().GetName(); name != "" && h.serviceIDs[name] == 0 {
			h.serviceIDs[name] = id
		}
	}
	if s.stored == nil || NewestVersion(st.Spec) > NewestVersion(s.stored) {
		s.changedAt, s.publishedAt = time.Time{}, now
		s.nextPushAt, s.pushes = now.Add(pushDelay), 0
	}
	previous := s.listed
	if st.Revision >= s.storedRevision {
		s.setStored(st.Spec, st.Revision)
	}
	for name := range previous {
		if m := s.members[name]; s.listed[name] == nil && m != nil && !m.gone {
			s.removedAt[name] = now
		}
	}
	maps.DeleteFunc(s.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= massLossWindow })
	for name, l := range s.retained {
		if s.members[name] == nil {
			s.members[name] = &member{
				name: name, announced: l, attachments: map[string]*attachment{}, downSince: now,
				override: h.settings.Hosts[name],
			}
		}
	}
	for name, m := range s.members {
		if s.retained[name] == nil && !m.hasStream() {
			delete(s.members, name)
		}
	}
	for _, l := range s.listed {
		if s.activeSince.IsZero() && !l.GetDraining() && l.GetWeight() > 0 {
			s.activeSince = now
		}
	}
	s.reportStoredWeights(now)
}

// pushSpec sends the newest spec to the connected balancers that have not acknowledged it.
func (h *Holder) pushSpec(now time.Time, s *service, effects []Effect) []Effect {
	if s.stored == nil || s.nextPushAt.IsZero() || now.Before(s.nextPushAt) {
		return effects
	}
	var behind []string
	for name, st := range h.balancerStreams {
		if st.connected && s.balancerAcks[name] < NewestVersion(s.stored) {
			behind = append(behind, name)
		}
	}
	slices.SortFunc(behind, cmp.Compare[string])
	for _, name := range behind {
		effects = append(effects, &PushSpec{Balancer: name, Spec: s.stored})
	}
	s.pushes++
	s.nextPushAt = now.Add(min(pushDelay<<min(s.pushes, maxPushDoublings), maxPushDelay))
	return effects
}
