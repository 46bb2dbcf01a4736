package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWeights guards against a host that joins a loaded service at full weight, a
// configured weight that is not in force, and a new holder that forgets what was learned.
func TestWeights(t *testing.T) {
	weight := func(r *rig, host string) (w uint32) {
		for _, m := range r.h.Spec(1).GetVersions()[0].GetMembers() {
			if m.GetHost() == host {
				w = m.GetWeight()
			}
		}
		return w
	}
	is := is.New(t)
	r := newRig(t, HolderConfig{Settings: settings(1, nil)})
	r.attach("a0", 1, false)
	r.wait(2 * time.Second)
	r.attach("a1", 1, false)
	r.wait(12 * time.Second)
	is.Equal(weight(r, "a1"), uint32(1000)) // the service was new
	r.attach("a2", 1, false)
	r.wait(2 * time.Second)
	is.Equal(weight(r, "a2"), uint32(100))
	r.wait(40 * time.Second)
	is.Equal(weight(r, "a2"), uint32(1000))
	r.do(SettingsChanged{settings(2, map[string]HostSettings{"a0": {HasWeight: true, Weight: 250}, "a1": {HasWeight: true}})})
	r.wait(2 * time.Second)
	is.Equal(weight(r, "a0"), uint32(250))
	is.Equal(weight(r, "a1"), uint32(0))

	taken := stored(7, 1, "a0", "a1", "a2")
	taken[0].Spec.Versions[0].Members[0].Weight = 3000
	taken[0].Spec.Versions[0].Members[1].Weight = 2000
	r = newRig(t, HolderConfig{Stored: taken, Settings: settings(2, map[string]HostSettings{"a1": {HasWeight: true, Weight: 500}})})
	for _, a := range []string{"a0", "a1", "a2"} {
		r.attach(a, 1, false)
	}
	r.wait(3 * time.Second)
	is.Equal(weight(r, "a0"), uint32(3000))
	is.Equal(weight(r, "a1"), uint32(1000)) // half the base weight, learned factor 2
}
