// Package balancer runs a balancer: it receives the packets of callers and forwards them to the agents beside the
// hosts.
//
// The decisions are those of package dispatch. This package adds the sockets, the timers and the sources of
// knowledge: the configuration and the agents' entries in the store, status messages of agents, and the views of
// other balancers, which take the place of the store during its outages. Balancers do not share their flow tables.
package balancer

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/coldstart"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/paths"
	"agateramp/internal/segment/peers"
	"agateramp/internal/segment/routes"
	"agateramp/internal/segment/socket"
)

// Config configures a Balancer.
type Config struct {
	// Address is the IP address of the machine, on which the balancer listens. Must be set.
	Address netip.Addr
	// PacketPort is the UDP port for packets. The balancer, the agents and the callers all receive packets on this
	// port. Must be set.
	PacketPort uint16
	// PeerPort is the port for agents and other balancers: UDP for messages, TCP for views. Must be set.
	PeerPort uint16
	// DataCentre is the data centre of the balancer. If empty, no host is preferred for being near.
	DataCentre string
	// RelayPackets makes the balancer send packets for a data centre that it does not reach through balancers in other
	// data centres, and relay packets of other balancers. If false, such packets are sent directly and are lost. It has
	// no effect if DataCentre is empty.
	RelayPackets bool
	// CPUPermille is the share of a processor core that the balancer may use, in thousandths. Balancers with more are
	// preferred for watching the store. If zero, all others are preferred.
	CPUPermille int
	// Seeds are addresses of machines that may run a balancer. The balancer contacts them while it knows no other
	// balancer or has no configuration. If empty, it learns of other balancers only from agents and from balancers
	// that contact it.
	Seeds []netip.Addr
	// Codec is the wire format of packets. Must be set.
	Codec packet.Codec
	// Store holds the configuration and the agents' entries. Must be set.
	Store store.Store
	// ConfigKey is the store key of the operator's configuration. Must be set.
	ConfigKey string
	// EvacuationPrefix is the prefix of the store keys that evacuate a data centre; its name follows the prefix. If empty,
	// no data centre is evacuated.
	EvacuationPrefix string
	// OperatorPrefix is the common prefix of ConfigKey and EvacuationPrefix, which are watched together. Must be set with
	// EvacuationPrefix; otherwise it has no effect.
	OperatorPrefix string
	// DecodeConfig decodes the operator's configuration. Must be set.
	DecodeConfig func(data []byte) (*routes.Set, error)
	// ColdBounds are how far the new flows of a cold host may exceed the figure of the configuration. If nil, they are not
	// limited, and agents get no figure.
	ColdBounds *coldstart.Bounds
	// JudgeHosts lowers the share of new flows of hosts that fail more of their requests than the others of their service.
	// If not set, every host has its whole share.
	JudgeHosts bool
	// MaxFlows limits the number of flows in the flow table. If zero, the default of package dispatch applies.
	MaxFlows int
	// StopTimeout is the most time that Stop takes. If zero, it is 4 s.
	StopTimeout time.Duration
	// Logger and Metrics receive the log lines and the metrics of the balancer. Must be set.
	Logger  log.Logger
	Metrics *metrics.Registry
	// Group runs the balancer's goroutines; the balancer ends when the group is stopped. Must be set.
	Group *group.Group
}

func (c *Config) validate() (err error) {
	switch {
	case !c.Address.IsValid(), c.PacketPort == 0, c.PeerPort == 0:
		return errors.New("Address, PacketPort and PeerPort must be set")
	case c.Codec == nil, c.Store == nil, c.DecodeConfig == nil, c.ConfigKey == "":
		return errors.New("Codec, Store, ConfigKey and DecodeConfig must be set")
	case c.EvacuationPrefix != "" && (c.OperatorPrefix == "" || !strings.HasPrefix(c.ConfigKey, c.OperatorPrefix) || !strings.HasPrefix(c.EvacuationPrefix, c.OperatorPrefix)):
		return errors.New("OperatorPrefix must be a prefix of ConfigKey and EvacuationPrefix")
	case c.Logger == nil, c.Metrics == nil, c.Group == nil:
		return errors.New("Logger, Metrics and Group must be set")
	}
	if c.StopTimeout <= 0 {
		c.StopTimeout = 4 * time.Second
	}
	return nil
}

// Balancer is a running balancer. Its methods are safe for concurrent use.
type Balancer struct {
	config       Config
	packetSocket *socket.Socket
	peerSocket   *socket.Socket
	decisions    *logging.DecisionLog
	// timerWake makes runTimer read the deadlines again, because an earlier one was set.
	timerWake chan struct{}
	// viewRequests holds balancers whose view is to be read: they have a newer configuration or know other agents.
	viewRequests chan netip.Addr

	// digestWake makes exchangeStatus send digests at once, because this balancer has read a change from the store.
	digestWake chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// core makes the decisions.
	core *dispatch.Dispatcher
	// peers are the other balancers.
	peers *peers.Set
	// paths are the data centres that are reached, or nil if packets are not relayed. loggedCutOff are those that were
	// last logged as cut off.
	paths        *paths.Set
	loggedCutOff []string
	// list is the store's list of agents.
	list agentList
	// evacuations holds the operator's evacuations, and evacuated the evacuated data centres that the dispatcher has.
	evacuations evacuation.Tracker
	evacuated   []string
	// watching is set while this balancer watches the store.
	watching bool
	// storeDown is set while the store is unreachable, and storeReturnedAt is when it became reachable again or was
	// found to be restored; it is zero if neither has happened since the balancer began to watch it.
	storeDown       bool
	storeReturnedAt time.Time
	// startedAt is when the balancer was started. agentsCompared is set once this balancer has had all agents of an
	// established one, that is, one that had run for a while.
	startedAt      time.Time
	agentsCompared bool
	// startState names the circumstances of the start that were last logged.
	startState string

	// timerDueAt is when runTimer calls the dispatcher next.
	timerDueAt time.Time
	// nextAgent is the index of the first agent in the next part of a poll.
	nextAgent int
	// nextCompareAt is the earliest time at which a different agent hash leads to another read of a view.
	nextCompareAt time.Time
	stopping      bool
	// lastPacketAt is when the last packet was received.
	lastPacketAt time.Time
	// ready is the readiness that was last logged.
	ready bool
}

// lookupsPerPermille is how many lookups a second a balancer may send for each thousandth of a processor core that it may
// use. A lookup and its answer take about 10 us, so that they take at most a quarter of its processor time.
const lookupsPerPermille = 25

// New opens the sockets of a balancer and starts its goroutines in c.Group.
func New(c Config) (b *Balancer, err error) {
	defer func() { err = errors.WithMessage(err, "balancer") }()
	if err = c.validate(); err != nil {
		return nil, err
	}
	reached, err := newPaths(c)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	core, err := dispatch.New(dispatch.Config{
		MaxFlows: c.MaxFlows, DataCentre: c.DataCentre, LookupsPerSecond: lookupsPerPermille * c.CPUPermille, StartedAt: startedAt,
		Paths: reached, ColdBounds: c.ColdBounds, JudgeHosts: c.JudgeHosts,
	})
	if err != nil {
		return nil, err
	}
	others, err := peers.New(peers.Config{Self: c.Address, CPUPermille: c.CPUPermille})
	if err != nil {
		return nil, err
	}
	b = &Balancer{
		config: c, core: core, decisions: logging.NewDecisionLog(c.Logger), peers: others, paths: reached,
		startedAt: startedAt, timerWake: make(chan struct{}, 1), viewRequests: make(chan netip.Addr, 16), digestWake: make(chan struct{}, 1),
	}
	if b.packetSocket, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PacketPort), c.Metrics); err != nil {
		return nil, err
	}
	if b.peerSocket, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PeerPort), c.Metrics); err != nil {
		return nil, err
	}
	if err = b.start(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Balancer) start() (err error) {
	if err = b.serveView(); err != nil {
		return err
	}
	g := b.config.Group
	g.Go("close sockets", func(ctx context.Context) error {
		<-ctx.Done()
		b.packetSocket.Close()
		b.peerSocket.Close()
		return nil
	})
	g.Go("packets", func(context.Context) error { return b.packetSocket.Serve(b.handlePacket) })
	g.Go("messages", func(context.Context) error { return b.peerSocket.Serve(b.handleMessage) })
	g.Go("timer", b.runTimer)
	g.Go("poll agents", b.exchangeStatus)
	g.Go("read views", b.readViews)
	g.Go("watch store", b.watchStore)
	g.Every("housekeeping", housekeepingInterval, b.doHousekeeping)
	return nil
}

// housekeepingInterval is how often idle flows are removed and gauges updated.
const housekeepingInterval = time.Second

func (b *Balancer) handlePacket(now time.Time, _ netip.Addr, data []byte) {
	s, err := b.config.Codec.Decode(data)
	if err != nil {
		b.recordMalformed(now, "packet", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastPacketAt = now
	if label := b.config.Codec.Label(data); label.Relayed {
		b.config.Metrics.Counter("packets.received_relayed").Inc(1)
		b.execute(now, b.core.HandleRelayed(now, &s, label.Holder))
	} else {
		b.execute(now, b.core.HandlePacket(now, &s))
	}
	b.wakeTimer()
}

func (b *Balancer) recordMalformed(now time.Time, what string, err error) {
	b.config.Metrics.Counter("packets.malformed").Inc(1)
	b.decisions.Log(now, "malformed", what, "err", err)
}

// execute carries out decisions. b.mu must be held, so that the packets of a flow are sent in the order of the
// decisions.
func (b *Balancer) execute(now time.Time, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case dispatch.Forward:
			b.config.Codec.SetLabel(d.Data, packet.Label{ServiceTag: d.ServiceTag, Probe: d.Step == dispatch.StepSearch, Late: d.Late, Class: b.core.Routes().RequestClass(d.Flow.Destination())})
			b.packetSocket.Send(netip.AddrPortFrom(d.Agent, b.config.PacketPort), d.Data)
			b.config.Metrics.Counter("packets.forwarded." + string(d.Step)).Inc(1)
			if d.Step != dispatch.StepOwner {
				b.decisions.Log(now, "packet_"+string(d.Step), "", "flow", packet.FlowName(d.Flow), "agent", d.Agent, "late", d.Late,
					"status_age_ms", now.Sub(d.LastMessageAt).Milliseconds(), "config_version", b.core.Routes().Version())
			}
		case dispatch.Relay:
			b.config.Codec.SetLabel(d.Data, packet.Label{Relayed: true, Holder: d.Holder})
			b.packetSocket.Send(netip.AddrPortFrom(d.Balancer, b.config.PacketPort), d.Data)
			b.config.Metrics.Counter("packets.relayed").Inc(1)
			b.decisions.Log(now, "packet_relayed", "", "flow", packet.FlowName(d.Flow), "balancer", d.Balancer, "holder", d.Holder)
		case dispatch.Reset:
			caller := netip.AddrPortFrom(d.Flow.Source().Addr(), b.config.PacketPort)
			b.packetSocket.Send(caller, b.config.Codec.EncodeReset(d.Flow, d.Sequence))
			b.config.Metrics.Counter("packets.reset." + string(d.Reason)).Inc(1)
			b.decisions.Log(now, "flow_reset", string(d.Reason), "flow", packet.FlowName(d.Flow), "config_version", b.core.Routes().Version())
		case dispatch.Search:
			b.config.Metrics.Counter("flows.searched").Inc(1)
			b.decisions.Log(now, "flow_search", "", "flow", packet.FlowName(d.Flow), "agents", d.Agents, "config_version", b.core.Routes().Version())
		case dispatch.Lookup:
			b.config.Metrics.Counter("lookups.sent").Inc(1)
			b.sendMessage(d.Agent, message.Lookup{Flows: d.Flows, Acknowledgements: d.Acknowledgements})
		case dispatch.Drop:
			b.config.Metrics.Counter("packets.dropped." + string(d.Reason)).Inc(1)
			b.decisions.Log(now, "packet_dropped", string(d.Reason), "flow", packet.FlowName(d.Flow), "config_version", b.core.Routes().Version())
		}
	}
}

// wakeTimer wakes runTimer if a deadline is earlier than the one that it waits for. b.mu must be held.
func (b *Balancer) wakeTimer() {
	at, pending := b.core.NextTick()
	if !pending || !at.Before(b.timerDueAt) {
		return
	}
	select {
	case b.timerWake <- struct{}{}:
	default:
	}
}

// runTimer calls the dispatcher at its deadlines, such as when an agent has not answered in time.
func (b *Balancer) runTimer(ctx context.Context) (err error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.timerWake:
		case <-timer.C:
		}
		timer.Reset(b.tick())
	}
}

// minTimerInterval is the least time that runTimer waits between two calls of the dispatcher.
const minTimerInterval = 5 * time.Millisecond

// tick calls the dispatcher and returns how long runTimer waits until the next call.
func (b *Balancer) tick() (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.execute(now, b.core.Tick(now))
	at, pending := b.core.NextTick()
	wait = time.Hour
	if pending {
		wait = max(at.Sub(now), minTimerInterval)
	}
	b.timerDueAt = now.Add(wait)
	return wait
}

func (b *Balancer) doHousekeeping() {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Expire(now)
	b.core.SetBalancerCount(1 + len(b.peers.Addresses()))
	b.updateListComplete(now)
	b.updateEvacuated(now, "restore grace")
	b.logShares()
	m := b.config.Metrics
	m.Gauge("evacuations.data_centres").Update(int64(len(b.evacuated)))
	m.Gauge("evacuations.revision").Update(b.evacuations.State().Revision().Number)
	m.Gauge("flows").Update(int64(b.core.FlowCount()))
	m.Gauge("agents.answering").Update(int64(b.core.AnsweringCount(now)))
	m.Gauge("agents.known").Update(int64(len(b.core.Agents())))
	m.Gauge("agents.list_revision").Update(b.list.revision.Number)
	m.Gauge("store.generation").Update(int64(b.list.revision.Generation))
	m.Gauge("store.watching").Update(boolGauge(b.watching))
	m.Gauge("data_centres.cut_off").Update(int64(len(b.paths.CutOff())))
	m.Gauge("config.version").Update(int64(b.core.Routes().Version()))
	b.logReadiness(now, b.isReady(now))
}

// logShares logs which hosts get another share of the new flows than before because of their health. b.mu must be held.
func (b *Balancer) logShares() {
	changes, lowered := b.core.ShareChanges()
	b.config.Metrics.Gauge("hosts.lowered").Update(int64(lowered))
	for _, c := range changes {
		logging.Line(level.Info(b.config.Logger), "event", "host_share_changed", "agent", c.Agent, "share", c.Share, "previous", c.Previous,
			"requests", c.Report.Requests, "failures", c.Report.Failures)
	}
}

// boolGauge returns the value of a gauge for a condition: 1 if it holds, and 0 if not.
func boolGauge(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

// Ready reports whether the balancer can serve traffic: it has a configuration, at least one agent answers, and Stop
// was not called.
func (b *Balancer) Ready() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := b.isReady(now)
	b.logReadiness(now, ready)
	return ready
}

// isReady reports the readiness without logging it. b.mu must be held.
func (b *Balancer) isReady(now time.Time) bool {
	return !b.stopping && b.core.Routes() != nil && b.core.AnsweringCount(now) > 0
}

// logReadiness logs the readiness if it has changed. b.mu must be held.
func (b *Balancer) logReadiness(now time.Time, ready bool) {
	if ready == b.ready {
		return
	}
	b.ready = ready
	logging.Line(level.Info(b.config.Logger), "event", "readiness_changed", "ready", ready, "stopping", b.stopping,
		"config_version", b.core.Routes().Version(), "agents_answering", b.core.AnsweringCount(now), "agents_known", len(b.core.Agents()))
}

const (
	// stopIdleTime is how long a stopping balancer must have received no packet before Stop returns. Callers retransmit
	// after at most 200 ms, so that packets keep coming while routers still choose the balancer.
	stopIdleTime = 400 * time.Millisecond
	// routerNoticeTime is how long routers take to notice that the balancer is not ready: two readiness requests, at
	// two per second, and some slack.
	routerNoticeTime = 1200 * time.Millisecond
)

// Stop makes Ready return false, so that the routers that spread packets over the balancers stop choosing this one. It
// blocks until no packet has arrived for a while and none is queued, or StopTimeout has passed. Packets that still arrive
// are forwarded; flows that are still queued at the end are reset. Stop does not stop the group.
func (b *Balancer) Stop() {
	started := time.Now()
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	b.wakeDigest()
	logging.Line(level.Info(b.config.Logger), "event", "stopping")
	defer b.refuseQueued()
	deadline := started.Add(b.config.StopTimeout)
	for now := started; now.Before(deadline); now = time.Now() {
		time.Sleep(100 * time.Millisecond)
		b.mu.Lock()
		idle := now.Sub(b.lastPacketAt) > stopIdleTime && !b.core.Busy()
		b.mu.Unlock()
		if idle && now.Sub(started) > routerNoticeTime {
			return
		}
	}
}

// refuseQueued resets the flows that are still queued.
func (b *Balancer) refuseQueued() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(time.Now(), b.core.Close())
}
