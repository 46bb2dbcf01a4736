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
	// Address is where Listen listens. It must be set for Listen.
	Address string
	// Target is the address that Dial keeps a stream to. It must be set for Dial.
	Target string
	// TLS is the TLS configuration. Empty means plain TCP.
	TLS *tls.Config
	// Hello returns the first frame of this side. It must be set.
	Hello func() *controlpb.Hello
	// Handler takes the events of the streams. It must be set.
	Handler Handler
	// Group runs the tasks. Empty means a group that ends with Close.
	Group *group.Group
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
	// Metrics registers control_bytes_in, control_bytes_out, control_frames_in
	// and control_frames_out. Empty means that counts are kept nowhere.
	Metrics metrics.Registry

	ctx      context.Context
	tasks    *group.Group
	counters *counters
}

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
	c.counters = &counters{
		bytesIn:   metrics.GetOrRegisterCounter("control_bytes_in", c.Metrics),
		bytesOut:  metrics.GetOrRegisterCounter("control_bytes_out", c.Metrics),
		framesIn:  metrics.GetOrRegisterCounter("control_frames_in", c.Metrics),
		framesOut: metrics.GetOrRegisterCounter("control_frames_out", c.Metrics),
	}
	return nil
}

// start opens the group in which every task of a Server or Dialer runs, so that
// Close waits for these tasks alone.
func (c *Config) start(name string) {
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

type counters struct {
	bytesIn, bytesOut, framesIn, framesOut metrics.Counter
}
