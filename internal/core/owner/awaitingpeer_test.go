package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// Guards against a planned restart that loses its flows because both peers restart
// at that moment (soak, seed 2), and against an agent that waits for peers that
// there are none of.
func TestAwaitingPeerWhileAllPeersAreLost(t *testing.T) {
	is := is.New(t)
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1, 2, 3}))
	o.HandleEvent(epoch, PeerConnected{Peer: hostAddress(2)}, nil)
	is.True(!o.AwaitingPeer(epoch))
	o.HandleEvent(epoch, PeerDisconnected{Peer: hostAddress(2)}, nil)
	is.True(o.AwaitingPeer(epoch.Add(time.Second)))
	is.True(!o.AwaitingPeer(epoch.Add(ownerLostAfter))) // nobody comes back
	o.HandleEvent(epoch.Add(2*time.Second), PeerConnected{Peer: hostAddress(3)}, nil)
	is.True(!o.AwaitingPeer(epoch.Add(2 * time.Second)))

	alone := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1}))
	is.True(!alone.AwaitingPeer(epoch))
}
