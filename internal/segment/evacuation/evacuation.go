// Package evacuation keeps which data centres the operator has evacuated. Hosts in an evacuated data centre get no new
// flows.
//
// The store holds a key for each evacuated data centre. A State is complete knowledge of these keys at one revision of
// the store; balancers and agents pass it on in their messages. A Tracker merges the states that a process gets: a
// later state replaces an earlier one, whatever way it came by.
//
// The package does no I/O and reads no clock.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/datapathpb"
)

const (
	// maxDataCentres bounds the data centres of a State, so that it fits into a datagram. No deployment has as many.
	maxDataCentres = 64
	// restoreGrace is how long an evacuation still counts after a restore of the store from a copy that lacks it. The
	// operator puts it back meanwhile. It is twice the time in which an order of the operator has to be in force.
	restoreGrace = 10 * time.Second
)

// State is the set of evacuated data centres at one revision of the store. It is immutable. The zero value means that
// nothing is known.
type State struct {
	revision store.Revision
	// dataCentres are sorted and hold no name twice.
	dataCentres []string
}

// New returns the state at a revision of the store. omitted is the number of data centres beyond maxDataCentres, which
// the state leaves out.
func New(revision store.Revision, dataCentres []string) (s State, omitted int) {
	sorted := slices.Compact(slices.Sorted(slices.Values(dataCentres)))
	omitted = max(len(sorted)-maxDataCentres, 0)
	return State{revision: revision, dataCentres: sorted[:len(sorted)-omitted]}, omitted
}

// Known reports whether s is a state that was read from the store.
func (s State) Known() bool { return s.revision.Number > 0 }

// Revision returns the revision of the store that the state is of.
func (s State) Revision() store.Revision { return s.revision }

// Has reports whether a data centre is evacuated.
func (s State) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(s.dataCentres, dataCentre)
	return found
}

// IsLater reports whether s is of a later revision of the store than other.
func (s State) IsLater(other State) bool { return s.revision.Compare(other.revision) > 0 }

// Encode returns the protobuf message for s, or nil if nothing is known.
func (s State) Encode() *datapathpb.Evacuations {
	if !s.Known() {
		return nil
	}
	return &datapathpb.Evacuations{Generation: s.revision.Generation, Revision: uint64(s.revision.Number), DataCentres: s.dataCentres}
}

// Decode returns the state in a protobuf message, which may be nil.
func Decode(pb *datapathpb.Evacuations) (s State) {
	if pb == nil {
		return State{}
	}
	s, _ = New(store.Revision{Generation: pb.GetGeneration(), Number: int64(pb.GetRevision())}, pb.GetDataCentres())
	return s
}

// Tracker holds the newest state that a process has got. The zero value is ready for use. It is not safe for concurrent
// use.
type Tracker struct {
	state State
	// kept holds the evacuations that were known before a restore of the store and that the restored store lacks, with
	// the time until which each of them counts.
	kept map[string]time.Time
	// added holds the evacuations in an incomplete list, and addedRevision is the revision of that list.
	added         []string
	addedRevision store.Revision
}

// State returns the newest state.
func (t *Tracker) State() State { return t.state }

// Merge replaces the state by a later one, and reports whether it did. Evacuations that a state of a later generation
// lacks still count for restoreGrace.
func (t *Tracker) Merge(now time.Time, s State) (changed bool) {
	if !s.IsLater(t.state) {
		return false
	}
	if t.state.Known() && s.revision.Generation != t.state.revision.Generation {
		t.keep(now.Add(restoreGrace))
	}
	for _, dataCentre := range s.dataCentres {
		delete(t.kept, dataCentre)
	}
	if s.revision.Compare(t.addedRevision) >= 0 {
		t.added = nil
	}
	t.state = s
	return true
}

// keep keeps the evacuations of the state until a time. Those that are kept already keep their time, so that repeated
// restores do not prolong it.
func (t *Tracker) keep(until time.Time) {
	if t.kept == nil {
		t.kept = make(map[string]time.Time)
	}
	for _, dataCentre := range t.state.dataCentres {
		t.kept[dataCentre] = until
	}
}

// AddIncomplete adds the evacuations in a list that lacks some of the store's keys. A data centre that such a list does
// not name stays as it is, so the state keeps its revision.
func (t *Tracker) AddIncomplete(revision store.Revision, dataCentres []string) {
	if revision.Compare(t.state.revision) <= 0 {
		return
	}
	t.added, t.addedRevision = slices.Clone(dataCentres), revision
}

// Evacuated returns the evacuated data centres in order.
func (t *Tracker) Evacuated(now time.Time) (dataCentres []string) {
	maps.DeleteFunc(t.kept, func(_ string, until time.Time) bool { return !now.Before(until) })
	dataCentres = slices.Concat(t.state.dataCentres, slices.Collect(maps.Keys(t.kept)), t.added)
	slices.Sort(dataCentres)
	return slices.Compact(dataCentres)
}

// IsEvacuated reports whether a data centre is evacuated.
func (t *Tracker) IsEvacuated(now time.Time, dataCentre string) bool {
	return slices.Contains(t.Evacuated(now), dataCentre)
}
