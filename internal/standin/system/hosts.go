package system

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"agateramp/internal/load/history"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
	"agateramp/internal/role/agent"
	"agateramp/internal/standin/backend"
)

// addHost starts a backend server and its agent.
func (s *System) addHost(c HostConfig) (err error) {
	defer func() { err = errors.WithMessagef(err, "host %s", c.Name) }()
	entry, ok := s.Entry(c.Service)
	if !ok {
		return errors.Errorf("there is no service %q", c.Service)
	}
	server, err := backend.New(backend.Config{
		Name: c.Name, Service: entry.ID, Slots: c.Slots, Speed: c.Speed, History: s.history, Group: s.config.Group,
	})
	if err != nil {
		return err
	}
	address, err := server.ServeUDP(loopback)
	if err != nil {
		return err
	}
	s.history.AddHost(c.Name, uint32(c.Slots))
	host := &runningHost{config: c, server: server, address: address}
	if err = s.startAgent(host); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[c.Name] = host
	return nil
}

// startAgent starts the agent beside a running backend server.
func (s *System) startAgent(h *runningHost) (err error) {
	address := h.config.Address
	if !address.IsValid() {
		address = loopback
	}
	own := &settings.Agent{
		Common: s.common(h.config.Name, h.config.DataCentre, address), Service: h.config.Service,
		Backend: settings.Backend{
			Mode: settings.ModeDatagram, Address: h.address, Slots: h.config.Slots, Connections: connections,
			Weight: h.config.Slots * milliweight,
		},
		Balancers: s.controlAddresses(), AcceptFrom: settings.Loopback(),
	}
	tasks := group.New(s.config.Group.Context())
	a, err := agent.New(agent.Config{Settings: own, Logger: s.config.Logger, Metrics: metrics.New(), Group: tasks})
	if err != nil {
		tasks.Stop()
		return err
	}
	h.agent, h.tasks = a, tasks
	// A restarted agent keeps its address.
	h.config.Address = a.DataAddress()
	return nil
}

// connections is the connection limit of every host.
const connections = 2000

// maxTargets is how many balancers an agent attaches to.
const maxTargets = 3

func (s *System) controlAddresses() (addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.config.Balancers {
		running := s.balancers[name]
		if running == nil || len(addresses) == maxTargets {
			continue
		}
		if address, err := netip.ParseAddrPort(running.balancer.ControlAddress()); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// RestartAgent restarts the agent beside a running backend server, as planned
// or without warning.
func (s *System) RestartAgent(ctx context.Context, name string, planned bool) (err error) {
	defer func() { err = errors.WithMessagef(err, "restart agent of %s", name) }()
	h, err := s.host(name)
	if err != nil {
		return err
	}
	if planned {
		h.agent.HandOver(ctx)
	}
	h.tasks.Stop()
	if err = h.tasks.Wait(); err != nil {
		return err
	}
	return s.startAgent(h)
}

// DrainHost tells a host to drain through its agent, without the store.
func (s *System) DrainHost(name string) (err error) {
	h, err := s.host(name)
	if err != nil {
		return err
	}
	s.mark(history.MarkLeaving, name, 0)
	h.agent.StartDrain()
	s.mark(history.MarkDrainKnown, name, 0)
	return nil
}

// Server returns the backend server of a host.
func (s *System) Server(name string) (server *backend.Server, err error) {
	h, err := s.host(name)
	if err != nil {
		return nil, err
	}
	return h.server, nil
}

func (s *System) host(name string) (h *runningHost, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h = s.hosts[name]
	if h == nil {
		return nil, errors.Errorf("there is no host %q", name)
	}
	return h, nil
}
