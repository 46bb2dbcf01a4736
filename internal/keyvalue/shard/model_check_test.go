package shard

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

// commit applies a transaction and checks the invariants.
func (m *model) commit(x *modelTxn) bool {
	compares, writes, err := transaction(1, x.h.Fence(), x.p)
	if err != nil {
		m.failf("encode: %v", err)
		return false
	}
	for _, c := range compares {
		e := m.entries[c.Key]
		switch {
		case e == nil && c.Revision != 0, e != nil && !c.ByCreateRevision && e.mod != c.Revision, e != nil && c.ByCreateRevision && e.create != c.Revision:
			m.fenced++
			return false
		}
	}
	m.revision++
	m.commits++
	if m.leaseOf != x.from {
		m.failf("%s wrote without the lease", x.from.name)
	}
	for i, c := range x.p.Changes {
		id := c.Spec.GetServiceId()
		if x.settings < m.settingsWritten[id] {
			m.failf("%s wrote service %d by configuration revision %d after %d was in use", x.from.name, id, x.settings, m.settingsWritten[id])
		}
		m.settingsWritten[id] = x.settings
		if c.Delete {
			if m.lists(id) {
				m.failf("the spec of service %d was deleted while it is configured", id)
			}
		} else {
			m.check(c, writes[i])
		}
		if writes[i].Delete {
			delete(m.entries, writes[i].Key)
			continue
		}
		e := m.entries[writes[i].Key]
		if e == nil {
			e = &modelEntry{create: m.revision}
			m.entries[writes[i].Key] = e
		}
		e.spec, e.mod = &controlpb.TableSpec{}, m.revision
		if err := proto.Unmarshal(writes[i].Value, e.spec); err != nil {
			m.failf("decode: %v", err)
		}
	}
	return true
}

func (m *model) check(c Change, w store.Write) {
	next, id := c.Spec, c.Spec.GetServiceId()
	var old *controlpb.TableSpec
	if e := m.entries[w.Key]; e != nil {
		old = e.spec
	}
	if !Newer(next, old) || OldestVersion(next) < OldestVersion(old) || next.GetConfigVersion() < old.GetConfigVersion() {
		m.failf("service %d went back from %d..%d to %d..%d", id, OldestVersion(old), NewestVersion(old), OldestVersion(next), NewestVersion(next))
	}
	if n := len(next.GetVersions()); n > maxVersions || uint64(n) != NewestVersion(next)-OldestVersion(next)+1 {
		m.failf("service %d retains %d versions %d..%d", id, n, OldestVersion(next), NewestVersion(next))
	}
	for _, v := range next.GetVersions() {
		raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(v)
		key, text := fmt.Sprintf("%d/%d", id, v.GetVersion()), string(raw)
		if was, ok := m.contents[key]; ok && was != text && old != nil && v.GetVersion() <= NewestVersion(old) {
			m.failf("version %s changed", key)
		}
		m.contents[key] = text
	}
	if old == nil {
		return
	}
	m.checkLosses(id, old, next)
	for _, b := range m.balancers {
		if spec := b.specs[id]; b.alive && b.leased && spec != nil && NewestVersion(spec) < OldestVersion(next) {
			m.failf("service %d: versions below %d retired while %s uses %d", id, OldestVersion(next), b.name, NewestVersion(spec))
		}
	}
	for _, a := range m.agents {
		if a.id == id && a.alive && len(a.streams) > 0 && a.version != 0 && a.transferred < OldestVersion(next) && a.transferred != 0 {
			m.failf("service %d: versions below %d retired while %s has transferred %d", id, OldestVersion(next), a.name, a.transferred)
		}
	}
}

func (m *model) lists(id uint32) bool {
	for _, c := range m.settings.Services {
		if c.Service.GetId() == id {
			return true
		}
	}
	return false
}

// checkLosses fails when more than half of a service is left out within 5 s
// although no agent said that it leaves.
func (m *model) checkLosses(id uint32, old, next *controlpb.TableSpec) {
	if NewestVersion(old) == NewestVersion(next) {
		return
	}
	kept, total, lost := map[string]bool{}, 0, 0
	for _, l := range next.GetVersions()[0].GetMembers() {
		kept[l.GetHost()] = true
		delete(m.removed, l.GetHost())
	}
	was := map[string]bool{}
	for _, l := range old.GetVersions()[0].GetMembers() {
		was[l.GetHost()] = true
		total++
	}
	for _, a := range m.agents {
		if a.id == id && was[a.name] && !kept[a.name] && m.now.Sub(a.leftAt) > 20*time.Second {
			m.removed[a.name] = m.now
		}
		if at, ok := m.removed[a.name]; a.id == id && ok && m.now.Sub(at) < massWindow {
			lost++
			if !was[a.name] {
				total++
			}
		}
	}
	if lost > 0 && 2*lost > total {
		m.failf("service %d lost %d of %d members at once", id, lost, total)
	}
}
