package dispatch

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

// Guards against searches that ask all agents of a large service although few would do, and
// against flows that are not found because only the likely agents were asked.
func TestLikelyAgentsAreAskedFirst(t *testing.T) {
	is := is.New(t)
	const hosts = 40
	withHosts := func() *testBalancer {
		b := newTestBalancer(t)
		for i := range hosts {
			b.reportStatus(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), "studio", packet.HostReady)
		}
		return b
	}
	found := 0
	for port := range uint16(50) {
		first, s := firstPacket(1000+port, studioAddr, 0), segment(packet.ACK, 101, 5001)
		s.Source = first.Source
		placed := withHosts()
		owner := placed.onlyForward(placed.HandlePacket(placed.now, first)).Agent

		b := withHosts()
		asked := lookupAgents(b.HandlePacket(b.now, s), s.KeyFromCaller())
		is.Equal(len(asked), likelyCount)
		if slices.Contains(asked, owner) {
			found++
		}
		for _, a := range asked {
			b.replyDenied(a, s.KeyFromCaller())
		}
		others := lookupAgents(b.nextRound(), s.KeyFromCaller())
		is.Equal(len(others), hosts+3-likelyCount)
	}
	is.Equal(found, 50)
}
