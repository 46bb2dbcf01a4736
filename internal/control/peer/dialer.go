package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

const (
	// minBackoff is the base of the first wait between two attempts to connect.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is short because a restarted agent must recover its flows within 2 s
	// from the peers that dial it.
	maxBackoff = 500 * time.Millisecond
)

// Dialer keeps one control stream to a target open and reconnects when it ends.
type Dialer struct{ config Config }

// Dial keeps one stream to config.Target open until Close or Stop, or until config.Group stops. It
// does not wait for a connection; the Handler is called for each stream.
func Dial(config Config) (d *Dialer, err error) {
	defer func() { err = errors.WithMessagef(err, "dial control stream to %q", config.Target) }()
	if err = config.validate(); err != nil {
		return nil, err
	}
	if config.Target == "" {
		return nil, errors.New("Target must be set")
	}
	d = &Dialer{config: config}
	d.config.startTasks("control dialer")
	d.config.tasks.Go("dial", d.run)
	return d, nil
}

// Target returns the address that the dialer connects to.
func (d *Dialer) Target() string { return d.config.Target }

// Close ends the stream, does not reconnect, and waits until the calls of the Handler have returned.
// It must not be called from the Handler.
func (d *Dialer) Close() error {
	d.Stop()
	return d.config.tasks.Wait()
}

// Stop is like Close but does not wait. It may be called from the Handler.
func (d *Dialer) Stop() { d.config.tasks.Stop() }

// run connects, serves each stream until it ends, and connects again until ctx ends.
func (d *Dialer) run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		p, err := d.connect(ctx)
		if err == nil {
			d.config.serve(ctx, p)
			if time.Since(start) > maxBackoff {
				backoff = minBackoff
			}
		} else if ctx.Err() == nil {
			_ = level.Debug(d.config.Logger).Log("event", "control_stream_not_opened", "err", err)
		}
		// The wait is between a half and one and a half times backoff, so that streams that broke at
		// the same time do not reconnect at the same time.
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// connect opens a connection to the target and a stream on it.
func (d *Dialer) connect(ctx context.Context) (p *Peer, err error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", d.config.Target)
	if err != nil {
		return nil, err
	}
	return d.config.handshake(conn, true)
}
