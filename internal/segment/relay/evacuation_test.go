package relay

import (
	"net/netip"
	"testing"

	"agateramp/internal/segment/packet"
)

// Guards against new flows at a host in an evacuated data centre, against open flows that an evacuation ends, and against
// a host that gets no new flows after its end.
func TestEvacuated(t *testing.T) {
	first := func(port uint16) *packet.Segment {
		s := callerSegment(packet.SYN, 900, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), port)
		return s
	}
	f := newFixture(t, false)
	f.openFlow()
	f.assertDelivered(f.receiveFromBalancer(first(1))) // is answered before the evacuation
	answer := hostSegment(packet.SYN|packet.ACK, 7000, 0)
	answer.Destination = first(1).Source
	f.HandleFromHost(f.now, answer)
	f.assertDelivered(f.receiveFromBalancer(first(2))) // is not answered

	f.is.True(f.SetEvacuated(true))
	f.is.True(!f.SetEvacuated(true)) // no change
	f.assertReturned(f.receiveFromBalancer(first(3)), packet.ReturnEvacuated)
	f.assertReturned(f.receiveFromBalancer(first(2)), packet.ReturnEvacuated)
	f.assertDelivered(f.receiveFromBalancer(first(1)))
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300))) // of the open flow

	f.SetEvacuated(false)
	f.assertDelivered(f.receiveFromBalancer(first(3)))
}
