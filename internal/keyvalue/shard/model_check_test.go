package shard

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

// commit applies a transaction, checks the invariants, and returns whether the conditions
// held.
func (m *model) commit(txn *modelTxn) bool {
	compares, writes, err := publishTransaction(1, txn.holder.Fence(), txn.publish)
	if err != nil {
		m.failf("encode transaction: %v", err)
		return false
	}
	for _, c := range compares {
		e := m.entries[c.Key]
		switch {
		case e == nil && c.Revision != 0, e != nil && !c.ByCreateRevision && e.mod != c.Revision, e != nil && c.ByCreateRevision && e.create != c.Revision:
			m.refused++
			return false
		}
	}
	m.revision++
	m.committed++
	if m.leaseOwner != txn.sender {
		m.failf("%s wrote without the lease", txn.sender.name)
	}
	for i, c := range txn.publish.Changes {
		id := c.Spec.GetServiceId()
		if txn.settingsRevision < m.newestSettings[id] {
			m.failf("%s wrote service %d by configuration revision %d after %d was in use", txn.sender.name, id, txn.settingsRevision, m.newestSettings[id])
		}
		m.newestSettings[id] = txn.settingsRevision
		if c.Delete {
			if m.configures(id) {
				m.failf("the spec of service %d was deleted while it is configured", id)
			}
		} else {
			m.checkSpec(c, writes[i])
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
			m.failf("decode spec: %v", err)
		}
	}
	return true
}

// checkSpec checks the invariants of a spec that is written.
func (m *model) checkSpec(c Change, w store.Write) {
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
		if previous, ok := m.versionContents[key]; ok && previous != text && old != nil && v.GetVersion() <= NewestVersion(old) {
			m.failf("content of service/version %s changed", key)
		}
		m.versionContents[key] = text
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

// configures reports whether the configuration has a service.
func (m *model) configures(id uint32) bool {
	for _, c := range m.settings.Services {
		if c.Service.GetId() == id {
			return true
		}
	}
	return false
}

// checkLosses records a violation if more than half of the members of a service are left
// out within 5 s. It does not count hosts whose agents announced that they leave in the 20 s
// before.
func (m *model) checkLosses(id uint32, old, next *controlpb.TableSpec) {
	if NewestVersion(old) == NewestVersion(next) {
		return
	}
	kept, total, lost := map[string]bool{}, 0, 0
	for _, l := range next.GetVersions()[0].GetMembers() {
		kept[l.GetHost()] = true
		delete(m.removedAt, l.GetHost())
	}
	wasListed := map[string]bool{}
	for _, l := range old.GetVersions()[0].GetMembers() {
		wasListed[l.GetHost()] = true
		total++
	}
	for _, a := range m.agents {
		if a.id == id && wasListed[a.name] && !kept[a.name] && m.now.Sub(a.leftAt) > 20*time.Second {
			m.removedAt[a.name] = m.now
		}
		if at, ok := m.removedAt[a.name]; a.id == id && ok && m.now.Sub(at) < massLossWindow {
			lost++
			if !wasListed[a.name] {
				total++
			}
		}
	}
	if lost > 0 && 2*lost > total {
		m.failf("service %d lost %d of %d members within 5 s", id, lost, total)
	}
}
