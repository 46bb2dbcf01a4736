// Package hosted implements the commands of the program agateramp-hosted: the balancer
// and the agent under a hosting platform, and a command that prints their status.
// Package platform translates the platform's settings and formats.
//
// The program is separate from agateramp because loading the packages of the operator's
// commands would take a considerable part of a small machine's CPU time at each start.
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

// errUsage marks errors in arguments and settings, for which the exit code is exitUsage.
var errUsage = errors.New("usage")

// cli is the command tree. Names of commands and flags come from the names of fields.
type cli struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer that receives packets from the platform's routers."`
	Agent    agentCommand    `cmd:"" help:"Run the agent beside a host of the platform."`
	Status   statusCommand   `cmd:"" help:"Print the configuration and the agents in the store, and whether machines have the newest configuration."`
}

// outputs are the streams to which commands write; tests replace them.
type outputs struct {
	stdout, stderr io.Writer
}

// Execute runs the command in args, without the name of the program, and returns the
// exit code.
func Execute(args []string) int {
	return execute(args, &outputs{stdout: os.Stdout, stderr: os.Stderr})
}

func execute(args []string, out *outputs) int {
	// kong calls Exit after it has printed the help; -1 means that it did not.
	helpExitCode := -1
	parser, err := kong.New(&cli{}, kong.Name("agateramp-hosted"), kong.Writers(out.stdout, out.stderr),
		kong.Description("The processes of agateramp under a hosting platform."),
		kong.Exit(func(code int) { helpExitCode = code }), kong.Bind(out))
	if err != nil {
		return printError(out, err, exitFailure)
	}
	ctx, err := parser.Parse(args)
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err != nil {
		return printError(out, err, exitUsage)
	}
	if err = ctx.Run(); errors.Is(err, errUsage) {
		return printError(out, err, exitUsage)
	}
	if err != nil {
		return printError(out, err, exitFailure)
	}
	return exitOK
}

// printError prints err to stderr and returns code.
func printError(out *outputs, err error, code int) int {
	fmt.Fprintf(out.stderr, "agateramp-hosted: %v\n", err)
	return code
}

// flags are the command-line flags of the balancer and agent commands.
type flags struct {
	Settings    string `help:"YAML file with the platform's settings of the process. If empty, the environment variable of the platform holds its path."`
	MetricsPort uint16 `default:"9464" help:"Port that serves metrics at /metrics; 0 for none."`
}

// settingsPath returns the path of the settings file: flag or, if that is empty, the
// value of the platform's environment variable.
func settingsPath(flag string) string {
	if flag == "" {
		return os.Getenv(platform.SettingsPathVariable)
	}
	return flag
}

// process holds what a balancer process and an agent process have in common.
type process struct {
	settings platform.Settings
	logger   log.Logger
	metrics  *metrics.Registry
	// tasks are the goroutines that run until the process stops. The error of one
	// stops the process.
	tasks *group.Group
	store *platform.Store
	// signals receives SIGTERM, SIGINT and SIGHUP.
	signals chan os.Signal
}

// softMemoryLimitShare is the share of the platform's memory limit at which the garbage
// collector runs more often. The rest is for memory that the Go runtime does not count.
const softMemoryLimitShare = 0.6

// start loads the settings and starts logging, metrics and the client of the store. role
// is the name of the command; withHost requires the settings of a host. If err is nil,
// the caller must call finish, which stops all tasks, waits for them and writes the
// remaining log lines.
func (f *flags) start(out *outputs, role string, withHost bool) (p *process, finish func() error, err error) {
	f.Settings = settingsPath(f.Settings)
	s, err := platform.LoadSettings(f.Settings, withHost)
	if err != nil {
		return nil, nil, errors.WithMessage(errUsage, err.Error())
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(s.MemoryBytes)))
	}
	// The log writer has a group of its own, so that it stops after all other tasks.
	queue, logWriter := logging.NewQueue(), group.New(context.Background())
	logWriter.Go("write log", func(ctx context.Context) error {
		queue.Run(out.stdout, ctx.Done())
		return nil
	})
	p = &process{
		settings: s, metrics: metrics.New(), tasks: group.New(context.Background()),
		logger:  logging.New(logging.Config{Writer: queue, Process: s.Node, DataCentre: s.DataCentre}),
		signals: make(chan os.Signal, 4),
	}
	p.store = platform.NewStore(s.StoreAddress, p.observeStore)
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
		logWriter.Stop()
		return errors.WithMessage(errors.WithStack(firstError(err, logWriter.Wait())), role)
	}, nil
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *process) logInfo(keyvals ...any) {
	// An error is ignored, because there is no other place to report it.
	_ = level.Info(p.logger).Log(keyvals...)
}

// observeStore counts successful and failed calls to the store, and records the latency
// of successful ones. Watches have no latency, because they wait for a change.
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

// readHeaderTimeout limits the reading of request headers by the HTTP servers.
const readHeaderTimeout = 5 * time.Second

// serve listens at address and starts tasks that serve HTTP requests until the process
// stops. It does not wait for them. name names the tasks in errors.
func (p *process) serve(name string, address netip.AddrPort, handler http.Handler) (err error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.WithMessage(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
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

// waitForStop blocks until SIGTERM or SIGINT arrives or a task fails. At SIGHUP it reads
// the settings again and logs whether they are valid and have changed; the process uses
// them only after its next start.
func (p *process) waitForStop(path string, withHost bool) {
	for {
		select {
		case sig := <-p.signals:
			if sig != syscall.SIGHUP {
				return
			}
		case <-p.tasks.Context().Done():
			return
		}
		s, err := platform.LoadSettings(path, withHost)
		p.logInfo("event", "settings_reloaded", "changed", err == nil && s.Digest() != p.settings.Digest(), "err", err)
	}
}

// balancerCommand runs a balancer.
type balancerCommand struct{ flags }

// The flow table of a balancer may take the memory limit divided by flowMemoryDivisor.
// bytesPerFlow is the memory that one flow takes in it, rounded up.
const (
	bytesPerFlow      = 1024
	flowMemoryDivisor = 4
)

// minDataCentresToRelay is the number of data centres from which two that cannot reach each
// other may have a third that reaches both.
const minDataCentresToRelay = 3

// Run runs the balancer until SIGTERM or SIGINT arrives or a task fails. Balancer.Stop may
// take two thirds of the stop timeout; the rest remains for the end of the other tasks.
func (c *balancerCommand) Run(out *outputs) (err error) {
	p, finish, err := c.start(out, "balancer", false)
	if err != nil {
		return err
	}
	s := p.settings
	config := balancer.Config{
		DataCentre: s.DataCentre, CPUPermille: s.CPUPermille, Address: s.Address, PacketPort: s.PacketAddress.Port(), PeerPort: s.PeerPort, Seeds: s.Seeds, Codec: platform.PacketCodec{},
		Store: p.store, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		MaxFlows: int(s.MemoryBytes / flowMemoryDivisor / bytesPerFlow), StopTimeout: s.StopTimeout * 2 / 3,
		ColdBounds: s.ColdBounds, RelayPackets: s.ToleratedDataCentres > 0 && s.DataCentres >= minDataCentresToRelay,
		JudgeHosts: s.JudgeHosts,
		Logger:     p.logger, Metrics: p.metrics, Group: p.tasks,
	}
	if s.EvacuationBound > 0 {
		config.OperatorPrefix, config.EvacuationPrefix = platform.OperatorPrefix, platform.EvacuationPrefix
	}
	b, err := balancer.New(config)
	if err == nil {
		err = p.serve("readiness", s.ReadinessAddress, platform.NewReadinessHandler(b.Ready))
	}
	if err != nil {
		return firstError(err, finish())
	}
	p.waitForStop(c.Settings, false)
	b.Stop()
	return finish()
}

// agentCommand runs the agent beside a host.
type agentCommand struct{ flags }

// Run runs the agent until SIGTERM or SIGINT arrives or a task fails. An agent is ready
// for the platform as soon as it has started.
func (c *agentCommand) Run(out *outputs) (err error) {
	p, finish, err := c.start(out, "agent", true)
	if err != nil {
		return err
	}
	s := p.settings
	a, err := agent.New(agent.Config{
		Node: s.Node, DataCentre: s.DataCentre, Address: s.Address, PacketPort: s.PacketAddress.Port(), PeerPort: s.PeerPort,
		HostListenAddress: s.HostPacketAddress, HostAddress: s.HostAddress, Service: s.Service, HeartbeatInterval: s.HeartbeatInterval,
		FlowLifetime: s.MaxFlowLifetime, ColdBounds: s.ColdBounds, JudgeHosts: s.JudgeHosts, Seeds: s.Seeds, Codec: platform.PacketCodec{}, Store: p.store,
		Logger: p.logger, Metrics: p.metrics, Group: p.tasks,
	})
	if err == nil {
		err = p.serve("heartbeats", s.HeartbeatAddress, platform.NewHeartbeatHandler(s, a))
	}
	if err == nil {
		err = p.serve("readiness", s.ReadinessAddress, platform.NewReadinessHandler(func() bool { return true }))
	}
	if err != nil {
		return firstError(err, finish())
	}
	p.waitForStop(c.Settings, true)
	a.Stop(p.tasks.Context())
	return finish()
}
