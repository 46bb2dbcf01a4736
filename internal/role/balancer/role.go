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

// leaveDelay is how long a balancer still forwards after it has announced that it leaves, so that the fabric and the
// agents can switch to other balancers.
const leaveDelay = 2 * time.Second

// Config configures a Balancer.
type Config struct {
	// Settings are the checked settings of the process. It must be set.
	Settings *settings.Balancer
	// Store is the key-value store of the platform. It must be set.
	Store store.Store
	// Seeds are control addresses of other balancers, from which table specs are read while the store is down. If
	// empty, no other balancer is asked.
	Seeds []string
	// Logger receives the log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets and calls. It must be set.
	Metrics *metrics.Registry
	// Group runs the goroutines of the balancer. It must be set.
	Group *group.Group
}

// Balancer is the balancer process. Its methods are safe for concurrent use.
type Balancer struct {
	settings   *settings.Balancer
	logger     log.Logger
	dataPath   *DataPath
	control    *agents.Service
	admin      *admin.Server
	certs      *certificates.Certificates
	auditQueue *auditQueue
	// configVersionSeen is the newest configuration version that was read, in force or not.
	configVersionSeen atomic.Uint64
}

var (
	_ admin.Process = (*Balancer)(nil)
	_ agents.Tables = (*DataPath)(nil)
)

// New starts a balancer. The balancer stops when the context of the group ends.
func New(c Config) (b *Balancer, err error) {
	defer func() { err = errors.WithMessage(err, "start balancer") }()
	b = &Balancer{settings: c.Settings, logger: c.Logger, auditQueue: newAuditQueue(c.Store, c.Logger, c.Settings.Name)}
	if b.certs, err = certificates.Open(c.Settings.TLS); err != nil {
		return nil, err
	}
	serverTLS, clientTLS := b.certs.Server(), b.certs.Client()
	b.dataPath, err = NewDataPath(DataPathConfig{Settings: c.Settings, Logger: c.Logger, Metrics: c.Metrics, Group: c.Group})
	if err != nil {
		return nil, err
	}
	b.control, err = agents.New(agents.Config{
		Name: c.Settings.Name, Listen: c.Settings.ControlAddress.String(),
		DataAddress: b.dataPath.Address().String(), DataCentre: c.Settings.DataCentre, Seeds: c.Seeds,
		ServerTLS: serverTLS, ClientTLS: clientTLS, Store: c.Store, Tables: b.dataPath, Observe: b.recordShardEffect,
		Group: c.Group, Logger: c.Logger, Metrics: c.Metrics.Registry(),
	})
	if err != nil {
		return nil, err
	}
	if err = b.serveAdmin(c, serverTLS); err != nil {
		return nil, err
	}
	c.Group.Go("audit trail", b.auditQueue.run)
	c.Group.Go("configuration watch", func(ctx context.Context) error {
		return config.Watch(ctx, config.WatchConfig{Store: c.Store, OnError: b.logWatchError}, b.applyConfig)
	})
	return b, nil
}

// serveAdmin starts the admin HTTP server if the settings have an address for it.
func (b *Balancer) serveAdmin(c Config, serverTLS *tls.Config) (err error) {
	if !c.Settings.HTTPAddress.IsValid() {
		return nil
	}
	b.admin, err = admin.New(admin.Config{
		Address: c.Settings.HTTPAddress, TLS: serverTLS, Process: b, Metrics: c.Metrics, Group: c.Group,
	})
	return err
}

// applyConfig passes a configuration version to the control streams and the shards that this balancer holds.
func (b *Balancer) applyConfig(snapshot *config.Snapshot) error {
	b.configVersionSeen.Store(snapshot.Manifest().Version)
	b.control.Configure(shardSettings(snapshot))
	b.log("configuration_read", "version", snapshot.Manifest().Version)
	return nil
}

// logWatchError logs an error of the watch on the configuration. The watch continues after it.
func (b *Balancer) logWatchError(err error) {
	// An error is ignored: there is no other place to report a log line that cannot be written.
	_ = level.Warn(b.logger).Log("event", "configuration_watch_failed", "err", err)
}

// shardSettings returns the part of a configuration version that shard holders use.
func shardSettings(snapshot *config.Snapshot) *shard.Settings {
	s := &shard.Settings{
		Version: snapshot.Manifest().Version, Revision: snapshot.ModRevision(), Hosts: make(map[string]shard.HostSettings),
	}
	for _, state := range snapshot.Services() {
		s.Services = append(s.Services, shard.ServiceSettings{Service: state.Definition, ConfigVersion: state.ConfigVersion})
		for name, host := range state.Hosts {
			hostSettings := shard.HostSettings{Drain: host.Drain}
			if host.Weight != nil {
				hostSettings.HasWeight, hostSettings.Weight = true, *host.Weight
			}
			s.Hosts[name] = hostSettings
		}
	}
	return s
}

func (b *Balancer) log(event string, keyvals ...any) {
	// An error is ignored: there is no other place to report a log line that cannot be written.
	_ = level.Info(b.logger).Log(append([]any{"event", event}, keyvals...)...)
}

// DataAddress returns the UDP address for Geneve frames.
func (b *Balancer) DataAddress() netip.AddrPort { return b.dataPath.Address() }

// ControlAddress returns the address that agents dial.
func (b *Balancer) ControlAddress() string { return b.control.ControlAddress() }

// AdminAddress returns the address of the admin HTTP server, or the zero value if the settings have none.
func (b *Balancer) AdminAddress() (address netip.AddrPort) {
	if b.admin == nil {
		return address
	}
	return b.admin.Address()
}

// DatagramAddresses returns the local address of each service address that receives plain UDP datagrams.
func (b *Balancer) DatagramAddresses() map[netip.AddrPort]netip.AddrPort {
	return b.dataPath.DatagramAddresses()
}

// ConfigVersionInForce returns the newest configuration version of which this balancer has a table spec of every
// service. It is 0 before the first one.
func (b *Balancer) ConfigVersionInForce() uint64 { return b.control.VersionInForce() }

// Leave announces to every connected process that the balancer stops, and blocks for 2 seconds, in which it still
// forwards. The group must be stopped afterwards.
func (b *Balancer) Leave() {
	b.log("leaving")
	b.control.AnnounceLeaving()
	time.Sleep(leaveDelay)
}

// Status implements admin.Process.
func (b *Balancer) Status() *adminpb.StatusResponse {
	s := &adminpb.StatusResponse{
		Name: b.settings.Name, Role: "balancer", DataCentre: b.settings.DataCentre,
		ConfigVersion: b.control.VersionInForce(), ConfigSeen: b.configVersionSeen.Load(), Services: b.services(),
	}
	for _, id := range b.control.PendingServices() {
		s.Problems = append(s.Problems, fmt.Sprintf("no table spec of service %d as new as configuration version %d", id, s.GetConfigSeen()))
	}
	s.Ready = s.GetConfigVersion() > 0
	s.CertificateExpiry = b.certs.Expiry()
	return s
}

// services returns the status of each service that has a table.
func (b *Balancer) services() (services []*adminpb.ServiceStatus) {
	for _, version := range b.dataPath.Versions() {
		t := b.dataPath.forwarder.router.Table(version.GetServiceId())
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

// Hosts implements admin.Process. It returns the hosts in the table of a service.
func (b *Balancer) Hosts(service string) (hosts []*adminpb.Host, err error) {
	for _, version := range b.dataPath.Versions() {
		t := b.dataPath.forwarder.router.Table(version.GetServiceId())
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

// Drain implements admin.Process. It sends the order to the agent of the host, which must be attached to this balancer
// by a control stream, and adds the order to the audit trail.
func (b *Balancer) Drain(_ context.Context, r *adminpb.DrainRequest) (err error) {
	if !b.control.OrderDrain(r.GetHost(), !r.GetUndrain(), r.GetChangeId()) {
		return errors.WithMessagef(admin.ErrUnknownHost, "%q is not attached to balancer %q", r.GetHost(), b.settings.Name)
	}
	b.log("drain_ordered", "host", r.GetHost(), "drain", !r.GetUndrain(), "who", r.GetWho(), "reason", r.GetReason(), "change_id", r.GetChangeId())
	record := audit.Record{Kind: audit.KindDrain, Who: r.GetWho(), Subject: r.GetHost(), Reason: r.GetReason(), ChangeID: r.GetChangeId()}
	if r.GetUndrain() {
		record.Kind = audit.KindUndrain
	}
	b.auditQueue.add(record)
	return nil
}
