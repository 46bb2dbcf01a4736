package peer

import (
	"context"
	"crypto/tls"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/process/group"
)

// Config configures a Server or a Dialer.
type Config struct {
	// Address is the TCP address on which Listen accepts streams. It must be set for Listen.
	Address string
	// Target is the TCP address to which Dial keeps a stream. It must be set for Dial.
	Target string
	// TLS is the TLS configuration. If nil, the streams use plain TCP. If a dialling side sets no
	// ServerName, the host of Target is verified.
	TLS *tls.Config
	// Hello returns the first frame of this side. It is called once for each stream and must be set.
	Hello func() *controlpb.Hello
	// Handler receives the events of the streams. It must be set.
	Handler Handler
	// Group runs the tasks. If nil, they run until Close.
	Group *group.Group
	// Logger receives log lines. If nil, none are written.
	Logger log.Logger
	// Metrics registers control_bytes_in, control_bytes_out, control_frames_in
	// and control_frames_out. If nil, they are not exported.
	Metrics metrics.Registry

	// ctx is the context of tasks.
	ctx      context.Context
	tasks    *group.Group
	counters *trafficCounters
}

// validate checks the fields that Listen and Dial share, sets defaults and registers the counters.
func (c *Config) validate() error {
	if c.Hello == nil {
		return errors.New("Hello must be set")
	}
	if c.Handler == nil {
		return errors.New("Handler must be set")
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.counters = &trafficCounters{
		bytesIn:   metrics.GetOrRegisterCounter("control_bytes_in", c.Metrics),
		bytesOut:  metrics.GetOrRegisterCounter("control_bytes_out", c.Metrics),
		framesIn:  metrics.GetOrRegisterCounter("control_frames_in", c.Metrics),
		framesOut: metrics.GetOrRegisterCounter("control_frames_out", c.Metrics),
	}
	return nil
}

// startTasks creates the group in which every task of a Server or Dialer runs, so that
// Close waits for these tasks only. If c.Group is set, the tasks also stop with it and it waits for them.
func (c *Config) startTasks(name string) {
	parent := context.Background()
	if c.Group != nil {
		parent = c.Group.Context()
	}
	c.tasks = group.New(parent)
	c.ctx = c.tasks.Context()
	if c.Group != nil {
		c.Group.Go(name, func(context.Context) error {
			<-c.ctx.Done()
			return c.tasks.Wait()
		})
	}
}

// trafficCounters counts the bytes and frames of all streams of a Server or Dialer.
type trafficCounters struct {
	bytesIn, bytesOut, framesIn, framesOut metrics.Counter
}
