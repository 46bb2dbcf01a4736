// Package owner decides for an agent: which packets its backend server gets,
// which flows it takes, queues, passes on or refuses, and what it reports to
// the directory of its peers.
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
	// Slots is how many requests the backend server works on at once. Empty means 1.
	Slots int
	// Connections is the most open flows. Empty means 2,000.
	Connections int
	// RepliesReported is set when the adapter reports answers, so that slots are
	// counted by requests. Empty means that open flows stand for load.
	RepliesReported bool
	// MaxFlows bounds the flow map, directory entries included. Empty means 200,000.
	MaxFlows int
	// Incarnation is the one that this process announces. Empty means that the agent
	// adopts no flows that it may have lost in a restart.
	Incarnation uint64
	// Started is when the process started. Recovery ends 2 s after that or after
	// the first table spec, whichever is later. It must be set.
	Started time.Time
}

// Owner holds the flow map of an agent. Its methods are safe for concurrent use.
type Owner struct {
	self    netip.AddrPort
	started int64
	// incarnation differs from that of earlier processes of the agent.
	incarnation uint64
	maxShardEntries  int

	view       atomic.Pointer[view]
	recovering atomic.Bool
	// restarted is set when the host was in the table before this process started.
	restarted atomic.Bool

	specMu sync.Mutex
	// recoveryEnds and acknowledged are guarded by specMu.
	recoveryEnds int64
	tableAcknowledged bool

	flows     flowMap
	nextSweep atomic.Uint32
	// lastTick is when time passed last, in nanoseconds since 1970.
	lastTick  atomic.Int64
	admission admission
	peers     peerSet
	hosts     addressInterner
}

// New returns an Owner without a table; it passes and takes nothing until the
// first SpecReceived event.
func New(c Config) (o *Owner, err error) {
	defer func() { err = errors.Wrap(err, "configure owner") }()
	switch {
	case !c.Self.IsValid():
		return nil, errors.New("self is not set")
	case c.Started.IsZero():
		return nil, errors.New("started is not set")
	case c.Slots < 0 || c.Connections < 0 || c.MaxFlows < 0:
		return nil, errors.New("slots, connections and max flows must not be negative")
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
		self:        c.Self,
		started:     c.Started.UnixNano(),
		incarnation: c.Incarnation,
		maxShardEntries:  min((c.MaxFlows+shardCount-1)/shardCount, maxShardFlows),
		admission: admission{
			slots:       c.Slots,
			connections: c.Connections,
			limitsBySlots: c.RepliesReported,
		},
	}
	o.peers.byAddress = make(map[netip.AddrPort]*peer)
	o.recovering.Store(true)
	return o, nil
}

// HandlePacket decides on a packet and appends what is to be done to effects. A
// caller that passes a slice again gives up the effects that it held before: their
// memory is used anew, so that a packet of an owned flow costs no allocation.
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

// HandleEvent takes an event and appends what is to be done to effects.
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
		c.answerSeen(e.Key)
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

// Load returns the present load as a heartbeat without host and incarnation.
func (o *Owner) Load(now time.Time) *controlpb.Heartbeat {
	return o.admission.heartbeat(now.UnixNano())
}

// Recovering reports whether the agent still waits for the reports of its peers.
func (o *Owner) Recovering() bool { return o.recovering.Load() }

// Flushed reports whether no flow waits for its witnesses and every connected peer
// has confirmed all reports.
func (o *Owner) Flushed() bool { return !o.admission.hasPending() && o.peers.allConfirmed() }

// AwaitingPeer reports whether no peer can take over the entries now, while one that
// was lost lately may come back.
func (o *Owner) AwaitingPeer(now time.Time) bool { return o.peers.awaitingPeer(now.UnixNano()) }

// call is one packet or event on its way through the Owner.
type call struct {
	owner   *Owner
	now     int64
	view    *view
	effects []Effect
	// freed is set when a slot or connection became free.
	capacityFreed bool
}

func (c *call) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *call) drop(reason flow.Reason) { c.emit(&Drop{Reason: reason}) }

// hostList numbers the addresses of agents, so that entries stay small. Numbers
// are never reused; agents have few addresses over the life of a process.
type addressInterner struct {
	mu      sync.Mutex
	indices map[netip.AddrPort]uint32
	list    atomic.Pointer[[]netip.AddrPort]
}

func (l *addressInterner) intern(address netip.AddrPort) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, ok := l.indices[address]; ok {
		return n
	}
	if l.indices == nil {
		l.indices = make(map[netip.AddrPort]uint32)
	}
	var list []netip.AddrPort
	if old := l.list.Load(); old != nil {
		list = *old
	}
	n := uint32(len(list))
	// Readers see the shorter list, so appending in place does not disturb them.
	list = append(list, address)
	l.list.Store(&list)
	l.indices[address] = n
	return n
}

func (l *addressInterner) address(n uint32) netip.AddrPort { return (*l.list.Load())[n] }
