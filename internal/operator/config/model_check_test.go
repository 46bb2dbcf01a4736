package config

import (
	"context"
	"time"

	"agateramp/internal/operator/audit"
)

// check compares the stored versions, service ids and audit records, and the versions
// that the watch delivered, with what Apply reported to the operators.
func (s *schedule) check(seen <-chan *Snapshot) {
	t, ctx := s.t, context.Background()
	current, err := Load(ctx, s.memory)
	if err != nil {
		t.Fatal(err)
	}
	versionOf := map[string]uint64{} // by change id
	ids := map[uint32]string{}
	before := emptySnapshot()
	for v := uint64(1); v <= current.Version(); v++ {
		after, err := LoadVersion(ctx, s.memory, v)
		if err != nil || after == nil {
			t.Fatalf("version %d is lost: %v", v, err)
		}
		m := after.manifest
		if versionOf[m.ChangeID] != 0 {
			t.Fatalf("change %s was applied twice", m.ChangeID)
		}
		versionOf[m.ChangeID] = v
		if m.Version != v || m.Base != v-1 {
			t.Fatalf("version %d is stored as version %d made to %d", v, m.Version, m.Base)
		}
		if string(after.source.raw) != s.wanted[m.ChangeID] {
			t.Fatalf("version %d does not hold the content of change %s", v, m.ChangeID)
		}
		s.checkServices(before, after, ids)
		before = after
	}
	for id, v := range s.reported {
		if versionOf[id] != v {
			t.Fatalf("change %s was reported as version %d and is version %d", id, v, versionOf[id])
		}
	}
	for id := range s.refused {
		if versionOf[id] != 0 {
			t.Fatalf("change %s was refused and made version %d", id, versionOf[id])
		}
	}
	records, err := audit.Read(ctx, s.memory, audit.Query{})
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]uint64{}
	for _, r := range records {
		recorded[r.ChangeID] = r.Version
	}
	for id, v := range versionOf {
		if recorded[id] != v {
			t.Fatalf("change %s made version %d and is recorded as version %d", id, v, recorded[id])
		}
	}
	if len(records) != len(versionOf)+s.drains || len(recorded) != len(records) {
		t.Fatalf("%d audit records for %d versions and %d drains", len(records), len(versionOf), s.drains)
	}
	s.checkWatch(seen, current.Version())
}

// checkServices checks that ids are not reused and that just the changed services have
// the new version. ids holds the name of the last service of each id.
func (s *schedule) checkServices(before, after *Snapshot, ids map[uint32]string) {
	known := map[string]ManifestService{}
	for _, m := range before.manifest.Services {
		known[m.Name] = m
	}
	for _, m := range after.manifest.Services {
		old, stays := known[m.Name]
		if stays && old.ID != m.ID || !stays && ids[m.ID] != "" {
			s.t.Fatalf("version %d: service %s has id %d, which belonged to %q", after.Version(), m.Name, m.ID, ids[m.ID])
		}
		ids[m.ID] = m.Name
		same := stays && sameService(before.source.document, after.source.document, m.Name)
		if same && m.Version != old.Version || !same && m.Version != after.Version() {
			s.t.Fatalf("version %d: service %s is said to have changed in version %d", after.Version(), m.Name, m.Version)
		}
	}
}

// checkWatch checks that the watch delivers versions in ascending order, up to current.
func (s *schedule) checkWatch(seen <-chan *Snapshot, current uint64) {
	timeout := time.After(10 * time.Second)
	last := uint64(0)
	for last < current {
		select {
		case v := <-seen:
			if v.Version() <= last {
				s.t.Fatalf("the watch delivered version %d after %d", v.Version(), last)
			}
			last = v.Version()
			if string(v.source.raw) != s.wanted[v.manifest.ChangeID] {
				s.t.Fatalf("the watch delivered other content for version %d", last)
			}
		case <-timeout:
			s.t.Fatalf("the watch did not deliver version %d within 10 s, it is at %d", current, last)
		}
	}
	s.tasks.Stop()
	if err := s.tasks.Wait(); err != nil {
		s.t.Fatal(err)
	}
}
