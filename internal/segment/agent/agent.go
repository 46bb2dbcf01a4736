// Package agent runs the process beside a host: it hands packets of callers to the
// host, sends the host's packets to the callers, and tells balancers about the host.
package agent

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
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/registry"
	"agateramp/internal/segment/relay"
	"agateramp/internal/segment/socket"
)

// Config configures an Agent.
type Config struct {
	// Node names the machine, and DataCentre is where it is. Node must be set.
	Node, DataCentre string
	// Address is the address of the machine. It must be set.
	Address netip.Addr
	// PacketPort takes packets from balancers. Callers take their packets at the
	// same port. It must be set.
	PacketPort uint16
	// PeerPort takes messages of other processes. It must be set.
	PeerPort uint16
	// HostListenAddress takes packets of the host. It must be set.
	HostListenAddress netip.AddrPort
	// HostAddress takes packets of callers. It must be set.
	HostAddress netip.AddrPort
	// Service is the service of the host. It must be set.
	Service string
	// HeartbeatInterval is how often the host sends heartbeats. It must be set.
	HeartbeatInterval time.Duration
	// FlowLifetime is how long a flow lives at most. Empty means without a bound.
	FlowLifetime time.Duration
	// Seeds are machines that may run a balancer. Empty means none.
	Seeds []netip.Addr
	// Codec is the wire format of packets. It must be set.
	Codec packet.Codec
	// Store is the store. It must be set.
	Store store.Store
	// Logger and Metrics take what the agent does. They must be set.
	Logger  log.Logger
	Metrics *metrics.Registry
	// Group runs the tasks. It must be set.
	Group *group.Group
}

func (c *Config) validate() (err error) {
	switch {
	case c.Node == "" || !c.Address.IsValid() || c.PacketPort == 0 || c.PeerPort == 0:
		return errors.New("node, address, packet port and peer port must be set")
	case !c.HostListenAddress.IsValid() || !c.HostAddress.IsValid():
		return errors.New("addresses of the host must be set")
	case c.Codec == nil || c.Store == nil:
		return errors.New("codec and store must be set")
	case c.Logger == nil || c.Metrics == nil || c.Group == nil:
		return errors.New("logger, metrics and group must be set")
	}
	return nil
}

const (
	// tickInterval is how often unanswered first packets are counted.
	tickInterval = 50 * time.Millisecond
	// housekeepingInterval is how often idle flows are forgotten and gauges set.
	housekeepingInterval = time.Second
	// balancerTime is how long a balancer gets messages after it was last heard of.
	// Balancers of a fleet of 700 hosts ask each agent every 7 s.
	balancerTime = 10 * time.Second
	// lonelyInterval is how often seeds are told of the agent while no balancer asks.
	lonelyInterval = 500 * time.Millisecond
	// removeTimeout bounds the removal of the entry of a host that has ended.
	removeTimeout = 500 * time.Millisecond
	// settleTime lets handshakes end that are under way when the agent stops.
	settleTime = 100 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	config                Config
	packets, peers, hosts *socket.Socket
	keeper                *registry.Registrar
	decisions             *logging.Decisions

	// mu guards what follows.
	mu   sync.Mutex
	core *relay.Relay
	// balancers holds when each balancer last asked for the status.
	balancers map[netip.Addr]time.Time
	// configVersion is the newest version that a balancer has told of, and
	// configHolder that balancer.
	configVersion uint64
	configHolder  netip.Addr
	state         packet.HostState
	stopping      bool
}

// New opens the sockets and starts the tasks of an agent.
func New(c Config) (a *Agent, err error) {
	defer func() { err = errors.WithMessage(err, "agent") }()
	if err = c.validate(); err != nil {
		return nil, err
	}
	core, err := relay.New(relay.Config{
		Service: c.Service, Heartbeat: c.HeartbeatInterval, FlowLifetime: c.FlowLifetime,
		Answered: func(took time.Duration) { c.Metrics.Latency("latency.host_us", took) },
	})
	if err != nil {
		return nil, err
	}
	a = &Agent{config: c, core: core, decisions: logging.NewDecisions(c.Logger), balancers: make(map[netip.Addr]time.Time)}
	a.keeper, err = registry.NewRegistrar(registry.RegistrarConfig{
		Store: c.Store, Logger: c.Logger, RetryBudget: registry.NewRetryBudget(),
		Entry: registry.Entry{Node: c.Node, Address: c.Address, Service: c.Service},
	})
	if err != nil {
		return nil, err
	}
	if a.packets, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PacketPort), c.Metrics); err != nil {
		return nil, err
	}
	if a.peers, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PeerPort), c.Metrics); err != nil {
		return nil, err
	}
	if a.hosts, err = socket.Listen(c.HostListenAddress, c.Metrics); err != nil {
		return nil, err
	}
	a.start()
	return a, nil
}

func (a *Agent) start() {
	g := a.config.Group
	g.Go("close sockets", func(ctx context.Context) error {
		<-ctx.Done()
		a.packets.Close()
		a.peers.Close()
		a.hosts.Close()
		return nil
	})
	g.Go("packets", func(context.Context) error { return a.packets.Read(a.handlePacket) })
	g.Go("messages", func(context.Context) error { return a.peers.Read(a.handleMessage) })
	g.Go("host", func(context.Context) error { return a.hosts.Read(a.handleHostPacket) })
	g.Go("keep entry", a.keeper.Run)
	g.Every("unanswered packets", tickInterval, a.tick)
	g.Every("housekeeping", housekeepingInterval, a.keepHouse)
	g.Every("seeds", lonelyInterval, a.tellSeeds)
}

func (a *Agent) handlePacket(now time.Time, from netip.Addr, data []byte) {
	s, err := a.config.Codec.Decode(data)
	if err != nil {
		a.malformed(now, "packet", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.execute(now, a.core.HandleFromBalancer(now, from, a.config.Codec.Label(data), &s))
}

func (a *Agent) handleHostPacket(now time.Time, _ netip.Addr, data []byte) {
	s, err := a.config.Codec.Decode(data)
	if err != nil {
		a.malformed(now, "packet of the host", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.execute(now, a.core.HandleFromHost(now, &s))
}

func (a *Agent) malformed(now time.Time, what string, err error) {
	a.config.Metrics.Counter("packets.malformed").Inc(1)
	a.decisions.Log(now, "malformed", what, "err", err)
}

// execute carries out decisions. The lock is held, so that the packets of a flow
// leave in the order in which they were decided.
func (a *Agent) execute(now time.Time, decisions []relay.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case relay.Deliver:
			a.config.Metrics.Counter("packets.delivered").Inc(1)
			a.hosts.Send(a.config.HostAddress, d.Data)
		case relay.ToCaller:
			a.config.Metrics.Counter("packets.answered").Inc(1)
			a.packets.Send(netip.AddrPortFrom(d.Flow.Source().Addr(), a.config.PacketPort), d.Data)
		case relay.Return:
			a.config.Metrics.Counter("packets.returned." + d.Reason.String()).Inc(1)
			a.decisions.Log(now, "packet_returned", d.Reason.String(), "flow", packet.FlowName(d.Flow), "balancer", d.Balancer,
				"host", a.core.HostID(), "heartbeat_age_ms", a.core.HeartbeatAge(now).Milliseconds())
			a.tell(d.Balancer, message.Returned{Reason: d.Reason, Packet: d.Data, Load: a.core.Load(now)})
		case relay.Accept:
			a.decisions.Log(now, "flow_accepted", "", "flow", packet.FlowName(d.Flow), "balancer", d.Balancer, "host", a.core.HostID(), "handshake", d.Handshake)
			a.tell(d.Balancer, message.Accepted{Flow: d.Flow, Sequence: d.Sequence, Handshake: d.Handshake, Load: a.core.Load(now)})
		case relay.Reset:
			a.config.Metrics.Counter("packets.reset." + string(d.Reason)).Inc(1)
			a.decisions.Log(now, "flow_reset", string(d.Reason), "flow", packet.FlowName(d.Flow), "host", a.core.HostID())
			a.packets.Send(netip.AddrPortFrom(d.Flow.Source().Addr(), a.config.PacketPort), a.config.Codec.Reset(d.Flow, d.Sequence))
		case relay.Drop:
			a.config.Metrics.Counter("packets.dropped." + string(d.Reason)).Inc(1)
			a.decisions.Log(now, "packet_dropped", string(d.Reason), "flow", packet.FlowName(d.Flow), "host", a.core.HostID())
		}
	}
}

func (a *Agent) tick() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Tick(now)
	a.announceState(now)
}

func (a *Agent) keepHouse() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Expire(now)
	load := a.core.Load(now)
	m := a.config.Metrics
	m.Gauge("flows").Update(int64(load.Flows))
	m.Gauge("host.busy").Update(int64(load.Busy))
	m.Gauge("host.latency_us").Update(load.Latency.Microseconds())
	m.Gauge("host.heartbeat_age_ms").Update(a.core.HeartbeatAge(now).Milliseconds())
	m.Gauge("config.version").Update(int64(a.configVersion))
}

// Stop tells the balancers that the agent is about to end, and removes its entry
// when the host has ended.
func (a *Agent) Stop(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	a.core.Stop()
	a.stopping = true
	gone := a.core.State(now) == packet.HostGone
	a.tellBalancers(now)
	a.mu.Unlock()
	logging.Line(level.Info(a.config.Logger), "event", "stopping", "host_gone", gone)
	if !gone {
		time.Sleep(settleTime)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := a.keeper.Remove(ctx); err != nil {
		logging.Line(level.Warn(a.config.Logger), "event", "entry_not_removed", "err", err)
	}
}
