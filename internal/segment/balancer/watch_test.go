package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/peers"
	"agateramp/internal/segment/socket"
)

// newTestBalancer returns a balancer without goroutines.
func newTestBalancer(t *testing.T) *Balancer {
	t.Helper()
	is := is.New(t)
	core, err := dispatch.New(dispatch.Config{})
	is.NoErr(err)
	self := netip.MustParseAddr("127.0.0.1")
	others, err := peers.New(peers.Config{Self: self})
	is.NoErr(err)
	peerSocket, err := socket.Listen(netip.AddrPortFrom(self, 0), metrics.New())
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(peerSocket.Close()) })
	logger := log.NewNopLogger()
	return &Balancer{
		config: Config{Address: self, PeerPort: 9, Logger: logger, Metrics: metrics.New()}, core: core, peers: others,
		peerSocket: peerSocket, decisions: logging.NewDecisionLog(logger), digestWake: make(chan struct{}, 1),
	}
}

// testList returns a list with the agents 127.0.1.N.
func testList(revision int64, agents ...byte) (list agentList) {
	list.revision = store.Revision{Number: revision}
	for _, n := range agents {
		list.agents = append(list.agents, listedAgent{address: netip.AddrFrom4([4]byte{127, 0, 1, n}), revision: revision})
	}
	return list
}

// Guards against a list of agents that goes back to an older version: a response of the
// store or of another balancer that comes late would bring back an agent that has left.
func TestListNeverGoesBack(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	b.applyList(testList(20, 1, 2), "store")
	b.applyList(testList(30, 1), "127.0.0.2") // agent 2 has left
	b.applyList(testList(20, 1, 2), "127.0.0.3")
	is.Equal(b.list.addresses(), testList(30, 1).addresses())
	is.Equal(b.core.IsListed(netip.MustParseAddr("127.0.1.2")), false)
}

// Guards against resets of flows whose agent is not listed: the list counts as complete
// only with a reachable store, after the time in which lapsed entries come back.
func TestListIsCompleteAfterOutage(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	now := time.Now()
	is.Equal(b.agentsComplete(now), false) // nothing was read

	b.updateWatching() // no other balancer is known
	b.handleStoreReachable(true)
	b.applyList(testList(20, 1, 2), "store")
	is.True(b.agentsComplete(time.Now()))

	b.handleStoreReachable(false)
	is.Equal(b.agentsComplete(time.Now().Add(time.Minute)), false) // long outage
	b.handleStoreReachable(true)
	is.Equal(b.agentsComplete(time.Now().Add(time.Second)), false) // entries may come back
	is.True(b.agentsComplete(time.Now().Add(2 * time.Second)))
}

// Guards against a balancer that relies on its own list of agents although it does not
// watch the store and the watching balancers are silent or have a newer list.
func TestListIsCompleteByDigests(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	b.applyList(testList(20, 1, 2), "127.0.0.2")
	now := time.Now()
	is.Equal(b.agentsComplete(now), false) // no digest
	digest := message.Digest{Watching: true, ListRevision: store.Revision{Number: 20}, ListComplete: true}
	b.peers.HandleDigest(now, netip.MustParseAddr("127.0.0.2"), digest)
	is.True(b.agentsComplete(now))
	is.Equal(b.agentsComplete(now.Add(2*time.Second)), false) // the digest is old
	digest.ListRevision = store.Revision{Number: 21}
	now = now.Add(time.Second)
	b.peers.HandleDigest(now, netip.MustParseAddr("127.0.0.2"), digest)
	is.Equal(b.agentsComplete(now), false) // there has been a newer list for a second
}
