// Package balancer runs a balancer that takes packets of callers and sends them
// to the agents beside the hosts.
package balancer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/registry"
	"agateramp/internal/segment/routes"
	"agateramp/internal/segment/socket"
)

// Config configures a Balancer.
type Config struct {
	// Address is the address of the machine. It must be set.
	Address netip.Addr
	// PacketPort takes packets of callers, and of balancers at agents. Callers take
	// their packets at the same port. It must be set.
	PacketPort uint16
	// PeerPort takes messages of other processes. It must be set.
	PeerPort uint16
	// DataCentre is where the balancer is. Empty means that no host is nearer than others.
	DataCentre string
	// Seeds are machines that may run a balancer. Empty means none.
	Seeds []netip.Addr
	// Codec is the wire format of packets. It must be set.
	Codec packet.Codec
	// Store is the store. It must be set.
	Store store.Store
	// ConfigKey is where the operator's configuration lies in the store. It must be set.
	ConfigKey string
	// DecodeConfig reads the operator's configuration. It must be set.
	DecodeConfig func(data []byte) (*routes.Set, error)
	// MaxFlows bounds the remembered flows. Empty means the default of dispatch.
	MaxFlows int
	// StopTimeout is how long Stop may take. Empty means 4 s.
	StopTimeout time.Duration
	// Logger and Metrics take what the balancer does. They must be set.
	Logger  log.Logger
	Metrics *metrics.Registry
	// Group runs the tasks. It must be set.
	Group *group.Group
}

func (c *Config) validate() (err error) {
	switch {
	case !c.Address.IsValid(), c.PacketPort == 0, c.PeerPort == 0:
		return errors.New("address, packet port and peer port must be set")
	case c.Codec == nil, c.Store == nil, c.DecodeConfig == nil, c.ConfigKey == "":
		return errors.New("codec, store and configuration must be set")
	case c.Logger == nil, c.Metrics == nil, c.Group == nil:
		return errors.New("logger, metrics and group must be set")
	}
	if c.StopTimeout <= 0 {
		c.StopTimeout = 4 * time.Second
	}
	return nil
}

// Balancer is a running balancer.
type Balancer struct {
	config    Config
	packets   *socket.Socket
	peers     *socket.Socket
	decisions *logging.Decisions
	// wake tells the timer that a deadline was set.
	wake chan struct{}
	// wanted takes balancers that have a newer configuration or other agents.
	wanted chan netip.Addr

	// mu guards what follows.
	mu   sync.Mutex
	core *dispatch.Dispatcher
	// storeLost is when the store was last lost, storeDown whether it still is, and
	// listed whether its list of agents was read.
	storeLost time.Time
	storeDown bool
	listed    bool

	balancers map[netip.Addr]time.Time
	// timerAt is when the timer looks at the deadlines next.
	timerAt time.Time
	// nextAgent is the index of the agent that is asked for its status next.
	nextAgent int
	// compareAt is when agents are compared with another balancer again.
	compareAt time.Time
	stopping  bool
	received  time.Time
	ready     bool
}

// New opens the sockets and starts the tasks of a balancer.
func New(c Config) (b *Balancer, err error) {
	defer func() { err = errors.WithMessage(err, "balancer") }()
	if err = c.validate(); err != nil {
		return nil, err
	}
	core, err := dispatch.New(dispatch.Config{MaxFlows: c.MaxFlows, DataCentre: c.DataCentre})
	if err != nil {
		return nil, err
	}
	b = &Balancer{
		config: c, core: core, decisions: logging.NewDecisions(c.Logger), balancers: make(map[netip.Addr]time.Time),
		wake: make(chan struct{}, 1), wanted: make(chan netip.Addr, 16),
	}
	if b.packets, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PacketPort), c.Metrics); err != nil {
		return nil, err
	}
	if b.peers, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PeerPort), c.Metrics); err != nil {
		return nil, err
	}
	if err = b.start(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Balancer) start() (err error) {
	retries := registry.NewRetryBudget()
	config, err := registry.NewMirror(registry.MirrorConfig{
		Store: b.config.Store, Prefix: b.config.ConfigKey, BatchInterval: configPause, OnChange: b.configChanged, OnReachable: b.storeReached, RetryBudget: retries, Logger: b.config.Logger,
	})
	if err != nil {
		return err
	}
	agents, err := registry.NewMirror(registry.MirrorConfig{
		Store: b.config.Store, Prefix: registry.KeyPrefix, BatchInterval: agentsPause, OnChange: b.agentsChanged, RetryBudget: retries, Logger: b.config.Logger,
	})
	if err != nil {
		return err
	}
	if err = b.serveView(); err != nil {
		return err
	}
	g := b.config.Group
	g.Go("close sockets", func(ctx context.Context) error {
		<-ctx.Done()
		b.packets.Close()
		b.peers.Close()
		return nil
	})
	g.Go("packets", func(context.Context) error { return b.packets.Read(b.handlePacket) })
	g.Go("messages", func(context.Context) error { return b.peers.Read(b.handleMessage) })
	g.Go("timer", b.runTimer)
	g.Go("greet agents", b.greet)
	g.Go("pull views", b.pull)
	g.Go("follow configuration", config.Run)
	g.Go("follow agents", agents.Run)
	g.Every("housekeeping", housekeepingInterval, b.keepHouse)
	return nil
}

const (
	// configPause and agentsPause gather changes that come together.
	configPause = 150 * time.Millisecond
	agentsPause = 200 * time.Millisecond
	// housekeepingInterval is how often idle flows are forgotten and gauges set.
	housekeepingInterval = time.Second
)

func (b *Balancer) handlePacket(now time.Time, _ netip.Addr, data []byte) {
	s, err := b.config.Codec.Decode(data)
	if err != nil {
		b.malformed(now, "packet", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received = now
	b.execute(now, b.core.HandlePacket(now, &s))
	b.wakeTimer()
}

func (b *Balancer) malformed(now time.Time, what string, err error) {
	b.config.Metrics.Counter("packets.malformed").Inc(1)
	b.decisions.Log(now, "malformed", what, "err", err)
}

// execute carries out decisions. The lock is held, so that the packets of a flow
// leave in the order in which they were decided.
func (b *Balancer) execute(now time.Time, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case dispatch.Forward:
			b.config.Codec.SetLabel(d.Data, packet.Label{Service: d.Service, Ask: d.Step == dispatch.StepSearch, Late: d.Late})
			b.packets.Send(netip.AddrPortFrom(d.Agent, b.config.PacketPort), d.Data)
			b.config.Metrics.Counter("packets.forwarded." + string(d.Step)).Inc(1)
			if d.Step != dispatch.StepOwner {
				b.decisions.Log(now, "packet_"+string(d.Step), "", "flow", packet.FlowName(d.Flow), "agent", d.Agent, "late", d.Late,
					"status_age_ms", now.Sub(d.Heard).Milliseconds(), "config_version", b.core.Routes().Version())
			}
		case dispatch.Reset:
			caller := netip.AddrPortFrom(d.Flow.Source().Addr(), b.config.PacketPort)
			b.packets.Send(caller, b.config.Codec.Reset(d.Flow, d.Sequence))
			b.config.Metrics.Counter("packets.reset." + string(d.Reason)).Inc(1)
			b.decisions.Log(now, "flow_reset", string(d.Reason), "flow", packet.FlowName(d.Flow), "config_version", b.core.Routes().Version())
		case dispatch.Search:
			b.config.Metrics.Counter("flows.searched").Inc(1)
			b.decisions.Log(now, "flow_search", "", "flow", packet.FlowName(d.Flow), "agents", d.Agents, "config_version", b.core.Routes().Version())
		case dispatch.Lookup:
			b.config.Metrics.Counter("lookups.sent").Inc(1)
			b.tell(d.Agent, message.Lookup{Flows: d.Flows})
		case dispatch.Drop:
			b.config.Metrics.Counter("packets.dropped." + string(d.Reason)).Inc(1)
			b.decisions.Log(now, "packet_dropped", string(d.Reason), "flow", packet.FlowName(d.Flow), "config_version", b.core.Routes().Version())
		}
	}
}

// wakeTimer makes the timer look at the deadlines if it waits for a later one.
func (b *Balancer) wakeTimer() {
	at, waits := b.core.Next()
	if !waits || !at.Before(b.timerAt) {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// runTimer calls the core when an agent has not answered in time.
func (b *Balancer) runTimer(ctx context.Context) (err error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		case <-timer.C:
		}
		timer.Reset(b.tick())
	}
}

// timerStep is the least time between two calls of the core's timer.
const timerStep = 5 * time.Millisecond

func (b *Balancer) tick() (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.execute(now, b.core.Tick(now))
	at, waits := b.core.Next()
	wait = time.Hour
	if waits {
		wait = max(at.Sub(now), timerStep)
	}
	b.timerAt = now.Add(wait)
	return wait
}

func (b *Balancer) keepHouse() {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Expire(now)
	b.core.SetComplete(b.isComplete(now))
	m := b.config.Metrics
	m.Gauge("flows").Update(int64(b.core.Flows()))
	m.Gauge("agents.answering").Update(int64(b.core.Answering(now)))
	m.Gauge("agents.known").Update(int64(len(b.core.Agents())))
	m.Gauge("config.version").Update(int64(b.core.Routes().Version()))
	b.noteReady(now, b.isReady(now))
}

// entryReturnTime is how long after the store's return the entries of agents may
// still be missing: 2 s, and half as much again for the way here.
const entryReturnTime = 3 * time.Second

// storeReached takes the loss and the return of the store.
func (b *Balancer) storeReached(reached bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.storeDown = !reached; b.storeDown {
		b.storeLost = now
	}
	b.core.SetComplete(b.isComplete(now))
}

// isComplete reports whether the agents that are known are all that there are.
func (b *Balancer) isComplete(now time.Time) bool {
	return b.listed && !b.storeDown && now.Sub(b.storeLost) > entryReturnTime
}

// Ready reports whether the balancer takes traffic: it has a configuration and
// reaches agents, and is not stopping.
func (b *Balancer) Ready() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := b.isReady(now)
	b.noteReady(now, ready)
	return ready
}

func (b *Balancer) isReady(now time.Time) bool {
	return !b.stopping && b.core.Routes() != nil && b.core.Answering(now) > 0
}

func (b *Balancer) noteReady(now time.Time, ready bool) {
	if ready == b.ready {
		return
	}
	b.ready = ready
	logging.Line(level.Info(b.config.Logger), "event", "readiness_changed", "ready", ready, "stopping", b.stopping,
		"config_version", b.core.Routes().Version(), "agents_answering", b.core.Answering(now), "agents_known", len(b.core.Agents()))
}

const (
	// quietTime is how long no packet must have come before a stopping balancer ends.
	// Callers send copies after at most 200 ms while the routers still choose it.
	quietTime = 400 * time.Millisecond
	// rotationTime is how long routers take to notice that the balancer is not ready:
	// two requests at two a second.
	rotationTime = 1200 * time.Millisecond
)

// Stop makes the routers leave the balancer out, forwards what still comes, and
// returns when no packet has come for a while.
func (b *Balancer) Stop() {
	started := time.Now()
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	logging.Line(level.Info(b.config.Logger), "event", "stopping")
	deadline := started.Add(b.config.StopTimeout)
	for now := started; now.Before(deadline); now = time.Now() {
		time.Sleep(100 * time.Millisecond)
		b.mu.Lock()
		quiet := now.Sub(b.received) > quietTime
		b.mu.Unlock()
		if quiet && now.Sub(started) > rotationTime {
			return
		}
	}
}
