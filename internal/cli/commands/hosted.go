package commands

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/agent"
	"agateramp/internal/segment/balancer"
	"agateramp/platform"
)

// hostedCommand runs a process under the users' platform.
type hostedCommand struct {
	Balancer hostedBalancerCommand `cmd:"" help:"Run a balancer that takes packets from the platform's routers."`
	Agent    hostedAgentCommand    `cmd:"" help:"Run the agent beside a host of the platform."`
}

// hostedFlags are the arguments of both roles.
type hostedFlags struct {
	Settings    string `env:"AGATERAMP_SETTINGS" required:"" help:"YAML file with the platform's settings of the process."`
	MetricsPort uint16 `default:"9464" help:"Port that serves metrics at /metrics; 0 for none."`
}

// hosted is what both roles have.
type hosted struct {
	settings platform.Settings
	logger   log.Logger
	metrics  *metrics.Registry
	tasks    *group.Group
	store    *platform.Store
	signals  chan os.Signal
}

// softMemoryShare is the share of the memory limit at which the garbage collector
// works harder; the rest holds what the collector does not count.
const softMemoryShare = 0.6

func (f *hostedFlags) start(env *environment, role string, withHost bool) (h *hosted, finish func() error, err error) {
	s, err := platform.LoadSettings(f.Settings, withHost)
	if err != nil {
		return nil, nil, usage(err)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryBytes)))
	}
	queue, written := logging.NewQueue(), group.New(context.Background())
	written.Go("write log", func(ctx context.Context) error {
		queue.Run(env.stdout, ctx.Done())
		return nil
	})
	h = &hosted{
		settings: s, metrics: metrics.New(), tasks: group.New(context.Background()), store: platform.NewStore(s.Store),
		logger:  logging.New(logging.Config{Writer: queue, Process: s.Node, DataCentre: s.DataCentre}),
		signals: notify(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP),
	}
	if f.MetricsPort != 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", h.metrics)
		if err = h.serve("metrics", netip.AddrPortFrom(s.Address, f.MetricsPort), mux); err != nil {
			return nil, nil, err
		}
	}
	logStarted(h.logger, role)
	return h, func() error {
		h.tasks.Stop()
		err := h.tasks.Wait()
		h.store.Close()
		h.log("event", "stopped", "role", role, "err", err)
		written.Stop()
		return errors.WithMessage(errors.WithStack(firstError(err, written.Wait())), role)
	}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *hosted) log(keyvals ...any) {
	// A log line that cannot be written has no other place to go.
	_ = level.Info(h.logger).Log(keyvals...)
}

// httpTimeout bounds the reading of a request on a process's own interfaces.
const httpTimeout = 5 * time.Second

func (h *hosted) serve(name string, address netip.AddrPort, handler http.Handler) (err error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.WithMessage(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpTimeout}
	h.tasks.Go(name, func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	h.tasks.Go("close "+name, func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// wait returns at a signal to stop, or when a task has failed. At SIGHUP it reads
// the settings again; what a process listens on changes only with its next start.
func (h *hosted) wait(path string, withHost bool) {
	for {
		signal := waitSignal(h.tasks, h.signals)
		if signal != syscall.SIGHUP {
			return
		}
		s, err := platform.LoadSettings(path, withHost)
		h.log("event", "settings_reloaded", "changed", err == nil && s.Digest() != h.settings.Digest(), "err", err)
	}
}

type hostedBalancerCommand struct{ hostedFlags }

// flowBytes is the memory that a remembered flow takes in a balancer, rounded up,
// and flowMemoryShare the share of the memory limit that flows may take.
const (
	flowBytes       = 1024
	flowMemoryShare = 4
)

// Run serves until SIGTERM or SIGINT.
func (c *hostedBalancerCommand) Run(env *environment) (err error) {
	h, finish, err := c.start(env, "balancer", false)
	if err != nil {
		return err
	}
	s := h.settings
	b, err := balancer.New(balancer.Config{
		Address: s.Address, PacketPort: s.Packets.Port(), PeerPort: s.PeerPort, Seeds: s.Seeds, Codec: platform.Packets{},
		Store: h.store, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		MaxFlows: int(s.MemoryBytes / flowMemoryShare / flowBytes), StopTime: s.StopTime * 2 / 3,
		Logger: h.logger, Metrics: h.metrics, Group: h.tasks,
	})
	if err == nil {
		err = h.serve("readiness", s.Ready, platform.NewReadiness(b.Ready))
	}
	if err != nil {
		return firstError(err, finish())
	}
	h.wait(c.Settings, false)
	b.Stop()
	return finish()
}

type hostedAgentCommand struct{ hostedFlags }

// Run serves until SIGTERM or SIGINT.
func (c *hostedAgentCommand) Run(env *environment) (err error) {
	h, finish, err := c.start(env, "agent", true)
	if err != nil {
		return err
	}
	s := h.settings
	a, err := agent.New(agent.Config{
		Node: s.Node, DataCentre: s.DataCentre, Address: s.Address, PacketPort: s.Packets.Port(), PeerPort: s.PeerPort,
		HostPackets: s.HostPackets, Host: s.Host, Service: s.Service, HeartbeatInterval: s.HeartbeatInterval,
		FlowLifetime: s.FlowLifetime, Seeds: s.Seeds, Codec: platform.Packets{}, Store: h.store,
		Logger: h.logger, Metrics: h.metrics, Group: h.tasks,
	})
	if err == nil {
		err = h.serve("heartbeats", s.Heartbeats, platform.NewHeartbeats(s, a))
	}
	if err == nil {
		err = h.serve("readiness", s.Ready, platform.NewReadiness(func() bool { return true }))
	}
	if err != nil {
		return firstError(err, finish())
	}
	h.wait(c.Settings, true)
	a.Stop(h.tasks.Context())
	return finish()
}
