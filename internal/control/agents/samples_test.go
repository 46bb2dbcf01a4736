package agents

import (
	"testing"

	"github.com/matryer/is"
)

// TestSamples guards against busy shares that are lost or weighted wrongly on
// the way to the learner, and against a saturated host that is reported late.
func TestSamples(t *testing.T) {
	for _, test := range []struct {
		name   string
		shares []uint32
		want   []sample
	}{
		{"calm", []uint32{100, 200, 300, 400, 500}, []sample{{250, 4}}},
		{"saturated", []uint32{1000, 1000}, []sample{{1000, 1}, {1000, 1}}},
		{"becomes saturated", []uint32{100, 300, 1000}, []sample{{200, 2}, {1000, 1}}},
		{"is relieved", []uint32{1000, 100, 200}, []sample{{1000, 1}, {100, 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s samples
			var got []sample
			for _, share := range test.shares {
				got = append(got, s.add(share)...)
			}
			is.New(t).Equal(got, test.want)
		})
	}
}
