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
	// defaultDrainTime applies if the table spec has no drain time, or before the first table spec arrives.
	defaultDrainTime = 30 * time.Second
	// handOverTimeout bounds the wait at a stop until the other agents have acknowledged the directory entries.
	handOverTimeout = 2 * time.Second
	// plannedStopChangeID is the change id of a drain that the agent starts by itself because it stops.
	plannedStopChangeID = "planned-stop"
	// pollInterval is the interval at which a stopping agent checks whether its flows have ended or are handed over.
	pollInterval = 50 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	// Settings are the checked settings of the process. It must be set.
	Settings *settings.Agent
	// Logger receives the log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets and frames. It must be set.
	Metrics *metrics.Registry
	// Group runs the goroutines of the agent. It must be set.
	Group *group.Group
}

// Agent is the process beside a backend server. Its methods are safe for concurrent use.
type Agent struct {
	settings    *settings.Agent
	logger      log.Logger
	incarnation uint64
	dataPath    *dataPath
	balancers   *balancers.Service
	directory   *directory.Service
	admin       *admin.Server
	certs       *certificates.Certificates
	spec        atomic.Pointer[controlpb.TableSpec] // nil until the first table spec arrives
	draining    atomic.Bool
	// operatorDrain is true while the agent drains by order of an operator or because it stops, and no table spec
	// has listed the host as draining yet.
	operatorDrain atomic.Bool
	// controlReady is closed once balancers and directory are set. Their streams may receive messages before that.
	controlReady chan struct{}
	// stopped is closed when the context of the group ends.
	stopped <-chan struct{}
}

var (
	_ admin.Process     = (*Agent)(nil)
	_ balancers.Handler = balancerHandler{}
	_ directory.Handler = (*Agent)(nil)
	_ controlPlane      = (*Agent)(nil)
)

// balancerHandler handles the messages that balancers send to an agent.
type balancerHandler struct{ agent *Agent }

// HandleTableSpec implements balancers.Handler.
func (h balancerHandler) HandleTableSpec(spec *controlpb.TableSpec) {
	if h.agent.awaitControlReady() {
		h.agent.updateTable(spec)
	}
}

// HandleDrainOrder implements balancers.Handler.
func (h balancerHandler) HandleDrainOrder(drain bool, changeID string) {
	h.agent.applyDrainOrder(drain, changeID)
}

// New starts an agent. The agent stops when the context of the group ends.
func New(c Config) (a *Agent, err error) {
	defer func() { err = errors.WithMessage(err, "start agent") }()
	a = &Agent{
		settings: c.Settings, logger: c.Logger, incarnation: uint64(time.Now().UnixNano()),
		controlReady: make(chan struct{}), stopped: c.Group.Context().Done(),
	}
	if a.certs, err = certificates.Open(c.Settings.TLS); err != nil {
		return nil, err
	}
	serverTLS, clientTLS := a.certs.Server(), a.certs.Client()
	a.dataPath, err = newDataPath(dataPathConfig{
		settings: c.Settings, incarnation: a.incarnation, controlPlane: a, logger: c.Logger, metrics: c.Metrics, group: c.Group,
	})
	if err != nil {
		return nil, err
	}
	if err = a.openControlStreams(c, serverTLS, clientTLS); err != nil {
		return nil, err
	}
	close(a.controlReady)
	a.dataPath.start(c.Group)
	return a, a.serveAdmin(c, serverTLS)
}

// openControlStreams starts the control streams to other agents and to balancers.
func (a *Agent) openControlStreams(c Config, serverTLS, clientTLS *tls.Config) (err error) {
	member := a.member()
	a.directory, err = directory.New(directory.Config{
		Listen: c.Settings.ControlAddress.String(), Member: member, Handler: a, ServerTLS: serverTLS, ClientTLS: clientTLS,
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
		Targets: targets, Service: c.Settings.Service, Member: member, Load: a.load, Handler: balancerHandler{agent: a}, TLS: clientTLS,
		Group: c.Group, Logger: c.Logger, Metrics: c.Metrics.Registry(),
	})
	return err
}

// member returns the agent's description of its host for tables.
func (a *Agent) member() *controlpb.Member {
	backend := a.settings.Backend
	return &controlpb.Member{
		Host: a.settings.Name, Address: a.dataPath.endpoint.Address().String(), DataCentre: a.settings.DataCentre,
		ControlAddress: a.settings.ControlAddress.String(), Incarnation: a.incarnation,
		Weight: uint32(backend.Weight), Slots: uint32(backend.Slots), Connections: uint32(backend.Connections),
	}
}

// serveAdmin starts the admin HTTP server if the settings have an address for it.
func (a *Agent) serveAdmin(c Config, serverTLS *tls.Config) (err error) {
	if !c.Settings.HTTPAddress.IsValid() {
		return nil
	}
	a.admin, err = admin.New(admin.Config{
		Address: c.Settings.HTTPAddress, TLS: serverTLS, Process: a, Metrics: c.Metrics, Group: c.Group,
	})
	return err
}

// load returns the load of the host for a heartbeat.
func (a *Agent) load() *controlpb.Heartbeat { return a.dataPath.owner.Load(time.Now()) }

// updateTable replaces the table spec.
func (a *Agent) updateTable(spec *controlpb.TableSpec) {
	a.storeSpec(spec)
	a.directory.SetTable(spec)
	a.dataPath.updateTable(spec)
}

// storeSpec stores a table spec. Once a spec lists the host as draining, the drain of an operator is part of the
// configuration, and the configuration decides when it ends.
func (a *Agent) storeSpec(spec *controlpb.TableSpec) {
	a.spec.Store(spec)
	if a.isDrainingIn(spec) {
		a.operatorDrain.Store(false)
	}
}

// isDrainingIn reports whether the newest version of a spec, the first of its list, lists this host as draining. The
// spec must have a version.
func (a *Agent) isDrainingIn(spec *controlpb.TableSpec) bool {
	for _, m := range spec.GetVersions()[0].GetMembers() {
		if m.GetHost() == a.settings.Name {
			return m.GetDraining()
		}
	}
	return false
}

// applyDrainOrder starts or ends draining; a repeated order has no effect. An order without a change id results from
// a table spec. It does not end the drain of an operator: a balancer that restarted during an outage of the store has
// an old spec without that drain, and its orders follow the old spec.
func (a *Agent) applyDrainOrder(drain bool, changeID string) {
	if changeID == "" && !drain && a.operatorDrain.Load() {
		return
	}
	if changeID != "" {
		a.operatorDrain.Store(drain)
	}
	if a.draining.Swap(drain) == drain {
		return
	}
	a.log("draining_changed", "drain", drain, "change_id", changeID)
	a.dataPath.handleEvent(owner.DrainChanged{Drain: drain})
}

// HandleEvent implements directory.Handler.
func (a *Agent) HandleEvent(event owner.Event) {
	if a.awaitControlReady() {
		a.dataPath.handleEvent(event)
	}
}

// awaitControlReady blocks until New has set balancers and directory. It returns false if the agent stops before that.
func (a *Agent) awaitControlReady() bool {
	select {
	case <-a.controlReady:
		return true
	case <-a.stopped:
		return false
	}
}

// sendReport implements controlPlane.
func (a *Agent) sendReport(effect owner.Effect) {
	var err error
	switch e := effect.(type) {
	case *owner.Report:
		err = a.directory.Report(e.To, e.Report)
	case *owner.ReportAck:
		err = a.directory.Ack(e.To, e.Sequence)
	default:
		err = errors.Errorf("owner effect of unexpected type %T", effect)
	}
	// A report that finds no stream is not lost, because each new stream begins with a full report.
	a.dataPath.recordSendError(err)
}

// acknowledgeTable implements controlPlane.
func (a *Agent) acknowledgeTable(e *owner.TableAck) {
	a.balancers.Ack(a.dataPath.serviceID.Load(), e.Version, e.Transferred)
}

// acceptsPeer implements controlPlane.
func (a *Agent) acceptsPeer(address netip.AddrPort) bool {
	for _, prefix := range a.settings.AcceptFrom {
		if prefix.Contains(address.Addr()) {
			return true
		}
	}
	return false
}

// returnAddress implements controlPlane. Replies go through a balancer that is known to be alive: a caller that only
// receives sends no further packet, so the agent would not learn of another balancer from a packet of the flow.
func (a *Agent) returnAddress(preferred netip.AddrPort) netip.AddrPort {
	return a.balancers.LiveDataAddress(preferred)
}

func (a *Agent) log(event string, keyvals ...any) {
	// An error is ignored: there is no other place to report a log line that cannot be written.
	_ = level.Info(a.logger).Log(append([]any{"event", event, "service", a.settings.Service}, keyvals...)...)
}

// DataAddress returns the UDP address for Geneve frames.
func (a *Agent) DataAddress() netip.AddrPort { return a.dataPath.endpoint.Address() }

// AdminAddress returns the address of the admin HTTP server, or the zero value if the settings have none.
func (a *Agent) AdminAddress() (address netip.AddrPort) {
	if a.admin == nil {
		return address
	}
	return a.admin.Address()
}

// Leave takes the host out of service: the agent accepts no new flows, waits until the open ones have ended or the
// drain time of the service has passed, and then waits until the other agents have its directory entries, as HandOver
// does. It blocks until then, or until ctx ends. The group must be stopped afterwards.
func (a *Agent) Leave(ctx context.Context) {
	a.log("leaving")
	a.applyDrainOrder(true, plannedStopChangeID)
	a.balancers.SetDraining(true)
	deadline := time.Now().Add(a.drainTime())
	a.waitUntil(ctx, deadline, func() bool { return a.load().GetOpenFlows() == 0 })
	a.handOver(ctx, deadline)
	a.balancers.Leave()
}

// HandOver prepares a restart of the agent beside a running backend server: the agent accepts no new flows, and
// HandOver blocks until the other agents have a directory entry of every open flow. With settings.ModeDatagram it first
// waits until the first request of each open flow is answered. It returns at the latest after the drain time of the
// service and 2 seconds more, or when ctx ends. The group must be stopped afterwards.
func (a *Agent) HandOver(ctx context.Context) { a.handOver(ctx, time.Now().Add(a.drainTime())) }

func (a *Agent) handOver(ctx context.Context, deadline time.Time) {
	a.log("handing_over")
	a.dataPath.handleEvent(owner.Stopping{})
	if a.settings.Backend.Mode == settings.ModeDatagram {
		// A reply that arrives while no agent runs is lost. For a non-idempotent flow, whose request must not run
		// twice, the first packet is never delivered again, so the reply cannot be repeated.
		a.waitUntil(ctx, deadline, func() bool { return a.load().GetBusy() == 0 })
	}
	// Without another agent that has the directory entries, the flows would be lost with this process.
	a.waitUntil(ctx, deadline, func() bool { return !a.dataPath.owner.AwaitingPeer(time.Now()) })
	a.waitUntil(ctx, time.Now().Add(handOverTimeout), a.dataPath.owner.Flushed)
}

// drainTime returns the drain time of the service, or the default.
func (a *Agent) drainTime() time.Duration {
	milliseconds := a.spec.Load().GetService().GetDrainTimeMs()
	if milliseconds == 0 {
		return defaultDrainTime
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// waitUntil blocks until condition returns true, the deadline has passed or ctx has ended.
func (a *Agent) waitUntil(ctx context.Context, deadline time.Time, condition func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() && time.Now().Before(deadline) {
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
			Draining: a.draining.Load(), Recovering: a.dataPath.owner.Recovering(),
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

// Hosts implements admin.Process. The agent knows only the hosts of its own service.
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

// Drain implements admin.Process. The agent can drain only its own host.
func (a *Agent) Drain(_ context.Context, r *adminpb.DrainRequest) (err error) {
	if r.GetHost() != a.settings.Name {
		return errors.WithMessagef(admin.ErrUnknownHost, "%q is not host %q", r.GetHost(), a.settings.Name)
	}
	a.log("drain_ordered", "drain", !r.GetUndrain(), "who", r.GetWho(), "reason", r.GetReason(), "change_id", r.GetChangeId())
	a.applyDrainOrder(!r.GetUndrain(), r.GetChangeId())
	a.balancers.SetDraining(!r.GetUndrain())
	return nil
}

// StartDrain starts to drain the host, as an order of an operator does. It does not block.
func (a *Agent) StartDrain() {
	a.applyDrainOrder(true, plannedStopChangeID)
	a.balancers.SetDraining(true)
}
