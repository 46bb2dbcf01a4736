// Package agent runs the agent beside a host: it delivers packets of callers to the host, sends the host's packets to
// the callers, and reports the state and load of the host to balancers.
//
// The decisions are those of package relay. This package adds the sockets, the timers, and the agent's entry in the
// store, by which balancers find the agent. The HTTP server for the host's heartbeats is left to the importer, which
// calls HandleHeartbeat, HandleDeregister and HandleRejectedHeartbeat.
package agent

import (
	"context"
	"math/rand/v2"
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
	"agateramp/internal/segment/coldstart"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/registry"
	"agateramp/internal/segment/relay"
	"agateramp/internal/segment/socket"
)

// Config configures an Agent.
type Config struct {
	// Node names the machine, and DataCentre is the data centre of the machine. Node must be set. If DataCentre is empty,
	// the agent cannot return new flows because of an evacuation.
	Node, DataCentre string
	// Address is the IP address of the machine, on which the agent listens. Must be set.
	Address netip.Addr
	// PacketPort is the UDP port for packets. The agent, the balancers and the callers all receive packets on this
	// port. Must be set.
	PacketPort uint16
	// PeerPort is the UDP port for messages. The agent and the balancers all receive messages on this port. Must be set.
	PeerPort uint16
	// HostListenAddress is where the agent receives packets of the host. Must be set.
	HostListenAddress netip.AddrPort
	// HostAddress is where the host receives packets of callers. Must be set.
	HostAddress netip.AddrPort
	// Service is the service of the host. Must be set.
	Service string
	// HeartbeatInterval is how often the host sends heartbeats. Must be set.
	HeartbeatInterval time.Duration
	// FlowLifetime is the longest lifetime of a flow. If zero, flows may live without a limit.
	FlowLifetime time.Duration
	// ColdBounds limit the new flows of the host while it is cold. If nil, they are not limited.
	ColdBounds *coldstart.Bounds
	// JudgeHosts makes the agent report the outcomes of its host's requests to balancers. If not set, it reports none.
	JudgeHosts bool
	// Seeds are addresses of machines that may run a balancer. The agent sends its status to them while no balancer
	// sends a Hello. If empty, the agent waits until a balancer finds its entry.
	Seeds []netip.Addr
	// Codec is the wire format of packets. Must be set.
	Codec packet.Codec
	// Store holds the agent's entry. Must be set.
	Store store.Store
	// Logger and Metrics receive the log lines and the metrics of the agent. Must be set.
	Logger  log.Logger
	Metrics *metrics.Registry
	// Group runs the agent's goroutines; the agent ends when the group is stopped. Must be set.
	Group *group.Group
}

func (c *Config) validate() (err error) {
	switch {
	case c.Node == "" || !c.Address.IsValid() || c.PacketPort == 0 || c.PeerPort == 0:
		return errors.New("Node, Address, PacketPort and PeerPort must be set")
	case !c.HostListenAddress.IsValid() || !c.HostAddress.IsValid():
		return errors.New("HostListenAddress and HostAddress must be set")
	case c.Codec == nil || c.Store == nil:
		return errors.New("Codec and Store must be set")
	case c.Logger == nil || c.Metrics == nil || c.Group == nil:
		return errors.New("Logger, Metrics and Group must be set")
	}
	return nil
}

const (
	// tickInterval is how often unanswered first packets are counted and the state of the host is checked.
	tickInterval = 50 * time.Millisecond
	// housekeepingInterval is how often idle flows are removed and gauges updated.
	housekeepingInterval = time.Second
	// balancerTTL is how long after its last Hello a balancer is sent messages. Balancers of a fleet of 700 hosts send
	// each agent a Hello every 7 s.
	balancerTTL = 10 * time.Second
	// unaskedInterval is how often the status is sent to the known balancers and the seeds while none sends a Hello.
	unaskedInterval = 500 * time.Millisecond
	// minHelloSilence is the shortest time without a Hello after which balancers are sent the status unasked. If Hellos
	// are rare, it is silentGaps times the usual time between two of them. helloGapWeight is the weight of a new gap in
	// its moving average.
	minHelloSilence = 600 * time.Millisecond
	silentGaps      = 4
	helloGapWeight  = 0.1
	// failuresPerAnnouncement is by how much the number of failed requests has to grow for balancers to be sent the status
	// unasked.
	failuresPerAnnouncement = 3
	// maxReportedBalancers is the most balancers that a status lists. Each status lists others, so that balancers learn
	// of all.
	maxReportedBalancers = 4
	// removeTimeout limits the time to remove the agent's entry from the store after the host has ended.
	removeTimeout = 500 * time.Millisecond
	// handshakeGraceTime is how long a stopping agent goes on, so that handshakes in progress can complete.
	handshakeGraceTime = 100 * time.Millisecond
)

// Agent is a running agent. HandleHeartbeat, HandleDeregister and HandleRejectedHeartbeat are safe for concurrent use.
type Agent struct {
	config Config
	// run names this run of the agent. Earlier runs have other numbers.
	run                                  uint64
	packetSocket, peerSocket, hostSocket *socket.Socket
	registrar                            *registry.Registrar
	decisions                            *logging.DecisionLog

	// mu guards the fields below.
	mu sync.Mutex
	// core makes the decisions.
	core *relay.Relay
	// balancers holds the known balancers and when each last sent a Hello.
	balancers map[netip.Addr]time.Time
	// lastHelloAt is when the last Hello arrived; zero means that none has. helloGap is a moving average of the time
	// between two Hellos.
	lastHelloAt time.Time
	helloGap    time.Duration
	// configVersion is the newest configuration version in a Hello, and configHolder the last balancer that sent it.
	configVersion uint64
	configHolder  netip.Addr
	// announcedState is the host's state that balancers were last sent.
	announcedState packet.HostState
	// announcedFailures is the number of failed requests that balancers were last sent without asking for it.
	announcedFailures int
	// evacuations holds the operator's evacuations as balancers have reported them.
	evacuations evacuation.Tracker
	stopping    bool
}

// New opens the sockets of an agent and starts its goroutines in c.Group.
func New(c Config) (a *Agent, err error) {
	defer func() { err = errors.WithMessage(err, "agent") }()
	if err = c.validate(); err != nil {
		return nil, err
	}
	core, err := relay.New(relay.Config{
		Service: c.Service, HeartbeatInterval: c.HeartbeatInterval, StartedAt: time.Now(), FlowLifetime: c.FlowLifetime,
		ColdBounds:     c.ColdBounds,
		JudgeHosts:     c.JudgeHosts,
		ObserveLatency: func(latency time.Duration) { c.Metrics.Latency("latency.host_us", latency) },
	})
	if err != nil {
		return nil, err
	}
	a = &Agent{config: c, core: core, run: rand.Uint64() | 1, decisions: logging.NewDecisionLog(c.Logger), balancers: make(map[netip.Addr]time.Time)}
	a.registrar, err = registry.NewRegistrar(registry.RegistrarConfig{
		Store: c.Store, Logger: c.Logger, RetryBudget: registry.NewRetryBudget(),
		Entry: registry.Entry{Node: c.Node, Address: c.Address, Service: c.Service},
	})
	if err != nil {
		return nil, err
	}
	if a.packetSocket, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PacketPort), c.Metrics); err != nil {
		return nil, err
	}
	if a.peerSocket, err = socket.Listen(netip.AddrPortFrom(c.Address, c.PeerPort), c.Metrics); err != nil {
		return nil, err
	}
	if a.hostSocket, err = socket.Listen(c.HostListenAddress, c.Metrics); err != nil {
		return nil, err
	}
	a.start()
	return a, nil
}

func (a *Agent) start() {
	g := a.config.Group
	g.Go("close sockets", func(ctx context.Context) error {
		<-ctx.Done()
		a.packetSocket.Close()
		a.peerSocket.Close()
		a.hostSocket.Close()
		return nil
	})
	g.Go("packets", func(context.Context) error { return a.packetSocket.Serve(a.handlePacket) })
	g.Go("messages", func(context.Context) error { return a.peerSocket.Serve(a.handleMessage) })
	g.Go("host", func(context.Context) error { return a.hostSocket.Serve(a.handleHostPacket) })
	g.Go("keep store entry", a.registrar.Run)
	g.Every("unanswered packets", tickInterval, a.checkHost)
	g.Every("probe host", probeCheckInterval, a.probeHost)
	g.Every("housekeeping", housekeepingInterval, a.doHousekeeping)
	g.Every("unasked status", unaskedInterval, a.sendStatusUnasked)
}

func (a *Agent) handlePacket(now time.Time, from netip.Addr, data []byte) {
	s, err := a.config.Codec.Decode(data)
	if err != nil {
		a.recordMalformed(now, "packet", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.execute(now, a.core.HandleFromBalancer(now, from, a.config.Codec.Label(data), &s))
}

func (a *Agent) handleHostPacket(now time.Time, _ netip.Addr, data []byte) {
	s, err := a.config.Codec.Decode(data)
	if err != nil {
		a.recordMalformed(now, "packet of the host", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.execute(now, a.core.HandleFromHost(now, &s))
}

func (a *Agent) recordMalformed(now time.Time, what string, err error) {
	a.config.Metrics.Counter("packets.malformed").Inc(1)
	a.decisions.Log(now, "malformed", what, "err", err)
}

// execute carries out decisions. a.mu must be held, so that the packets of a flow are sent in the order of the
// decisions.
func (a *Agent) execute(now time.Time, decisions []relay.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case relay.Deliver:
			a.config.Metrics.Counter("packets.delivered").Inc(1)
			a.hostSocket.Send(a.config.HostAddress, d.Data)
		case relay.Redeliver:
			a.config.Metrics.Counter("packets.redelivered").Inc(1)
			a.hostSocket.Send(a.config.HostAddress, d.Data)
		case relay.SendToCaller:
			a.config.Metrics.Counter("packets.answered").Inc(1)
			a.packetSocket.Send(netip.AddrPortFrom(d.Flow.Source().Addr(), a.config.PacketPort), d.Data)
		case relay.Return:
			a.config.Metrics.Counter("packets.returned." + d.Reason.String()).Inc(1)
			a.decisions.Log(now, "packet_returned", d.Reason.String(), "flow", packet.FlowName(d.Flow), "balancer", d.Balancer,
				"host", a.core.HostID(), "heartbeat_age_ms", a.heartbeatAge(now))
			returned := message.Returned{Reason: d.Reason, Packet: d.Data, Load: a.core.Load(now)}
			if d.Reason == packet.ReturnEvacuated {
				returned.Evacuations = a.evacuations.State()
			}
			a.sendMessage(d.Balancer, returned)
		case relay.Accept:
			a.decisions.Log(now, "flow_accepted", "", "flow", packet.FlowName(d.Flow), "balancer", d.Balancer, "host", a.core.HostID(), "handshake", d.Handshake)
			a.sendMessage(d.Balancer, message.Accepted{Flow: d.Flow, Sequence: d.Sequence, Handshake: d.Handshake, Load: a.core.Load(now)})
		case relay.Reset:
			a.config.Metrics.Counter("packets.reset." + string(d.Reason)).Inc(1)
			a.decisions.Log(now, "flow_reset", string(d.Reason), "flow", packet.FlowName(d.Flow), "host", a.core.HostID())
			a.packetSocket.Send(netip.AddrPortFrom(d.Flow.Source().Addr(), a.config.PacketPort), a.config.Codec.EncodeReset(d.Flow, d.Sequence))
		case relay.Drop:
			a.config.Metrics.Counter("packets.dropped." + string(d.Reason)).Inc(1)
			a.decisions.Log(now, "packet_dropped", string(d.Reason), "flow", packet.FlowName(d.Flow), "host", a.core.HostID())
		}
	}
}

// heartbeatAge returns the age of the host's last heartbeat in milliseconds for logs, or "unknown" if there is none. a.mu
// must be held.
func (a *Agent) heartbeatAge(now time.Time) any {
	age, known := a.core.HeartbeatAge(now)
	if !known {
		return "unknown"
	}
	return age.Milliseconds()
}

// checkHost counts unanswered first packets, continues a verification of the open flows, and announces the host's state if
// it has changed.
func (a *Agent) checkHost() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateEvacuated(now)
	a.core.Tick(now)
	a.execute(now, a.core.Verify())
	a.announceState(now)
	a.announceFailures(now)
}

func (a *Agent) doHousekeeping() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Expire(now)
	load := a.core.Load(now)
	m := a.config.Metrics
	m.Gauge("flows").Update(int64(load.OpenFlows))
	m.Gauge("host.busy").Update(int64(load.OutstandingRequests))
	m.Gauge("host.cold_ms").Update(a.core.ColdRemaining(now).Milliseconds())
	m.Gauge("host.cold_room").Update(coldRoom(load))
	m.Gauge("host.latency_us").Update(load.Latency.Microseconds())
	m.Gauge("host.requests_observed").Update(int64(load.Health.Requests))
	m.Gauge("host.requests_failed").Update(int64(load.Health.Failures))
	if age, known := a.core.HeartbeatAge(now); known {
		m.Gauge("host.heartbeat_age_ms").Update(age.Milliseconds())
	}
	m.Gauge("config.version").Update(int64(a.configVersion))
}

// coldRoom returns how many new flows a cold host takes now, or -1 if they are not limited.
func coldRoom(l packet.Load) int64 {
	if !l.Cold {
		return -1
	}
	return int64(l.ColdRoom)
}

// Stop makes the agent return the first packets of new flows and reports to the balancers that it is stopping. If the
// process of the host does not run, Stop removes the agent's entry from the store, and ctx limits that call. Otherwise
// the entry stays for a restart of the agent, and Stop blocks for handshakeGraceTime. Stop does not stop the group.
func (a *Agent) Stop(ctx context.Context) {
	if a.hostRefuses() {
		a.handleHostAbsent()
	}
	now := time.Now()
	a.mu.Lock()
	a.core.Stop()
	a.stopping = true
	hostGone := a.core.HostAbsent()
	a.sendStatusToBalancers(now)
	a.mu.Unlock()
	logging.Line(level.Info(a.config.Logger), "event", "stopping", "host_gone", hostGone)
	if !hostGone {
		time.Sleep(handshakeGraceTime)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := a.registrar.Remove(ctx); err != nil {
		logging.Line(level.Warn(a.config.Logger), "event", "entry_not_removed", "err", err)
	}
}
