package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/standin/system"
)

const (
	// devReloadInterval is the interval at which dev applies the folder.
	devReloadInterval = time.Second
	// devStatusInterval is the interval at which dev prints the status of all processes.
	devStatusInterval = 10 * time.Second
	// devStartTimeout limits the time until the first configuration is in force and all hosts are ready.
	devStartTimeout = 20 * time.Second
	fileMode        = 0o600
)

// devServices is the example configuration of dev. The first address of a service
// receives plain datagrams, the second is reached through Geneve.
const devServices = `{
  "services": {
    "studio": {
      "addresses": [
        {"address": "203.0.113.10:7000", "protocol": "udp"},
        {"address": "203.0.113.10:7001", "protocol": "udp"}
      ],
      "first_packet": "any",
      "refusal_hex": "524546555345",
      "queue_deadline_ms": 2000,
      "drain_time_ms": 5000
    },
    "archive": {
      "addresses": [
        {"address": "203.0.113.20:7000", "protocol": "udp"},
        {"address": "203.0.113.20:7001", "protocol": "udp"}
      ],
      "idempotent": true,
      "first_packet": "any",
      "refusal_hex": "524546555345",
      "queue_deadline_ms": 2000,
      "drain_time_ms": 5000
    }
  }
}
`

// devHosts are four hosts of unequal capacity. Speed is in thousandths: at 4000, the
// host does the work of a request in a quarter of the time.
var devHosts = []system.HostConfig{
	{Name: "studio-1", Service: "studio", DataCentre: "sapporo-a", Slots: 2, Speed: 1000},
	{Name: "studio-2", Service: "studio", DataCentre: "sapporo-b", Slots: 4, Speed: 4000},
	{Name: "archive-1", Service: "archive", DataCentre: "asahikawa", Slots: 2, Speed: 1000},
	{Name: "archive-2", Service: "archive", DataCentre: "hakodate", Slots: 3, Speed: 2000},
}

type devCommand struct {
	Check       bool   `help:"Run load while a balancer is replaced, a host drained and a weight edited; print a summary."`
	StoreOnly   bool   `help:"Run only the stand-in for the store."`
	BackendOnly bool   `help:"Run only an echo backend server for flows of the load command."`
	Service     uint32 `default:"1" help:"Id of the service of the backend server (with --backend-only)."`
	Listen      string `default:"127.0.0.1:2379" help:"Address of the stand-in for the store or the backend server (with --store-only and --backend-only)."`
	Config      string `type:"existingdir" help:"Configuration folder; without it, an example is written to a temporary folder."`
	LogLevel    string `default:"warn" enum:"debug,info,warn,error" help:"Level of the log: debug, info, warn or error."`
	Seed        uint64 `default:"1" help:"Seed of the random choices of the fabric and, with --check, of the flow ids."`
}

// Run starts the system on loopback and serves until it is interrupted, or
// with --check until the load has ended.
func (c *devCommand) Run(env *environment) (err error) {
	tasks := group.New(context.Background())
	defer tasks.Stop()
	if c.StoreOnly {
		return c.serveStore(env, tasks)
	}
	if c.BackendOnly {
		return c.serveBackend(env, tasks)
	}
	folder, remove, err := c.prepareFolder()
	if err != nil {
		return err
	}
	defer remove()
	s, err := c.startSystem(env, tasks, folder)
	if err != nil {
		return err
	}
	if c.Check {
		return runDevCheck(env, s, folder, c.Seed)
	}
	c.printEndpoints(env.stdout, s, folder)
	return c.serve(env, tasks, s, folder)
}

func (c *devCommand) serveStore(env *environment, tasks *group.Group) (err error) {
	tasks.Go("store", func(ctx context.Context) error { return runDevStore(ctx, env, c.Listen) })
	waitSignal(tasks, subscribeSignals(syscall.SIGTERM, syscall.SIGINT))
	tasks.Stop()
	return tasks.Wait()
}

// prepareFolder returns the configuration folder and a function that removes it if
// it is temporary.
func (c *devCommand) prepareFolder() (folder string, remove func(), err error) {
	if c.Config != "" && !c.Check {
		return c.Config, func() {}, nil
	}
	// The check adds files to the folder, so it uses a copy.
	folder, err = os.MkdirTemp("", "agateramp-dev-")
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	remove = func() { os.RemoveAll(folder) }
	if c.Config != "" {
		err = os.CopyFS(folder, os.DirFS(c.Config))
	} else {
		err = os.WriteFile(filepath.Join(folder, "10-services.json"), []byte(devServices), fileMode)
	}
	if err != nil {
		remove()
		return "", nil, errors.WithStack(err)
	}
	return folder, remove, nil
}

// startSystem starts all processes and blocks until the first configuration is in
// force and all hosts are ready, for at most devStartTimeout.
func (c *devCommand) startSystem(env *environment, tasks *group.Group, folder string) (s *system.System, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), devStartTimeout)
	defer cancel()
	return system.New(ctx, system.Config{
		Folder: os.DirFS(folder), Hosts: devHosts, Balancers: []string{"balancer-1", "balancer-2", "balancer-3"},
		DataCentres: []string{"sapporo-a", "sapporo-b", "asahikawa"}, Seed: c.Seed, Group: tasks,
		Logger: c.logger(env),
	})
}

func (c *devCommand) logger(env *environment) log.Logger {
	return logging.New(logging.Config{Writer: env.stderr, Process: "dev", Level: c.LogLevel})
}

// printEndpoints prints the addresses of the system and example commands that send flows.
func (c *devCommand) printEndpoints(w io.Writer, s *system.System, folder string) {
	fmt.Fprintf(w, "store:         %s\nconfiguration: %s (edit or add files; they are applied on change)\n", s.StoreEndpoint(), folder)
	for _, name := range []string{"studio", "archive"} {
		entry, ok := s.Entry(name)
		if !ok {
			continue
		}
		fmt.Fprintf(w, "%s: send datagrams to %s, for example\n", name, entry.Datagram)
		fmt.Fprintf(w, "  go run . load --target %s --service %d --flows 100 --length 10 --interval-ms 50\n", entry.Datagram, entry.ID)
		fmt.Fprintf(w, "  go run . load --adapter geneve --fabric %s --target %s --service %d --flows 100 --length 10\n",
			s.FabricAddress(), entry.Tunnelled, entry.ID)
	}
}

// serve applies changes of the folder and prints the status until a signal arrives.
func (c *devCommand) serve(env *environment, tasks *group.Group, s *system.System, folder string) error {
	tasks.Every("reload", devReloadInterval, c.reload(tasks.Context(), env, s, folder))
	tasks.Every("status", devStatusInterval, func() { printStatus(env.stdout, s) })
	waitSignal(tasks, subscribeSignals(syscall.SIGTERM, syscall.SIGINT))
	tasks.Stop()
	return tasks.Wait()
}

// reload returns a function that applies the folder and prints the result if it
// differs from the last one. An unchanged folder creates no new version.
func (c *devCommand) reload(ctx context.Context, env *environment, s *system.System, folder string) func() {
	last := ""
	return func() {
		version, err := s.Apply(ctx, os.DirFS(folder), "the folder changed")
		message := fmt.Sprintf("configuration version %d", version)
		if err != nil {
			message = fmt.Sprintf("configuration not applied: %v", err)
		}
		if message != last && ctx.Err() == nil {
			fmt.Fprintln(env.stdout, message)
		}
		last = message
	}
}

func printStatus(w io.Writer, s *system.System) {
	for _, status := range s.Status() {
		fmt.Fprintf(w, "%-12s %-8s config=%d ready=%t flows=%d busy=%d draining=%t problems=%v\n",
			status.GetName(), status.GetRole(), status.GetConfigVersion(), status.GetReady(),
			status.GetLoad().GetOpenFlows(), status.GetLoad().GetBusy(), status.GetLoad().GetDraining(), status.GetProblems())
	}
}
