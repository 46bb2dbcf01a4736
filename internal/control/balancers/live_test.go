package balancers

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/control/peer"
)

// TestLive guards against replies that an agent sends to a balancer that is down or leaving.
func TestLive(t *testing.T) {
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	other := netip.MustParseAddrPort("127.0.0.1:3")
	stream := new(peer.Peer)
	tests := []struct {
		name            string
		links           []*link
		preferred, want netip.AddrPort
	}{
		{"preferred is connected", []*link{{peer: stream, dataAddress: first}, {peer: stream, dataAddress: second}}, first, first},
		{"preferred is not connected", []*link{{dataAddress: first}, {peer: stream, dataAddress: second}}, first, second},
		{"preferred is leaving", []*link{{peer: stream, leaving: true, dataAddress: first}, {peer: stream, dataAddress: second}}, first, second},
		{"preferred is not a target", []*link{{peer: stream, dataAddress: first}}, other, first},
		{"none is connected", []*link{{dataAddress: first}}, first, first},
		{"data address is unknown", []*link{{peer: stream}}, other, other},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &Service{links: test.links}
			is.Equal(s.LiveDataAddress(test.preferred), test.want)
		})
	}
}
