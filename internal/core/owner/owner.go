// Package owner is the decision core of an agent: it decides which packets the
// backend server gets, which flows the agent accepts, queues, forwards or refuses,
// and which flows it reports to the other agents of the service, its peers.
//
// An Owner does no I/O and reads no clock. An adapter passes it packets and events
// together with the time and carries out the effects that it returns: sockets,
// control streams, timers and metrics belong to the adapter.
//
// The owner of a flow is the host whose backend server has the flow. Each version of the
// table of the service gives a flow a first and a second choice of host; older versions
// are retained until all balancers and agents use a newer one. Packet headers carry a
// path: the first choices of the retained table versions, newest first.
//
//   - A first packet is forwarded along its path (search) until a host has its flow.
//     If none does, the last host decides: it gives the flow to the first reachable
//     host of the path (grant). If that host has no capacity, it offers the flow to
//     another host (offer), which accepts the flow, queues it or returns it (final).
//   - A delegation is an entry for a flow on which another host decides. Copies of the
//     first packet follow it to that host.
//   - The directory of a flow is the first and second choices of all retained versions.
//     These hosts keep a directory entry, which names the owner of the flow.
//   - Witnesses are the peers that must confirm the directory entry of a non-idempotent
//     flow before its first packet is delivered, so that no copy of the packet runs at
//     another host when the owner fails.
//   - A full report is sent to a peer over each new stream. It contains the entries of the
//     flows of the peer, and those that the peer must keep as a directory host.
//   - Recovery is the time after a start in which the agent waits for the full reports of
//     its peers, which contain the flows that it owned before. First packets are held
//     until its end.
//   - A flow is adopted when a later packet of it arrives and this agent, its owner, has
//     no entry for it: the agent then creates the entry.
//
// Locks are taken in the order spec, shard, admission, peers, hosts, and no two
// shards are held at once.
package owner

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

const (
	defaultSlots       = 1
	defaultConnections = 2000
	defaultMaxFlows    = 200_000
)

// Config configures an Owner.
type Config struct {
	// Self is the data address of this agent. It must be set.
	Self netip.AddrPort
	// Slots is how many requests the backend server works on at once. 0 means 1.
	Slots int
	// Connections is the maximum number of open flows. 0 means 2,000.
	Connections int
	// RepliesReported is set when the adapter sends ReplySeen events. If true, the load
	// is the requests without a reply, limited by Slots; otherwise it is the open flows,
	// limited by Connections.
	RepliesReported bool
	// MaxFlows limits the entries of the flow map, directory entries included. 0 means
	// 200,000.
	MaxFlows int
	// Incarnation is the incarnation number that this process announces. If 0, the agent
	// cannot detect a restart and does not adopt flows that it may have lost in one.
	Incarnation uint64
	// Started is when the process started. Recovery ends at the latest 2 s after the
	// start or the first table spec, whichever is later. It must be set.
	Started time.Time
}

// Owner holds the flow map of an agent. Its methods are safe for concurrent use.
type Owner struct {
	self netip.AddrPort
	// started is in nanoseconds since 1970.
	started int64
	// incarnation differs from the incarnations of earlier processes of the agent. 0 means
	// that it is not known.
	incarnation     uint64
	maxShardEntries int

	// view is nil until the first table spec arrives.
	view       atomic.Pointer[view]
	recovering atomic.Bool
	// restarted is set when the first table spec listed an earlier process of the agent.
	restarted atomic.Bool

	specMu sync.Mutex
	// recoveryEnds, in nanoseconds since 1970, and tableAcknowledged are guarded by specMu.
	recoveryEnds      int64
	tableAcknowledged bool

	flows flowMap
	// nextSweep counts ticks. Modulo shardCount it is the number of the shard to sweep.
	nextSweep atomic.Uint32
	// lastTick is the time of the last Tick, in nanoseconds since 1970.
	lastTick  atomic.Int64
	admission admission
	peers     peerSet
	hosts     addressInterner
}

// New returns an Owner without a table. It drops all packets until the first
// SpecReceived event.
func New(c Config) (o *Owner, err error) {
	defer func() { err = errors.Wrap(err, "configure owner") }()
	switch {
	case !c.Self.IsValid():
		return nil, errors.New("self is not set")
	case c.Started.IsZero():
		return nil, errors.New("started is not set")
	case c.Slots < 0 || c.Connections < 0 || c.MaxFlows < 0:
		return nil, errors.Errorf("slots (%d), connections (%d) and max flows (%d) must not be negative",
			c.Slots, c.Connections, c.MaxFlows)
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.MaxFlows == 0 {
		c.MaxFlows = defaultMaxFlows
	}
	o = &Owner{
		self:            c.Self,
		started:         c.Started.UnixNano(),
		incarnation:     c.Incarnation,
		maxShardEntries: min((c.MaxFlows+shardCount-1)/shardCount, shardEntryLimit),
		admission: admission{
			slots:         c.Slots,
			connections:   c.Connections,
			limitsBySlots: c.RepliesReported,
		},
	}
	o.peers.byAddress = make(map[netip.AddrPort]*peer)
	o.recovering.Store(true)
	return o, nil
}

// HandlePacket decides on a packet and appends the effects to carry out to effects.
// Effects refer to the data of the packet, which must stay valid until they are
// carried out. The memory of effects beyond len(effects) is reused, so that a packet
// of an owned flow needs no allocation: a slice may be passed again only when its
// earlier effects are no longer needed.
func (o *Owner) HandlePacket(now time.Time, h *flow.Header, p *flow.Packet, effects []Effect) []Effect {
	v := o.view.Load()
	if v == nil || v.table.ServiceID() != h.ServiceID {
		return append(effects, &Drop{Reason: flow.ReasonWrongService})
	}
	c := call{owner: o, now: now.UnixNano(), view: v, effects: effects}
	s := o.flows.shard(p.Hash)
	s.mu.Lock()
	c.handlePacket(s, h, p)
	s.mu.Unlock()
	c.startQueued()
	return c.effects
}

// HandleEvent processes an event and appends the effects to carry out to effects.
// Unknown events are ignored.
func (o *Owner) HandleEvent(now time.Time, event Event, effects []Effect) []Effect {
	c := call{owner: o, now: now.UnixNano(), view: o.view.Load(), effects: effects}
	switch e := event.(type) {
	case SpecReceived:
		c.specReceived(e.Spec)
	case PeerConnected:
		c.peerConnected(e.Peer)
	case PeerDisconnected:
		c.peerDisconnected(e.Peer)
	case ReportReceived:
		c.reportReceived(e.Peer, e.Report)
	case ReportAcked:
		c.reportAcked(e.Peer, e.Sequence)
	case ReplySeen:
		c.replySeen(e.Key)
	case PortBound:
		c.portBound(e.Key, e.Port)
	case DrainChanged:
		c.drainChanged(e.Drain)
	case Stopping:
		c.stopping()
	case Tick:
		c.tick()
	}
	c.startQueued()
	return c.effects
}

// Load returns the current load as a heartbeat without host and incarnation. Its
// busy share is the average since the previous call of Load.
func (o *Owner) Load(now time.Time) *controlpb.Heartbeat {
	return o.admission.heartbeat(now.UnixNano())
}

// Recovering reports whether the agent still waits for the full reports of its peers
// after its start.
func (o *Owner) Recovering() bool { return o.recovering.Load() }

// Flushed reports whether no flow waits for its witnesses and every connected peer
// has confirmed all reports. After a Stopping event the process may then exit.
func (o *Owner) Flushed() bool { return !o.admission.hasPending() && o.peers.allConfirmed() }

// AwaitingPeer reports whether the agent should wait for a peer before it stops: no
// peer is connected that could take over its entries, and one that disconnected or was
// added less than ownerLostAfter (10 s) ago may connect.
func (o *Owner) AwaitingPeer(now time.Time) bool { return o.peers.awaitingPeer(now.UnixNano()) }

// call holds the state of one HandlePacket or HandleEvent call.
type call struct {
	owner *Owner
	// now is in nanoseconds since 1970.
	now int64
	// view is nil until the first table spec arrives.
	view    *view
	effects []Effect
	// capacityFreed is set when a slot or connection may have become free, so that
	// queued flows are to be started.
	capacityFreed bool
}

func (c *call) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *call) drop(reason flow.Reason) { c.emit(&Drop{Reason: reason}) }

// addressInterner maps the addresses of agents to small indices, so that flow map
// entries stay small. Indices are never reused: a process sees few different agents.
type addressInterner struct {
	mu        sync.Mutex
	indices   map[netip.AddrPort]uint32
	addresses atomic.Pointer[[]netip.AddrPort]
}

// intern returns the index of an address, which it adds if necessary.
func (i *addressInterner) intern(address netip.AddrPort) uint32 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if index, ok := i.indices[address]; ok {
		return index
	}
	if i.indices == nil {
		i.indices = make(map[netip.AddrPort]uint32)
	}
	var addresses []netip.AddrPort
	if old := i.addresses.Load(); old != nil {
		addresses = *old
	}
	index := uint32(len(addresses))
	// Concurrent readers hold the shorter list, so appending in place is safe.
	addresses = append(addresses, address)
	i.addresses.Store(&addresses)
	i.indices[address] = index
	return index
}

// address returns the address with an index that intern returned.
func (i *addressInterner) address(index uint32) netip.AddrPort { return (*i.addresses.Load())[index] }
