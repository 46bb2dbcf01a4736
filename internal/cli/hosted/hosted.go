// Package hosted is the command line of the processes that run under the users'
// platform. It is a program of its own because the packages of the operator's
// commands take a good part of a small machine's time at each start.
package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
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

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks errors of arguments and settings; they exit with exitUsage.
var errUsage = errors.New("usage")

// cli is the command tree.
type cli struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer that takes packets from the platform's routers."`
	Agent    agentCommand    `cmd:"" help:"Run the agent beside a host of the platform."`
	Status   statusCommand   `cmd:"" help:"Print what the store holds, and whether machines have the newest configuration."`
}

// environment is what commands write to; tests replace it.
type environment struct {
	stdout, stderr io.Writer
}

// Execute runs the command that the arguments name and returns the exit code.
func Execute(args []string) int {
	return execute(args, &environment{stdout: os.Stdout, stderr: os.Stderr})
}

func execute(args []string, env *environment) int {
	exited := -1
	parser, err := kong.New(&cli{}, kong.Name("agateramp-hosted"), kong.Writers(env.stdout, env.stderr),
		kong.Description("The processes of agateramp under a hosting platform."),
		kong.Exit(func(code int) { exited = code }), kong.Bind(env))
	if err != nil {
		return report(env, err, exitFailure)
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return report(env, err, exitUsage)
	}
	if err = ctx.Run(); errors.Is(err, errUsage) {
		return report(env, err, exitUsage)
	}
	if err != nil {
		return report(env, err, exitFailure)
	}
	return exitOK
}

func report(env *environment, err error, code int) int {
	fmt.Fprintf(env.stderr, "agateramp-hosted: %v\n", err)
	return code
}

// flags are the arguments of both roles.
type flags struct {
	Settings    string `help:"YAML file with the platform's settings of the process. Empty means the file that the platform's variable names."`
	MetricsPort uint16 `default:"9464" help:"Port that serves metrics at /metrics; 0 for none."`
}

// settingsPath returns the path of the settings file.
func settingsPath(flag string) string {
	if flag == "" {
		return os.Getenv(platform.SettingsVariable)
	}
	return flag
}

// process is what both roles have.
type process struct {
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

func (f *flags) start(env *environment, role string, withHost bool) (p *process, finish func() error, err error) {
	f.Settings = settingsPath(f.Settings)
	s, err := platform.LoadSettings(f.Settings, withHost)
	if err != nil {
		return nil, nil, errors.WithMessage(errUsage, err.Error())
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryBytes)))
	}
	queue, written := logging.NewQueue(), group.New(context.Background())
	written.Go("write log", func(ctx context.Context) error {
		queue.Run(env.stdout, ctx.Done())
		return nil
	})
	p = &process{
		settings: s, metrics: metrics.New(), tasks: group.New(context.Background()),
		logger:  logging.New(logging.Config{Writer: queue, Process: s.Node, DataCentre: s.DataCentre}),
		signals: make(chan os.Signal, 4),
	}
	p.store = platform.NewStore(s.Store, p.observeStore)
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if f.MetricsPort != 0 {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", p.metrics)
		if err = p.serve("metrics", netip.AddrPortFrom(s.Address, f.MetricsPort), mux); err != nil {
			return nil, nil, err
		}
	}
	p.logInfo("event", "started", "role", role, "address", s.Address, "settings", f.Settings)
	return p, func() error {
		p.tasks.Stop()
		err := p.tasks.Wait()
		p.store.Close()
		p.logInfo("event", "stopped", "role", role, "err", err)
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

func (p *process) logInfo(keyvals ...any) {
	// A log line that cannot be written has no other place to go.
	_ = level.Info(p.logger).Log(keyvals...)
}

// observeStore counts the calls to the store and keeps their latency. Waiting
// watches have no latency.
func (p *process) observeStore(call string, took time.Duration, err error) {
	if err != nil {
		p.metrics.Counter("store.failed." + call).Inc(1)
		return
	}
	p.metrics.Counter("store.calls." + call).Inc(1)
	if call != "watch" {
		p.metrics.Latency("latency.store_us", took)
	}
}

// httpTimeout bounds the reading of a request on a process's own interfaces.
const httpTimeout = 5 * time.Second

func (p *process) serve(name string, address netip.AddrPort, handler http.Handler) (err error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.WithMessage(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpTimeout}
	p.tasks.Go(name, func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.tasks.Go("close "+name, func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// wait returns at a signal to stop, or when a task has failed. At SIGHUP it reads
// the settings again; what a process listens on changes only with its next start.
func (p *process) wait(path string, withHost bool) {
	for {
		select {
		case received := <-p.signals:
			if received != syscall.SIGHUP {
				return
			}
		case <-p.tasks.Context().Done():
			return
		}
		s, err := platform.LoadSettings(path, withHost)
		p.logInfo("event", "settings_reloaded", "changed", err == nil && s.Digest() != p.settings.Digest(), "err", err)
	}
}

type balancerCommand struct{ flags }

// flowBytes is the memory that a remembered flow takes in a balancer, rounded up,
// and flowMemoryShare the share of the memory limit that flows may take.
const (
	flowBytes       = 1024
	flowMemoryShare = 4
)

// Run serves until SIGTERM or SIGINT.
func (c *balancerCommand) Run(env *environment) (err error) {
	p, finish, err := c.start(env, "balancer", false)
	if err != nil {
		return err
	}
	s := p.settings
	b, err := balancer.New(balancer.Config{
		DataCentre: s.DataCentre, Address: s.Address, PacketPort: s.Packets.Port(), PeerPort: s.PeerPort, Seeds: s.Seeds, Codec: platform.Packets{},
		Store: p.store, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		MaxFlows: int(s.MemoryBytes / flowMemoryShare / flowBytes), StopTimeout: s.StopTime * 2 / 3,
		Logger: p.logger, Metrics: p.metrics, Group: p.tasks,
	})
	if err == nil {
		err = p.serve("readiness", s.Ready, platform.NewReadiness(b.Ready))
	}
	if err != nil {
		return firstError(err, finish())
	}
	p.wait(c.Settings, false)
	b.Stop()
	return finish()
}

type agentCommand struct{ flags }

// Run serves until SIGTERM or SIGINT.
func (c *agentCommand) Run(env *environment) (err error) {
	p, finish, err := c.start(env, "agent", true)
	if err != nil {
		return err
	}
	s := p.settings
	a, err := agent.New(agent.Config{
		Node: s.Node, DataCentre: s.DataCentre, Address: s.Address, PacketPort: s.Packets.Port(), PeerPort: s.PeerPort,
		HostListenAddress: s.HostPackets, HostAddress: s.Host, Service: s.Service, HeartbeatInterval: s.HeartbeatInterval,
		FlowLifetime: s.FlowLifetime, Seeds: s.Seeds, Codec: platform.Packets{}, Store: p.store,
		Logger: p.logger, Metrics: p.metrics, Group: p.tasks,
	})
	if err == nil {
		err = p.serve("heartbeats", s.Heartbeats, platform.NewHeartbeats(s, a))
	}
	if err == nil {
		err = p.serve("readiness", s.Ready, platform.NewReadiness(func() bool { return true }))
	}
	if err != nil {
		return firstError(err, finish())
	}
	p.wait(c.Settings, true)
	a.Stop(p.tasks.Context())
	return finish()
}
