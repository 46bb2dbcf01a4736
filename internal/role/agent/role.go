package agent

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/control/balancers"
	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/directory"
	"agateramp/internal/core/owner"
	"agateramp/internal/operator/admin"
	"agateramp/internal/operator/adminpb"
	"agateramp/internal/process/certificates"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
)

const (
	// defaultDrainTime applies before the first table spec.
	defaultDrainTime = 30 * time.Second
	// handOverTime bounds the wait for peers to confirm the directory at a stop.
	handOverTime = 2 * time.Second
	// ownChange is the change id of a drain that the agent began by itself.
	ownChange = "planned-stop"
	// pollInterval is how often a stopping agent looks at its open flows.
	pollInterval = 50 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	// Settings are the checked settings of the process. It must be set.
	Settings *settings.Agent
	// Logger takes log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets and frames. It must be set.
	Metrics *metrics.Registry
	// Group runs the tasks. It must be set.
	Group *group.Group
}

// Agent is a running agent.
type Agent struct {
	settings    *settings.Agent
	logger      log.Logger
	incarnation uint64
	dispatcher  *dispatcher
	balancers   *balancers.Service
	directory   *directory.Service
	admin       *admin.Server
	certs       *certificates.Certificates
	spec        atomic.Pointer[controlpb.TableSpec]
	draining    atomic.Bool
	// manual is set while a drain ordered by an operator, and not yet shown by a
	// table spec, is in force.
	manual atomic.Bool
	// connected is closed once balancers and directory are set; their streams may
	// bring frames before that.
	connected chan struct{}
	stopped   <-chan struct{}
}

var (
	_ admin.Process     = (*Agent)(nil)
	_ balancers.Handler = balancerHandler{}
	_ directory.Handler = (*Agent)(nil)
	_ peers             = (*Agent)(nil)
)

// balancerHandler takes what balancers send to an agent.
type balancerHandler struct{ agent *Agent }

// HandleTableSpec implements balancers.Handler.
func (h balancerHandler) HandleTableSpec(spec *controlpb.TableSpec) {
	if h.agent.awaitConnected() {
		h.agent.update(spec)
	}
}

// HandleDrainOrder implements balancers.Handler.
func (h balancerHandler) HandleDrainOrder(drain bool, changeID string) {
	h.agent.orderDrain(drain, changeID)
}

// New starts an agent. It ends with the group.
func New(c Config) (a *Agent, err error) {
	defer func() { err = errors.WithMessage(err, "start agent") }()
	a = &Agent{
		settings: c.Settings, logger: c.Logger, incarnation: uint64(time.Now().UnixNano()),
		connected: make(chan struct{}), stopped: c.Group.Context().Done(),
	}
	if a.certs, err = certificates.Open(c.Settings.TLS); err != nil {
		return nil, err
	}
	server, client := a.certs.Server(), a.certs.Client()
	a.dispatcher, err = newDispatcher(dataPathConfig{
		settings: c.Settings, incarnation: a.incarnation, peers: a, logger: c.Logger, metrics: c.Metrics, group: c.Group,
	})
	if err != nil {
		return nil, err
	}
	if err = a.connect(c, server, client); err != nil {
		return nil, err
	}
	close(a.connected)
	a.dispatcher.start(c.Group)
	return a, a.serveAdmin(c, server)
}

// connect opens the streams to other agents and to balancers.
func (a *Agent) connect(c Config, server, client *tls.Config) (err error) {
	member := a.member()
	a.directory, err = directory.New(directory.Config{
		Listen: c.Settings.ControlAddress.String(), Member: member, Handler: a, ServerTLS: server, ClientTLS: client,
		Group: c.Group, Logger: c.Logger, Metrics: c.Metrics.Registry(),
	})
	if err != nil {
		return err
	}
	member.ControlAddress = a.directory.ControlAddress()
	var targets []string
	for _, address := range c.Settings.Balancers {
		targets = append(targets, address.String())
	}
	a.balancers, err = balancers.New(balancers.Config{
		Targets: targets, Service: c.Settings.Service, Member: member, Load: a.load, Handler: balancerHandler{agent: a}, TLS: client,
		Group: c.Group, Logger: c.Logger, Metrics: c.Metrics.Registry(),
	})
	return err
}

func (a *Agent) member() *controlpb.Member {
	backend := a.settings.Backend
	return &controlpb.Member{
		Host: a.settings.Name, Address: a.dispatcher.port.Address().String(), DataCentre: a.settings.DataCentre,
		ControlAddress: a.settings.ControlAddress.String(), Incarnation: a.incarnation,
		Weight: uint32(backend.Weight), Slots: uint32(backend.Slots), Connections: uint32(backend.Connections),
	}
}

func (a *Agent) serveAdmin(c Config, server *tls.Config) (err error) {
	if !c.Settings.HTTPAddress.IsValid() {
		return nil
	}
	a.admin, err = admin.New(admin.Config{
		Address: c.Settings.HTTPAddress, TLS: server, Process: a, Metrics: c.Metrics, Group: c.Group,
	})
	return err
}

func (a *Agent) load() *controlpb.Heartbeat { return a.dispatcher.owner.Load(time.Now()) }

// update takes a table spec into use.
func (a *Agent) update(spec *controlpb.TableSpec) {
	a.noteSpec(spec)
	a.directory.SetTable(spec)
	a.dispatcher.update(spec)
}

// noteSpec keeps a spec. Once it shows the drain of an operator, the
// configuration says when the drain ends.
func (a *Agent) noteSpec(spec *controlpb.TableSpec) {
	a.spec.Store(spec)
	if a.drainsIn(spec) {
		a.manual.Store(false)
	}
}

// drainsIn reports whether the newest version of a spec lists this host as draining.
func (a *Agent) drainsIn(spec *controlpb.TableSpec) bool {
	for _, m := range spec.GetVersions()[0].GetMembers() {
		if m.GetHost() == a.settings.Name {
			return m.GetDraining()
		}
	}
	return false
}

// orderDrain starts or ends draining; a repeated order has no effect. An order
// without a change id follows from a table spec. It does not end the drain of an
// operator: a balancer that restarted during an outage of the store does not know
// of that drain, and orders what its old spec says.
func (a *Agent) orderDrain(drain bool, changeID string) {
	if changeID == "" && !drain && a.manual.Load() {
		return
	}
	if changeID != "" {
		a.manual.Store(drain)
	}
	if a.draining.Swap(drain) == drain {
		return
	}
	a.log("draining_changed", "drain", drain, "change_id", changeID)
	a.dispatcher.event(owner.DrainChanged{Drain: drain})
}

// HandleEvent implements directory.Handler.
func (a *Agent) HandleEvent(event owner.Event) {
	if a.awaitConnected() {
		a.dispatcher.event(event)
	}
}

// awaitConnected returns once New has set both services, or false if the agent
// was stopped before.
func (a *Agent) awaitConnected() bool {
	select {
	case <-a.connected:
		return true
	case <-a.stopped:
		return false
	}
}

// report implements peers.
func (a *Agent) report(effect owner.Effect) {
	var err error
	switch e := effect.(type) {
	case *owner.Report:
		err = a.directory.Report(e.To, e.Report)
	case *owner.ReportAck:
		err = a.directory.Ack(e.To, e.Sequence)
	default:
		err = errors.Errorf("effect %T is not handled", effect)
	}
	// A report without a stream is not lost: a new stream begins with a full one.
	a.dispatcher.sent(err)
}

// acknowledge implements peers.
func (a *Agent) acknowledge(e *owner.TableAck) {
	a.balancers.Ack(a.dispatcher.serviceID.Load(), e.Version, e.Transferred)
}

// accepts implements peers.
func (a *Agent) accepts(address netip.AddrPort) bool {
	for _, prefix := range a.settings.AcceptFrom {
		if prefix.Contains(address.Addr()) {
			return true
		}
	}
	return false
}

// returnAddress implements peers. Answers go through a balancer that is known
// to be alive: a caller that only listens sends no packet that would show the
// way through another one.
func (a *Agent) returnAddress(wanted netip.AddrPort) netip.AddrPort {
	return a.balancers.LiveDataAddress(wanted)
}

func (a *Agent) log(event string, keyvals ...any) {
	// A log line that cannot be written has no other place to go.
	_ = level.Info(a.logger).Log(append([]any{"event", event, "service", a.settings.Service}, keyvals...)...)
}

// DataAddress returns the address for tunnelled packets.
func (a *Agent) DataAddress() netip.AddrPort { return a.dispatcher.port.Address() }

// AdminAddress returns the HTTP address, or the zero value if none is served.
func (a *Agent) AdminAddress() (address netip.AddrPort) {
	if a.admin == nil {
		return address
	}
	return a.admin.Address()
}

// Leave takes the host out of service: it takes no new flows, waits until the
// open ones have ended or the drain time of the service has passed, and hands
// over the directory. The caller stops the group then.
func (a *Agent) Leave(ctx context.Context) {
	a.log("leaving")
	a.orderDrain(true, ownChange)
	a.balancers.SetDraining(true)
	deadline := time.Now().Add(a.drainTime())
	a.wait(ctx, deadline, func() bool { return a.load().GetOpenFlows() == 0 })
	a.handOver(ctx, deadline)
	a.balancers.Leave()
}

// HandOver prepares a restart of the agent beside a running backend server: it
// takes no new flows and returns when the first requests in progress are answered
// and the peers know every open flow.
func (a *Agent) HandOver(ctx context.Context) { a.handOver(ctx, time.Now().Add(a.drainTime())) }

func (a *Agent) handOver(ctx context.Context, deadline time.Time) {
	a.log("handing_over")
	a.dispatcher.event(owner.Stopping{})
	if a.settings.Backend.Mode == settings.ModeDatagram {
		// An answer that comes while no agent runs is lost, and the first packet of
		// a flow that must not run twice is never delivered again.
		a.wait(ctx, deadline, func() bool { return a.load().GetBusy() == 0 })
	}
	// Without a peer the flows would be lost with this process.
	a.wait(ctx, deadline, func() bool { return !a.dispatcher.owner.AwaitingPeer(time.Now()) })
	a.wait(ctx, time.Now().Add(handOverTime), a.dispatcher.owner.Flushed)
}

func (a *Agent) drainTime() time.Duration {
	milliseconds := a.spec.Load().GetService().GetDrainTimeMs()
	if milliseconds == 0 {
		return defaultDrainTime
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// wait returns when done reports true, the deadline has passed or ctx has ended.
func (a *Agent) wait(ctx context.Context, deadline time.Time, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Status implements admin.Process.
func (a *Agent) Status() *adminpb.StatusResponse {
	load := a.load()
	spec := a.spec.Load()
	s := &adminpb.StatusResponse{
		Name: a.settings.Name, Role: "agent", DataCentre: a.settings.DataCentre,
		ConfigVersion: spec.GetConfigVersion(), ConfigSeen: spec.GetConfigVersion(),
		Load: &adminpb.HostLoad{
			Busy: load.GetBusy(), Queued: load.GetQueued(), OpenFlows: load.GetOpenFlows(),
			Draining: a.draining.Load(), Recovering: a.dispatcher.owner.Recovering(),
		},
	}
	if spec == nil {
		s.Problems = append(s.Problems, "no table spec of service "+a.settings.Service)
	}
	if a.balancers.ConnectedCount() == 0 {
		s.Problems = append(s.Problems, "no stream to a balancer")
	}
	s.Ready = spec != nil && !s.GetLoad().GetRecovering()
	s.CertificateExpiry = a.certs.Expiry()
	return s
}

// Hosts implements admin.Process.
func (a *Agent) Hosts(service string) (hosts []*adminpb.Host, err error) {
	spec := a.spec.Load()
	if spec.GetService().GetName() != service || len(spec.GetVersions()) == 0 {
		return nil, errors.WithMessagef(admin.ErrUnknownService, "%q", service)
	}
	for _, m := range spec.GetVersions()[0].GetMembers() {
		hosts = append(hosts, &adminpb.Host{
			Name: m.GetHost(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Weight: m.GetWeight(),
			Draining: m.GetDraining(), Slots: m.GetSlots(), Connections: m.GetConnections(),
		})
	}
	return hosts, nil
}

// Drain implements admin.Process. It reaches only the host of this agent.
func (a *Agent) Drain(_ context.Context, r *adminpb.DrainRequest) (err error) {
	if r.GetHost() != a.settings.Name {
		return errors.WithMessagef(admin.ErrUnknownHost, "%q is not host %q", r.GetHost(), a.settings.Name)
	}
	a.log("drain_ordered", "drain", !r.GetUndrain(), "who", r.GetWho(), "reason", r.GetReason(), "change_id", r.GetChangeId())
	a.orderDrain(!r.GetUndrain(), r.GetChangeId())
	a.balancers.SetDraining(!r.GetUndrain())
	return nil
}

// StartDrain has the host take no new flows, as by an order of an operator.
func (a *Agent) StartDrain() {
	a.orderDrain(true, ownChange)
	a.balancers.SetDraining(true)
}
