package commands

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/process/certificates"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
	"agateramp/internal/role/agent"
	"agateramp/internal/role/balancer"
)

// signalHandOver makes an agent hand over its flows, so that the agent can restart
// while its backend server keeps running.
const signalHandOver = syscall.SIGUSR1

type balancerCommand struct {
	Settings string `required:"" help:"JSON file with the settings of the balancer."`
}

// Run serves until SIGTERM or SIGINT.
func (c *balancerCommand) Run(env *environment) (err error) {
	s, err := settings.LoadBalancer(c.Settings)
	if err != nil {
		return asUsageError(err)
	}
	logger := processLogger(env, s.Common)
	client, err := balancerStore(s)
	if err != nil {
		return asUsageError(err)
	}
	defer client.Close()
	tasks := group.New(context.Background())
	signals := subscribeSignals(syscall.SIGTERM, syscall.SIGINT)
	b, err := balancer.New(balancer.Config{
		Settings: s, Store: client, Seeds: addressStrings(s.Seeds), Logger: logger, Metrics: metrics.New(), Group: tasks,
	})
	if err != nil {
		tasks.Stop()
		return errors.WithMessagef(err, "settings %s", c.Settings)
	}
	logStarted(logger, "balancer")
	if waitSignal(tasks, signals) != nil {
		b.Leave()
	}
	tasks.Stop()
	return tasks.Wait()
}

func balancerStore(s *settings.Balancer) (client *etcd.Client, err error) {
	c := etcd.Config{Endpoints: addressStrings(s.StoreEndpoints), UserAgent: s.Name}
	files, err := certificates.Open(s.StoreTLS)
	if err != nil {
		return nil, err
	}
	c.TLS = files.Client()
	return etcd.New(c)
}

// addressStrings formats each address as IP:port.
func addressStrings(addresses []netip.AddrPort) (result []string) {
	for _, address := range addresses {
		result = append(result, address.String())
	}
	return result
}

type agentCommand struct {
	Settings string `required:"" help:"JSON file with the settings of the agent."`
}

// Run serves until SIGTERM or SIGINT, which take the host out of service, or
// until SIGUSR1, which hands over the flows for a restart of the agent alone.
func (c *agentCommand) Run(env *environment) (err error) {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return asUsageError(err)
	}
	logger := processLogger(env, s.Common)
	tasks := group.New(context.Background())
	signals := subscribeSignals(syscall.SIGTERM, syscall.SIGINT, signalHandOver)
	a, err := agent.New(agent.Config{Settings: s, Logger: logger, Metrics: metrics.New(), Group: tasks})
	if err != nil {
		tasks.Stop()
		return errors.WithMessagef(err, "settings %s", c.Settings)
	}
	logStarted(logger, "agent")
	switch waitSignal(tasks, signals) {
	case nil:
	case signalHandOver:
		a.HandOver(tasks.Context())
	default:
		a.Leave(tasks.Context())
	}
	tasks.Stop()
	return tasks.Wait()
}

func processLogger(env *environment, s settings.Common) log.Logger {
	return logging.New(logging.Config{Writer: env.stderr, Process: s.Name, DataCentre: s.DataCentre, Level: s.LogLevel})
}

func logStarted(logger log.Logger, role string) {
	// An error of the logger is ignored, as there is nowhere else to report it.
	_ = level.Info(logger).Log("event", "started", "role", role, "version", version)
}

// subscribeSignals returns a channel that receives the given signals.
func subscribeSignals(signals ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// waitSignal blocks until a signal arrives and returns it, or nil if the tasks ended first.
func waitSignal(tasks *group.Group, signals chan os.Signal) os.Signal {
	select {
	case s := <-signals:
		return s
	case <-tasks.Context().Done():
		return nil
	}
}
