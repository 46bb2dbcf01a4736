package relay

import (
	"bytes"
	"net/netip"
	"testing"

	"agateramp/internal/segment/packet"
)

// Guards against a verification that sends the host more than it can take at once, that never ends, or that asks with a
// packet that is not as the caller wrote it.
func TestVerificationIsPaced(t *testing.T) {
	const flows = 3*verificationBatch + 1
	f := newFixture(t, true)
	for port := range uint16(flows) {
		s, answer := callerSegment(packet.ACK, 101, 5001, 0), hostSegment(packet.ACK, 5001, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		answer.Destination, s.Data = s.Source, []byte{byte(port)}
		f.receiveFromBalancer(s)
		f.HandleFromHost(f.now, answer)
	}
	f.sendHeartbeat(func(h *Heartbeat) { h.Start.ID = "i-2" })
	asked := make(map[uint16]bool)
	for range flows {
		decisions := f.Verify()
		f.is.True(len(decisions) <= verificationBatch)
		for _, d := range decisions {
			port := d.(Redeliver).Flow.Source().Port()
			f.is.Equal(d.(Redeliver).Data, []byte{byte(port - 1000)})
			f.is.True(!asked[port]) // a flow is asked for once
			asked[port] = true
		}
	}
	f.is.Equal(len(asked), flows)
	f.is.Equal(len(f.Verify()), 0)
	f.is.Equal(len(f.Verify()), 0)
}

// Guards against copies that a host answers with more than an acknowledgement, and against copies that fill the memory.
func TestCopies(t *testing.T) {
	send := func(flags packet.Flags, sequence uint32, length int) func(f *fixture) {
		return func(f *fixture) {
			s := callerSegment(flags, sequence, 5001, length)
			s.Data = bytes.Repeat([]byte{byte(length)}, 36+length)
			f.receiveFromBalancer(s)
		}
	}
	cases := []struct {
		name    string
		packets []func(f *fixture)
		want    int // the length of the copy, or 0 if the flow is not asked for
	}{
		{"smallest with data", []func(f *fixture){send(packet.ACK, 101, 300), send(packet.ACK, 401, 200), send(packet.ACK, 601, 250)}, 236},
		{"without data", []func(f *fixture){send(packet.ACK, 101, 300), send(packet.ACK, 401, 0), send(packet.ACK, 401, 20)}, 36},
		{"the caller has closed the flow", []func(f *fixture){send(packet.ACK, 101, 0), send(packet.ACK|packet.FIN, 101, 0)}, 0},
		{"the host has closed the flow, data", []func(f *fixture){send(packet.ACK, 101, 10), func(f *fixture) {
			f.HandleFromHost(f.now, hostSegment(packet.ACK|packet.FIN, 5001, 0))
		}}, 0},
		{"data far in the past", []func(f *fixture){send(packet.ACK, 101, 10), send(packet.ACK, 900_001, 300), send(packet.ACK, 1_800_001, 300)}, 336},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, true)
			for _, send := range c.packets {
				send(f)
			}
			answer := hostSegment(packet.ACK, 5001, 0)
			answer.Acknowledgement = f.flows[answer.KeyFromHost()].callerSequence.number
			f.HandleFromHost(f.now, answer)
			f.sendHeartbeat(func(h *Heartbeat) { h.Start.ID = "i-2" })
			decisions := f.Verify()
			if c.want == 0 {
				f.is.Equal(len(decisions), 0)
				return
			}
			f.is.Equal(len(decisions[0].(Redeliver).Data), c.want)
		})
	}

	f := newFixture(t, true)
	for i := range 2 * maxCopyBytes / 1236 {
		s := callerSegment(packet.ACK, 101, 5001, 1200)
		s.Source, s.Data = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1), make([]byte, 1236)
		f.receiveFromBalancer(s)
	}
	f.is.True(f.copyBytes <= maxCopyBytes && f.copyBytes > maxCopyBytes-1236)
	f.HandleHostAbsent(f.now.Add(minQuietTime))
	f.is.Equal(f.copyBytes, 0)
}

// Guards against a reset of a later flow by the bounce of a copy of an earlier one, whose caller has used its port again.
func TestBounceOfEarlierFlow(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.sendHeartbeat(func(h *Heartbeat) { h.Start.ID = "i-2" })
	f.is.Equal(len(f.Verify()), 1)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 900_000_000, 0, 0)))
	_, dropped := f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 101, 5001, 300)))[0].(Drop)
	f.is.True(dropped)
	decisions := f.HandleFromHost(f.now, &packet.Segment{Source: service, Destination: caller, Flags: packet.SYN | packet.ACK, Sequence: 70, Acknowledgement: 900_000_001})
	f.is.Equal(decisions[1], Accept{Flow: hostSegment(0, 0, 0).KeyFromHost(), Balancer: balancer, Sequence: 70, Handshake: true})
}

// Guards against requests that are sent into idle flows of a host that has restarted, before its first heartbeat, and
// against a verification for each bounce.
func TestBounceStartsVerification(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	idle := callerSegment(packet.ACK, 101, 5001, 0)
	idle.Source = netip.AddrPortFrom(caller.Addr(), 2)
	answer := hostSegment(packet.ACK, 5001, 100)
	answer.Destination = idle.Source
	f.HandleFromHost(f.now, answer)
	f.receiveFromBalancer(idle)
	f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 401, 6001, 300)))
	f.is.Equal(f.Verify(), []Decision{Redeliver{Flow: idle.KeyFromCaller(), Data: []byte{1}}})
	f.is.Equal(f.HandleFromHost(f.now, markBounced(idle)), []Decision{Reset{Flow: idle.KeyFromCaller(), Sequence: 5001, Reason: ReasonHostLostFlow}})
	f.is.Equal(f.verificationDue, false)
	f.advance(minBounceVerification)
	f.openFlow()
	f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 401, 6001, 300)))
	f.is.True(f.verificationDue)
}
