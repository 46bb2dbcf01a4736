package fabric

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/process/group"
)

// Guards against choices that do not repeat with the seed, a removed balancer that
// still gets packets, and datagrams for a balancer that does not take them.
func TestSpray(t *testing.T) {
	is := is.New(t)
	address := func(b *Balancer) netip.AddrPort { return b.Data }
	choose := func(seed uint64, remove string) (chosen []netip.AddrPort, sprayed map[string]uint64) {
		f, err := New(Config{Seed: seed, Group: group.New(context.Background())})
		is.NoErr(err)
		f.Add(Balancer{Name: "a", Data: netip.MustParseAddrPort("127.0.0.1:1")})
		f.Add(Balancer{Name: "b", Data: netip.MustParseAddrPort("127.0.0.1:2")})
		f.Add(Balancer{Name: "c"})
		f.Remove(remove)
		f.SetFaults(Faults{Duplicated: 100, Lost: 100})
		for range 1000 {
			f.spray(nil, address, func(to netip.AddrPort, _ []byte) { chosen = append(chosen, to) })
		}
		return chosen, f.Sprayed()
	}
	chosen, sprayed := choose(1, "none")
	again, _ := choose(1, "none")
	is.Equal(chosen, again)
	is.True(sprayed["a"] > 300 && sprayed["b"] > 300)
	is.Equal(sprayed["c"], uint64(0))
	is.True(len(chosen) > 900 && len(chosen) < 1080) // a tenth lost, a tenth of the rest doubled
	other, _ := choose(2, "none")
	is.True(len(other) != len(chosen) || other[0] != chosen[0] || other[1] != chosen[1] || other[2] != chosen[2])
	_, sprayed = choose(1, "b")
	is.Equal(sprayed["b"], uint64(0))
}
