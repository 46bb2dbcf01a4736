package evacuation

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
)

var start = time.Unix(1_000_000, 0)

// at returns a state at a revision of a generation of the store.
func at(generation uint64, revision int64, dataCentres ...string) State {
	s, _ := New(store.Revision{Generation: generation, Number: revision}, dataCentres)
	return s
}

// Guards against an evacuation that is forgotten by an older or incomplete list, that outlives its end, or that is lost
// with the part of the store's history that a copy lacks.
func TestTracker(t *testing.T) {
	const grace = restoreGrace
	cases := []struct {
		name string
		// steps are merged one after the other at start.
		steps []State
		// incomplete, unless nil, is a list at incompleteAt that is added after the steps.
		incomplete   []string
		incompleteAt store.Revision
		// later is merged after incomplete.
		later []State
		want  []string
		// wantAfterGrace is what counts restoreGrace after start.
		wantAfterGrace []string
	}{
		{name: "nothing known"},
		{name: "two at once", steps: []State{at(0, 5, "b", "a", "b")}, want: []string{"a", "b"}, wantAfterGrace: []string{"a", "b"}},
		{name: "taken back", steps: []State{at(0, 5, "a", "b"), at(0, 6, "b")}, want: []string{"b"}, wantAfterGrace: []string{"b"}},
		{name: "older list", steps: []State{at(0, 5, "a"), at(0, 4)}, want: []string{"a"}, wantAfterGrace: []string{"a"}},
		{name: "older list after the end", steps: []State{at(0, 5), at(0, 4, "a")}},
		{
			name: "incomplete list removes nothing and adds", steps: []State{at(0, 5, "a")}, incomplete: []string{"b"}, incompleteAt: store.Revision{Number: 6},
			want: []string{"a", "b"}, wantAfterGrace: []string{"a", "b"},
		},
		{
			name: "complete list after an incomplete one", steps: []State{at(0, 5, "a")}, incomplete: []string{"b"}, incompleteAt: store.Revision{Number: 6},
			later: []State{at(0, 7, "a")}, want: []string{"a"}, wantAfterGrace: []string{"a"},
		},
		{
			name: "complete list between", steps: []State{at(0, 5)}, incomplete: []string{"b"}, incompleteAt: store.Revision{Number: 9},
			later: []State{at(0, 7)}, want: []string{"b"}, wantAfterGrace: []string{"b"},
		},
		{name: "copy lacks it", steps: []State{at(0, 50, "a"), at(1, 5)}, want: []string{"a"}},
		{name: "copy has it", steps: []State{at(0, 50, "a"), at(1, 5, "a")}, want: []string{"a"}, wantAfterGrace: []string{"a"}},
		{name: "put back", steps: []State{at(0, 50, "a"), at(1, 5), at(1, 6, "a")}, want: []string{"a"}, wantAfterGrace: []string{"a"}},
		{name: "put back and taken back", steps: []State{at(0, 50, "a"), at(1, 5), at(1, 6, "a"), at(1, 7)}},
		{name: "earlier generation", steps: []State{at(1, 5), at(0, 50, "a")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := &Tracker{}
			for _, s := range c.steps {
				tracker.Merge(start, s)
			}
			if c.incomplete != nil {
				tracker.AddIncomplete(c.incompleteAt, c.incomplete)
			}
			for _, s := range c.later {
				tracker.Merge(start, s)
			}
			is.Equal(tracker.Evacuated(start.Add(grace-time.Millisecond)), c.want)
			is.Equal(tracker.Evacuated(start.Add(grace)), c.wantAfterGrace)
		})
	}
}

// Guards against an evacuation that every restore prolongs.
func TestRepeatedRestores(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{}
	tracker.Merge(start, at(0, 50, "a"))
	for generation := range uint64(5) {
		tracker.Merge(start.Add(time.Duration(generation)*time.Second), at(1+generation, 5))
	}
	is.True(tracker.IsEvacuated(start.Add(restoreGrace-time.Millisecond), "a"))
	is.True(!tracker.IsEvacuated(start.Add(restoreGrace), "a"))
}

// Guards against a state that changes on its way, that counts although nothing is known, or that outgrows a datagram.
func TestEncode(t *testing.T) {
	is := is.New(t)
	s := at(3, 1<<40, "north", "south")
	is.Equal(Decode(s.Encode()), s)
	is.True(s.Has("south") && !s.Has("east"))
	is.True(State{}.Encode() == nil)
	is.True(!Decode(nil).Known())
	var many []string
	for i := range maxDataCentres + 3 {
		many = append(many, strconv.Itoa(i))
	}
	s, omitted := New(store.Revision{Number: 1}, many)
	is.Equal(omitted, 3)
	is.Equal(len(s.Encode().GetDataCentres()), maxDataCentres)
}
