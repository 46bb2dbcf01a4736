package owner

import (
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// reportsOf returns the reports among effects.
func reportsOf(effects []Effect) (reports []*Report) {
	for _, effect := range effects {
		if r, ok := effect.(*Report); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// startDatagramFlow starts the flow from a source port on an Owner of datagramOwner, opens
// its socket on a local port, and returns the requests to its witnesses.
func startDatagramFlow(t *testing.T, o *Owner, sourcePort, localPort uint16) []*Report {
	t.Helper()
	p := tcpPacket(sourcePort, 1, true)
	effects := o.HandlePacket(startTime, headerFor(1), p, nil)
	is.New(t).Equal(reportsOf(effects), nil) // the local port is not known yet
	bind := firstEffect[*BindFlow](t, effects)
	is.New(t).Equal(bind.Key, p.Key)
	return reportsOf(o.HandleEvent(startTime, PortBound{Key: p.Key, Port: localPort}, nil))
}

// datagramOwner returns an Owner with two connected peers. As with the datagram adapter,
// replies are reported and each flow has a socket of its own.
func datagramOwner(t *testing.T) *Owner {
	t.Helper()
	o := newTestOwner(t, Config{Self: hostAddress(1), Slots: 2, RepliesReported: true},
		testSpec(&controlpb.Service{Id: 1}, 1, []int{1, 2, 3}))
	for _, peer := range []int{2, 3} {
		o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(peer)}, nil)
	}
	return o
}

// Guards against work that runs twice at its host: an agent was killed before its peers
// knew the local port of a flow, and then delivered a copy of the request from another
// port, which the backend server takes for another connection.
func TestWitnessesKnowThePortBeforeDelivery(t *testing.T) {
	is := is.New(t)
	o := datagramOwner(t)
	requests := startDatagramFlow(t, o, 1, 40_001)
	is.Equal(len(requests), 2)
	var effects []Effect
	for _, r := range requests {
		is.Equal(r.Report.GetEntries()[0].GetLocalPort(), uint32(40_001))
		effects = o.HandleEvent(startTime, ReportAcked{Peer: r.To, Sequence: r.Report.GetSequence()}, nil)
	}
	is.Equal(firstEffect[*Deliver](t, effects).LocalPort, uint16(40_001))
}

// Guards against sockets that stay open when a pending flow goes to another host, even if
// the socket is opened only after that.
func TestSocketOfPendingFlowIsClosed(t *testing.T) {
	is := is.New(t)
	o := datagramOwner(t)
	key := tcpPacket(1, 1, true).Key
	is.Equal(len(startDatagramFlow(t, o, 1, 40_001)), 2)
	is.Equal(firstEffect[*CloseFlow](t, o.HandleEvent(startTime, DrainChanged{Drain: true}, nil)).Key, key)
	is.Equal(firstEffect[*CloseFlow](t, o.HandleEvent(startTime, PortBound{Key: key, Port: 40_002}, nil)).Key, key)
	is.Equal(o.Load(startTime).GetOpenFlows(), uint32(0))
}

// Guards against callers that wait for witnessTimeout although the agent could not open a
// socket for their flow.
func TestFlowWithoutSocketIsRefused(t *testing.T) {
	is := is.New(t)
	o := datagramOwner(t)
	p := tcpPacket(1, 1, true)
	firstEffect[*BindFlow](t, o.HandlePacket(startTime, headerFor(1), p, nil))
	refuse := firstEffect[*Refuse](t, o.HandleEvent(startTime, PortBound{Key: p.Key}, nil))
	is.Equal(refuse.Reason, flow.ReasonFull)
	is.Equal(o.Load(startTime).GetBusy(), uint32(0))
}

// Guards against work that runs twice at its host: a restarted agent got the first report
// of a flow from a peer that did not know its local port, and then ignored the port that
// another peer reported.
func TestRecoveredFlowUsesPortOfLaterReport(t *testing.T) {
	is := is.New(t)
	o, err := New(Config{Self: hostAddress(1), Slots: 2, RepliesReported: true, Started: startTime, Incarnation: 2})
	is.NoErr(err)
	o.HandleEvent(startTime, SpecReceived{Spec: testSpec(&controlpb.Service{Id: 1}, 1, []int{1, 2, 3})}, nil)
	p := tcpPacket(1, 1, true)
	report := func(peer int, local uint32) []Effect {
		return o.HandleEvent(startTime, ReportReceived{Peer: hostAddress(peer), Report: &controlpb.FlowReport{
			Sequence: 1, Version: 1, Complete: peer == 3,
			Entries: []*controlpb.FlowEntry{{
				Key: encodeKey(p.Key), Owner: encodeAddress(hostAddress(1)), LocalPort: local, FirstPackets: []uint32{digestOf(p)},
			}},
		}}, nil)
	}
	for _, peer := range []int{2, 3} {
		o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(peer)}, nil)
	}
	report(2, 0)
	is.Equal(firstEffect[*BindFlow](t, report(3, 40_001)).LocalPort, uint16(40_001))
	next := tcpPacket(1, 2, false)
	is.Equal(firstEffect[*Deliver](t, o.HandlePacket(startTime, headerFor(1), next, nil)).LocalPort, uint16(40_001))
}

// Guards against work that runs twice at its host: a restarted agent adopted a flow by one
// of its later packets before any peer had reported the flow, and delivered the packet
// from another port (soak test, seed 25).
func TestRecoveringAgentAdoptsOnlyIdempotentDatagramFlows(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		delivered  bool
	}{
		{"non-idempotent", false, false},
		{"idempotent", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o, err := New(Config{Self: hostAddress(1), Slots: 2, RepliesReported: true, Started: startTime, Incarnation: 2})
			is.NoErr(err)
			service := &controlpb.Service{Id: 1, Idempotent: test.idempotent, FirstPacket: controlpb.FirstPacket_FIRST_PACKET_SYN}
			spec := testSpec(service, 1, []int{1, 2})
			spec.Versions[0].Members[0].Incarnation = 1
			o.HandleEvent(startTime, SpecReceived{Spec: spec}, nil)
			h := headerFor(1)
			h.Hop = h.PathLen // no host on the path knows the flow
			delivered := false
			for _, effect := range o.HandlePacket(startTime, h, tcpPacket(1, 2, false), nil) {
				_, ok := effect.(*Deliver)
				delivered = delivered || ok
			}
			is.Equal(delivered, test.delivered)
		})
	}
}
