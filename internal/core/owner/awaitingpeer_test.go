package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// Guards against a planned restart that loses the flows of the agent because both peers
// restart at the same time (soak test, seed 2), and against an agent that waits although it
// has no peers.
func TestAwaitingPeerWhileAllPeersAreLost(t *testing.T) {
	is := is.New(t)
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1, 2, 3}))
	o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(2)}, nil)
	is.True(!o.AwaitingPeer(startTime))
	o.HandleEvent(startTime, PeerDisconnected{Peer: hostAddress(2)}, nil)
	is.True(o.AwaitingPeer(startTime.Add(time.Second)))
	is.True(!o.AwaitingPeer(startTime.Add(ownerLostAfter))) // the peer has been away for too long
	o.HandleEvent(startTime.Add(2*time.Second), PeerConnected{Peer: hostAddress(3)}, nil)
	is.True(!o.AwaitingPeer(startTime.Add(2 * time.Second)))

	alone := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1}))
	is.True(!alone.AwaitingPeer(startTime))
}
