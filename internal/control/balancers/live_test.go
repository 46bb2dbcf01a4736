package balancers

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/control/peer"
)

// Guards against answers that go to a balancer that has died.
func TestLive(t *testing.T) {
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	other := netip.MustParseAddrPort("127.0.0.1:3")
	up := new(peer.Peer)
	tests := []struct {
		name         string
		links        []*link
		wanted, want netip.AddrPort
	}{
		{"wanted is up", []*link{{peer: up, data: first}, {peer: up, data: second}}, first, first},
		{"wanted has died", []*link{{data: first}, {peer: up, data: second}}, first, second},
		{"wanted is leaving", []*link{{peer: up, leaving: true, data: first}, {peer: up, data: second}}, first, second},
		{"wanted is not attached", []*link{{peer: up, data: first}}, other, first},
		{"none is up", []*link{{data: first}}, first, first},
		{"data address not known", []*link{{peer: up}}, other, other},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &Service{links: test.links}
			is.Equal(s.LiveDataAddress(test.wanted), test.want)
		})
	}
}
