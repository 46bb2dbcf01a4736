package balancer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/control/agents"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/admin"
	"agateramp/internal/operator/adminpb"
	"agateramp/internal/operator/audit"
	"agateramp/internal/operator/config"
	"agateramp/internal/process/certificates"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
)

// leaveGrace is how long a balancer forwards after it said that it leaves, so
// that the fabric and the agents can turn to others.
const leaveGrace = 2 * time.Second

// Config configures a Balancer.
type Config struct {
	// Settings are the checked settings of the process. It must be set.
	Settings *settings.Balancer
	// Store is the platform's key-value service. It must be set.
	Store store.Store
	// Seeds are control addresses of other balancers, asked for table specs while
	// the store is down. Empty means none.
	Seeds []string
	// Logger takes log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets and calls. It must be set.
	Metrics *metrics.Registry
	// Group runs the tasks. It must be set.
	Group *group.Group
}

// Balancer is a running balancer.
type Balancer struct {
	settings *settings.Balancer
	logger   log.Logger
	path     *DataPath
	control  *agents.Service
	admin    *admin.Server
	certs    *certificates.Certificates
	trail    *trail
	// seen is the newest configuration version that was read.
	seen atomic.Uint64
}

var (
	_ admin.Process = (*Balancer)(nil)
	_ agents.Tables = (*DataPath)(nil)
)

// New starts a balancer. It ends with the group.
func New(c Config) (b *Balancer, err error) {
	defer func() { err = errors.WithMessage(err, "start balancer") }()
	b = &Balancer{settings: c.Settings, logger: c.Logger, trail: newTrail(c.Store, c.Logger, c.Settings.Name)}
	if b.certs, err = certificates.Open(c.Settings.TLS); err != nil {
		return nil, err
	}
	server, client := b.certs.Server(), b.certs.Client()
	b.path, err = NewDataPath(DataPathConfig{Settings: c.Settings, Logger: c.Logger, Metrics: c.Metrics, Group: c.Group})
	if err != nil {
		return nil, err
	}
	b.control, err = agents.New(agents.Config{
		Name: c.Settings.Name, Listen: c.Settings.ControlAddress.String(),
		DataAddress: b.path.Address().String(), DataCentre: c.Settings.DataCentre, Seeds: c.Seeds,
		ServerTLS: server, ClientTLS: client, Store: c.Store, Tables: b.path, Observe: b.observe,
		Group: c.Group, Logger: c.Logger, Metrics: c.Metrics.Registry(),
	})
	if err != nil {
		return nil, err
	}
	if err = b.serveAdmin(c, server); err != nil {
		return nil, err
	}
	c.Group.Go("audit trail", b.trail.run)
	c.Group.Go("configuration watch", func(ctx context.Context) error {
		return config.Watch(ctx, config.WatchConfig{Store: c.Store, Report: b.watchFailed}, b.configure)
	})
	return b, nil
}

func (b *Balancer) serveAdmin(c Config, server *tls.Config) (err error) {
	if !c.Settings.HTTPAddress.IsValid() {
		return nil
	}
	b.admin, err = admin.New(admin.Config{
		Address: c.Settings.HTTPAddress, TLS: server, Process: b, Metrics: c.Metrics, Group: c.Group,
	})
	return err
}

// configure passes a configuration version to the control plane.
func (b *Balancer) configure(snapshot *config.Snapshot) error {
	b.seen.Store(snapshot.Manifest().Version)
	b.control.Configure(shardSettings(snapshot))
	b.log("configuration_read", "version", snapshot.Manifest().Version)
	return nil
}

func (b *Balancer) watchFailed(err error) {
	// A log line that cannot be written has no other place to go.
	_ = level.Warn(b.logger).Log("event", "configuration_watch_failed", "err", err)
}

// shardSettings converts a configuration version for the shard holders.
func shardSettings(snapshot *config.Snapshot) *shard.Settings {
	s := &shard.Settings{
		Version: snapshot.Manifest().Version, Revision: snapshot.ModRevision(), Hosts: make(map[string]shard.HostSettings),
	}
	for _, state := range snapshot.Services() {
		s.Services = append(s.Services, shard.ServiceSettings{Service: state.Definition, ConfigVersion: state.ConfigVersion})
		for name, host := range state.Hosts {
			o := shard.HostSettings{Drain: host.Drain}
			if host.Weight != nil {
				o.HasWeight, o.Weight = true, *host.Weight
			}
			s.Hosts[name] = o
		}
	}
	return s
}

func (b *Balancer) log(event string, keyvals ...any) {
	// A log line that cannot be written has no other place to go.
	_ = level.Info(b.logger).Log(append([]any{"event", event}, keyvals...)...)
}

// DataAddress returns the address for tunnelled packets.
func (b *Balancer) DataAddress() netip.AddrPort { return b.path.Address() }

// ControlAddress returns the address that agents dial.
func (b *Balancer) ControlAddress() string { return b.control.ControlAddress() }

// AdminAddress returns the HTTP address, or the zero value if none is served.
func (b *Balancer) AdminAddress() (address netip.AddrPort) {
	if b.admin == nil {
		return address
	}
	return b.admin.Address()
}

// DatagramAddresses returns the local address of each service address taken as plain UDP.
func (b *Balancer) DatagramAddresses() map[netip.AddrPort]netip.AddrPort {
	return b.path.DatagramAddresses()
}

// ConfigVersionInForce returns the configuration version in force.
func (b *Balancer) ConfigVersionInForce() uint64 { return b.control.VersionInForce() }

// Leave tells every connected process that the balancer stops, and returns
// after a time in which it still forwards. The caller stops the group then.
func (b *Balancer) Leave() {
	b.log("leaving")
	b.control.AnnounceLeaving()
	time.Sleep(leaveGrace)
}

// Status implements admin.Process.
func (b *Balancer) Status() *adminpb.StatusResponse {
	s := &adminpb.StatusResponse{
		Name: b.settings.Name, Role: "balancer", DataCentre: b.settings.DataCentre,
		ConfigVersion: b.control.VersionInForce(), ConfigSeen: b.seen.Load(), Services: b.services(),
	}
	for _, id := range b.control.PendingServices() {
		s.Problems = append(s.Problems, fmt.Sprintf("no table spec of service %d as new as configuration version %d", id, s.GetConfigSeen()))
	}
	s.Ready = s.GetConfigVersion() > 0
	s.CertificateExpiry = b.certs.Expiry()
	return s
}

func (b *Balancer) services() (services []*adminpb.ServiceStatus) {
	for _, version := range b.path.Versions() {
		t := b.path.forwarder.router.Table(version.GetServiceId())
		if t == nil {
			continue
		}
		s := &adminpb.ServiceStatus{
			Id: version.GetServiceId(), Name: t.Service().GetName(), TableVersion: t.Version(),
			ConfigVersion: t.ConfigVersion(), Hosts: uint32(len(t.Members())),
		}
		for _, address := range t.Service().GetAddresses() {
			s.Addresses = append(s.Addresses, address.GetAddress())
		}
		services = append(services, s)
	}
	return services
}

// Hosts implements admin.Process.
func (b *Balancer) Hosts(service string) (hosts []*adminpb.Host, err error) {
	for _, version := range b.path.Versions() {
		t := b.path.forwarder.router.Table(version.GetServiceId())
		if t == nil || t.Service().GetName() != service {
			continue
		}
		for _, m := range t.Members() {
			hosts = append(hosts, &adminpb.Host{
				Name: m.Host, Address: m.Address.String(), DataCentre: m.DataCentre, Weight: m.Weight,
				Draining: m.Draining, Slots: m.Slots, Connections: m.Connections,
			})
		}
		return hosts, nil
	}
	return nil, errors.WithMessagef(admin.ErrUnknownService, "%q", service)
}

// Drain implements admin.Process. It reaches agents attached to this balancer.
func (b *Balancer) Drain(_ context.Context, r *adminpb.DrainRequest) (err error) {
	if !b.control.OrderDrain(r.GetHost(), !r.GetUndrain(), r.GetChangeId()) {
		return errors.WithMessagef(admin.ErrUnknownHost, "%q is not attached to balancer %q", r.GetHost(), b.settings.Name)
	}
	b.log("drain_ordered", "host", r.GetHost(), "drain", !r.GetUndrain(), "who", r.GetWho(), "reason", r.GetReason(), "change_id", r.GetChangeId())
	record := audit.Record{Kind: audit.KindDrain, Who: r.GetWho(), Subject: r.GetHost(), Reason: r.GetReason(), ChangeID: r.GetChangeId()}
	if r.GetUndrain() {
		record.Kind = audit.KindUndrain
	}
	b.trail.add(record)
	return nil
}
