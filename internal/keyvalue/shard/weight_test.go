package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWeights guards against a host that joins a loaded service at full weight, a
// configured weight that does not take effect, and a new holder that discards the learned
// weights.
func TestWeights(t *testing.T) {
	weight := func(f *fixture, host string) (w uint32) {
		for _, m := range f.holder.Spec(1).GetVersions()[0].GetMembers() {
			if m.GetHost() == host {
				w = m.GetWeight()
			}
		}
		return w
	}
	is := is.New(t)
	f := newFixture(t, HolderConfig{Settings: settings(1, nil)})
	f.attach("a0", 1, false)
	f.advance(2 * time.Second)
	f.attach("a1", 1, false)
	f.advance(12 * time.Second)
	is.Equal(weight(f, "a1"), uint32(1000)) // the service was new
	f.attach("a2", 1, false)
	f.advance(2 * time.Second)
	is.Equal(weight(f, "a2"), uint32(100))
	f.advance(40 * time.Second)
	is.Equal(weight(f, "a2"), uint32(1000))
	f.handle(SettingsChanged{settings(2, map[string]HostSettings{"a0": {HasWeight: true, Weight: 250}, "a1": {HasWeight: true}})})
	f.advance(2 * time.Second)
	is.Equal(weight(f, "a0"), uint32(250))
	is.Equal(weight(f, "a1"), uint32(0))

	spec := storedSpec(7, 1, "a0", "a1", "a2")
	spec[0].Spec.Versions[0].Members[0].Weight = 3000
	spec[0].Spec.Versions[0].Members[1].Weight = 2000
	f = newFixture(t, HolderConfig{Stored: spec, Settings: settings(2, map[string]HostSettings{"a1": {HasWeight: true, Weight: 500}})})
	for _, a := range []string{"a0", "a1", "a2"} {
		f.attach(a, 1, false)
	}
	f.advance(3 * time.Second)
	is.Equal(weight(f, "a0"), uint32(3000))
	is.Equal(weight(f, "a1"), uint32(1000)) // a base weight of 500 with the learned factor 2
}
