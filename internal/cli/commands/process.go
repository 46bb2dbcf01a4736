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

// signalHandOver asks an agent to hand over its flows for a restart beside its
// running backend server.
const signalHandOver = syscall.SIGUSR1

type balancerCommand struct {
	Settings string `required:"" help:"JSON file with the settings of the balancer."`
}

// Run serves until SIGTERM or SIGINT.
func (c *balancerCommand) Run(env *environment) (err error) {
	s, err := settings.LoadBalancer(c.Settings)
	if err != nil {
		return usage(err)
	}
	logger := processLogger(env, s.Common)
	client, err := balancerStore(s)
	if err != nil {
		return usage(err)
	}
	defer client.Close()
	tasks := group.New(context.Background())
	signals := notify(syscall.SIGTERM, syscall.SIGINT)
	b, err := balancer.New(balancer.Config{
		Settings: s, Store: client, Seeds: texts(s.Seeds), Logger: logger, Metrics: metrics.New(), Group: tasks,
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
	c := etcd.Config{Endpoints: texts(s.StoreEndpoints), UserAgent: s.Name}
	files, err := certificates.Open(s.StoreTLS)
	if err != nil {
		return nil, err
	}
	c.TLS = files.Client()
	return etcd.New(c)
}

func texts(addresses []netip.AddrPort) (texts []string) {
	for _, address := range addresses {
		texts = append(texts, address.String())
	}
	return texts
}

type agentCommand struct {
	Settings string `required:"" help:"JSON file with the settings of the agent."`
}

// Run serves until SIGTERM or SIGINT, which take the host out of service, or
// until SIGUSR1, which hands over the flows for a restart of the agent alone.
func (c *agentCommand) Run(env *environment) (err error) {
	s, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return usage(err)
	}
	logger := processLogger(env, s.Common)
	tasks := group.New(context.Background())
	signals := notify(syscall.SIGTERM, syscall.SIGINT, signalHandOver)
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
	// A log line that cannot be written has no other place to go.
	_ = level.Info(logger).Log("event", "started", "role", role, "version", version)
}

func notify(signals ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// waitSignal returns the signal that came, or nil if the tasks ended first.
func waitSignal(tasks *group.Group, signals chan os.Signal) os.Signal {
	select {
	case s := <-signals:
		return s
	case <-tasks.Context().Done():
		return nil
	}
}
