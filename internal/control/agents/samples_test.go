package agents

import (
	"testing"

	"github.com/matryer/is"
)

// TestSamples guards against busy shares that are lost or weighted wrongly on the way to the weight
// learner, and against a saturated host that is reported late because its shares are averaged first.
func TestSamples(t *testing.T) {
	for _, test := range []struct {
		name   string
		shares []uint32
		want   []busyShareMean
	}{
		{"calm", []uint32{100, 200, 300, 400, 500}, []busyShareMean{{250, 4}}},
		{"saturated", []uint32{1000, 1000}, []busyShareMean{{1000, 1}, {1000, 1}}},
		{"becomes saturated", []uint32{100, 300, 1000}, []busyShareMean{{200, 2}, {1000, 1}}},
		{"no longer saturated", []uint32{1000, 100, 200}, []busyShareMean{{1000, 1}, {100, 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s busyShareAverager
			var got []busyShareMean
			for _, share := range test.shares {
				got = append(got, s.add(share)...)
			}
			is.New(t).Equal(got, test.want)
		})
	}
}
