package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
)

// maxVersions is the most retained versions of a spec.
const maxVersions = 4

const (
	// urgentDelay and changeDelay gather changes that come together into one version.
	urgentDelay = 50 * time.Millisecond
	changeDelay = 300 * time.Millisecond
	// changeSpacing lies between two versions that are not urgent.
	changeSpacing = time.Second
	// retireDelay lets a retirement ride on the next version when one comes soon.
	retireDelay = time.Second
	// pushDelay is how long balancers may take to learn a spec from their watch
	// before the holder sends it to them.
	pushDelay    = 500 * time.Millisecond
	maxPushDelay = 30 * time.Second
	// maxPushDoublings keeps the wait from overflowing; it reaches maxPushDelay before.
	maxPushDoublings = 10
	// blockedAfter is when a service that cannot publish is reported.
	blockedAfter = 10 * time.Second
	// maxBatchBytes bounds the specs of one transaction.
	maxBatchBytes = 512 << 10
)

// urgency orders the changes of a service. A less urgent change leaves retained
// versions free, so that slow retirement never holds up a more urgent one.
type urgency int

const (
	unchanged urgency = iota
	// weightChange is a learned or ramped weight.
	weightChange
	// memberChange is a host added, back from draining, or changed.
	memberChange
	// urgentChange is a definition, a drain or a lost host.
	urgentChange
)

// maxRetained returns how many versions may be retained before a new one.
func (u urgency) maxRetained() int {
	if u == urgentChange {
		return maxVersions - 1
	}
	return maxVersions - 2
}

func (u urgency) delay() time.Duration {
	if u == urgentChange {
		return urgentDelay
	}
	return changeDelay
}

// plan is what the next version of a service would be.
type plan struct {
	members []*member
	lost    map[string]bool
	urgency urgency
}

// plan compares the wanted members and definition with the stored spec.
func (h *Holder) plan(now time.Time, s *service) (p plan) {
	raise := func(u urgency) { p.urgency = max(p.urgency, u) }
	if s.stored == nil || (s.settings != nil && s.settings.ConfigVersion > s.stored.GetConfigVersion()) {
		raise(urgentChange)
	}
	p.lost, _, _ = h.lost(now, s)
	for _, m := range s.members {
		old := s.listed[m.name]
		if m.gone || p.lost[m.name] || (old == nil && !m.up()) {
			if old != nil {
				raise(urgentChange)
			}
			continue
		}
		p.members = append(p.members, m)
		raise(m.difference(old))
	}
	return p
}

// entries returns the members of the planned version in the order of their names.
func (p *plan) entries() []*controlpb.Member {
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	entries := make([]*controlpb.Member, 0, len(p.members))
	for _, m := range p.members {
		next := proto.Clone(m.announced).(*controlpb.Member)
		next.Draining, next.BaseWeight = m.drains(), m.baseWeight()
		next.Weight = m.effective()
		entries = append(entries, next)
	}
	return entries
}

// difference says how urgent it is to replace the listed entry of a host. A new
// incarnation alone moves no bucket and is published with the next other change.
func (m *member) difference(old *controlpb.Member) urgency {
	a := m.announced
	switch {
	case old == nil:
		return memberChange
	case old.GetAddress() != a.GetAddress(), m.drains() && !old.GetDraining():
		return urgentChange
	case old.GetBaseWeight() != m.baseWeight(), old.GetDraining() != m.drains(),
		old.GetControlAddress() != a.GetControlAddress(), old.GetDataCentre() != a.GetDataCentre(),
		old.GetSlots() != a.GetSlots(), old.GetConnections() != a.GetConnections():
		return memberChange
	case old.GetWeight() != m.effective():
		return weightChange
	}
	return unchanged
}

// publish decides on the next transaction.
func (h *Holder) publish(now time.Time, effects []Effect) []Effect {
	if h.inflight != nil || h.settings.Version == 0 || h.settings.Revision < h.minSettings {
		return effects
	}
	var out *Publish
	size := 0
	for _, id := range h.order() {
		s := h.services[id]
		var change *Change
		change, effects = h.next(now, s, effects)
		if change == nil {
			continue
		}
		if size += proto.Size(change.Spec); size > maxBatchBytes && out != nil {
			break
		}
		if out == nil {
			out = &Publish{Settings: h.settings.Revision}
		}
		out.Changes = append(out.Changes, *change)
	}
	if out != nil {
		h.inflight = out
		effects = append(effects, out)
	}
	return effects
}

// next returns the change of a service that is due, or nil.
func (h *Holder) next(now time.Time, s *service, effects []Effect) (*Change, []Effect) {
	if s.settings == nil {
		// Settings older than the spec say nothing about a service that is newer.
		if s.stored != nil && s.revision != 0 && h.settings.Version > s.stored.GetConfigVersion() {
			return &Change{Spec: s.stored, Delete: true, Revision: s.revision}, effects
		}
		return nil, effects
	}
	p := h.plan(now, s)
	effects = h.reportKept(now, s, effects)
	oldest := h.retirable(now, s)
	if p.urgency == unchanged {
		s.changedAt = time.Time{}
		s.blockedAt = time.Time{}
		if s.stored != nil && oldest > OldestVersion(s.stored) && now.Sub(s.publishedAt) >= retireDelay {
			return s.change(h.fence, nil, oldest), effects
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
		return h.blocked(now, s, oldest, effects)
	}
	s.blockedAt = time.Time{}
	for _, name := range slices.Sorted(maps.Keys(p.lost)) {
		effects = append(effects, &HostEjected{ServiceID: s.id, Host: name})
	}
	return s.change(h.fence, p.entries(), oldest), effects
}

// change returns the spec with a new version of the given members, or without a
// new version when members is nil, and without the versions below oldest.
func (s *service) change(fence int64, members []*controlpb.Member, oldest uint64) *Change {
	spec := &controlpb.TableSpec{ServiceId: s.id, Fence: fence}
	if members != nil {
		spec.Versions = append(spec.Versions, &controlpb.TableVersion{Version: NewestVersion(s.stored) + 1, Members: members})
	}
	for _, v := range s.stored.GetVersions() {
		if v.GetVersion() >= oldest {
			spec.Versions = append(spec.Versions, v)
		}
	}
	spec.Service, spec.ConfigVersion = s.stored.GetService(), s.stored.GetConfigVersion()
	// A definition changes together with the version, so that readers that only
	// compare versions do not miss it.
	if members != nil && (s.stored == nil || s.settings.ConfigVersion > s.stored.GetConfigVersion()) {
		spec.Service, spec.ConfigVersion = s.settings.Service, s.settings.ConfigVersion
	}
	return &Change{Spec: spec, Revision: s.revision}
}

// blocked reports after a while who holds up a service.
func (h *Holder) blocked(now time.Time, s *service, oldest uint64, effects []Effect) (*Change, []Effect) {
	if s.blockedAt.IsZero() {
		s.blockedAt = now
	}
	if now.Sub(s.blockedAt) < blockedAfter {
		return nil, effects
	}
	s.blockedAt = now
	return nil, append(effects, &PublicationBlocked{ServiceID: s.id, Version: oldest, Waiting: h.waiting(now, s, oldest)})
}

// reportKept says once that members are kept because too many were lost at once.
func (h *Holder) reportKept(now time.Time, s *service, effects []Effect) []Effect {
	_, down, total := h.lost(now, s)
	kept := 2*down > total && down > 0 && !now.Before(h.graceUntil)
	if kept && !s.kept {
		effects = append(effects, &HostsKept{ServiceID: s.id, Lost: down, Total: total})
	}
	s.kept = kept
	return effects
}

// retirable returns the oldest version to retain.
func (h *Holder) retirable(now time.Time, s *service) uint64 {
	oldest := OldestVersion(s.stored)
	for oldest < NewestVersion(s.stored) && !h.waits(now, s, oldest, nil) {
		oldest++
	}
	return oldest
}

// waits reports whether somebody has yet to acknowledge a version above the given
// one: a live balancer, or a live agent of the service. A balancer is live while
// it has a leased key or a stream, whatever the other; an agent while a balancer
// has its stream and until it counts as dead. It stops at the first one unless
// each is set, which it calls for all.
func (h *Holder) waits(now time.Time, s *service, version uint64, each func(name string)) (waits bool) {
	behind := func(name string) bool {
		waits = true
		if each != nil {
			each(name)
		}
		return each == nil
	}
	for name := range h.leased {
		if s.balancerAcks[name] <= version && behind(name) {
			return true
		}
	}
	for name, st := range h.streams {
		if st.connected && !h.leased[name] && s.balancerAcks[name] <= version && behind(name) {
			return true
		}
	}
	for name, m := range s.members {
		live := m.up() || (s.listed[name] != nil && !h.decidedDead(now, m))
		if live && m.acked() <= version && behind(name) {
			return true
		}
	}
	return waits
}

// waiting returns who has yet to acknowledge a version above the given one.
func (h *Holder) waiting(now time.Time, s *service, version uint64) (names []string) {
	h.waits(now, s, version, func(name string) { names = append(names, name) })
	slices.Sort(names)
	return names
}

// published takes over what the outstanding transaction wrote.
func (h *Holder) published(now time.Time, revision int64) {
	if h.inflight == nil {
		return
	}
	for _, c := range h.inflight.Changes {
		id := c.Spec.GetServiceId()
		if !c.Delete {
			h.adopt(now, StoredSpec{Spec: c.Spec, Revision: revision})
			continue
		}
		if s := h.services[id]; s != nil && s.settings == nil {
			delete(h.services, id)
		}
	}
	h.inflight = nil
}

// reread takes what the store holds after a transaction whose outcome is unknown.
func (h *Holder) reread(now time.Time, stored []StoredSpec) {
	h.inflight = nil
	found := map[uint32]bool{}
	for _, st := range stored {
		if Of(st.Spec.GetServiceId()) == h.shard {
			found[st.Spec.GetServiceId()] = true
			h.adopt(now, st)
		}
	}
	for id, s := range h.services {
		switch {
		case found[id]:
		case s.settings == nil:
			delete(h.services, id)
		default:
			s.revision = 0 // versions go on from the last known one
		}
	}
}

// adopt takes a spec as that which the store holds.
func (h *Holder) adopt(now time.Time, st StoredSpec) {
	id := st.Spec.GetServiceId()
	s := h.services[id]
	if s == nil {
		s = newService(id)
		h.services[id] = s
		if name := st.Spec.GetService().GetName(); name != "" && h.byName[name] == 0 {
			h.byName[name] = id
		}
	}
	if s.stored == nil || NewestVersion(st.Spec) > NewestVersion(s.stored) {
		s.changedAt, s.publishedAt = time.Time{}, now
		s.pushAt, s.pushes = now.Add(pushDelay), 0
	}
	before := s.listed
	if st.Revision >= s.revision {
		s.setStored(st.Spec, st.Revision)
	}
	for name := range before {
		if m := s.members[name]; s.listed[name] == nil && m != nil && !m.gone {
			s.removals[name] = now
		}
	}
	maps.DeleteFunc(s.removals, func(_ string, at time.Time) bool { return now.Sub(at) >= massWindow })
	for name, l := range s.retained {
		if s.members[name] == nil {
			s.members[name] = &member{
				name: name, announced: l, attached: map[string]*attachment{}, downSince: now,
				override: h.settings.Hosts[name],
			}
		}
	}
	for name, m := range s.members {
		if s.retained[name] == nil && !m.up() {
			delete(s.members, name)
		}
	}
	for _, l := range s.listed {
		if s.activeSince.IsZero() && !l.GetDraining() && l.GetWeight() > 0 {
			s.activeSince = now
		}
	}
	s.tellLearner(now)
}

// push sends the newest spec to connected balancers that are behind.
func (h *Holder) push(now time.Time, s *service, effects []Effect) []Effect {
	if s.stored == nil || s.pushAt.IsZero() || now.Before(s.pushAt) {
		return effects
	}
	var behind []string
	for name, st := range h.streams {
		if st.connected && s.balancerAcks[name] < NewestVersion(s.stored) {
			behind = append(behind, name)
		}
	}
	slices.SortFunc(behind, cmp.Compare[string])
	for _, name := range behind {
		effects = append(effects, &Push{Balancer: name, Spec: s.stored})
	}
	s.pushes++
	s.pushAt = now.Add(min(pushDelay<<min(s.pushes, maxPushDoublings), maxPushDelay))
	return effects
}
