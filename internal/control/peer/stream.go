package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/process/group"
)

// keepalive gives the times of the liveness check of a stream.
type keepalive struct {
	// intervalMS lies between two pings of the dialling side, in milliseconds.
	intervalMS int
	// silenceMS without a received byte ends the stream.
	silenceMS int
}

func (k keepalive) interval() time.Duration { return time.Duration(k.intervalMS) * time.Millisecond }

func (k keepalive) silence() time.Duration { return time.Duration(k.silenceMS) * time.Millisecond }

var (
	// fastKeepalive finds a frozen or cut peer within 2 s.
	fastKeepalive = keepalive{intervalMS: 600, silenceMS: 1700}
	// slowKeepalive is used between balancers. A shard holder has a stream from
	// each of 720 balancers, and pings every 600 ms would take 29 KB/s of its 9.
	slowKeepalive = keepalive{intervalMS: 5000, silenceMS: 12_000}
)

func keepaliveOf(a, b *controlpb.Hello) keepalive {
	if a.GetRole() == controlpb.Hello_ROLE_BALANCER && b.GetRole() == controlpb.Hello_ROLE_BALANCER {
		return slowKeepalive
	}
	return fastKeepalive
}

func (c *Config) yamuxConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.AcceptBacklog = 1
	y.ConnectionWriteTimeout = 2 * fastKeepalive.interval()
	y.StreamOpenTimeout = handshakeTimeout
	y.StreamCloseTimeout = time.Second
	y.LogOutput = nil
	y.Logger = yamuxLogger{c.Logger}
	return y
}

// open exchanges Hellos on a new connection. It closes raw when it fails.
func (c *Config) open(raw net.Conn, dialled bool) (p *Peer, err error) {
	counted := &countingConn{Conn: raw, counters: c.counters}
	defer func() {
		if err != nil {
			_ = raw.Close()
		}
		err = errors.WithMessagef(err, "open control stream with %s", raw.RemoteAddr())
	}()
	conn, err := c.secure(counted, dialled)
	if err != nil {
		return nil, err
	}
	var session *yamux.Session
	if dialled {
		session, err = yamux.Client(conn, c.yamuxConfig())
	} else {
		session, err = yamux.Server(conn, c.yamuxConfig())
	}
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = raw.Close()
			_ = session.Close()
		}
	}()
	p = &Peer{
		session: session, conn: counted, counters: c.counters, remote: raw.RemoteAddr().String(), dialled: dialled,
		own:   c.Hello(),
		queue: make(chan []byte, maxQueuedFrames), closed: make(chan struct{}),
	}
	if dialled {
		p.stream, err = session.OpenStream()
	} else {
		ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
		defer cancel()
		p.stream, err = session.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		return nil, err
	}
	_ = p.stream.SetDeadline(time.Now().Add(handshakeTimeout))
	hello, err := encode(&controlpb.Frame{Body: &controlpb.Frame_Hello{Hello: p.own}})
	if err != nil {
		return nil, err
	}
	if _, err = p.stream.Write(hello); err != nil {
		return nil, err
	}
	first, err := decode(p.stream)
	if err != nil {
		return nil, err
	}
	if p.hello = first.GetHello(); p.hello == nil {
		return nil, errors.Errorf("first frame is %T and not a Hello", first.GetBody())
	}
	_ = p.stream.SetDeadline(time.Time{})
	return p, nil
}

// secure adds TLS to a connection when it is configured.
func (c *Config) secure(conn net.Conn, dialled bool) (net.Conn, error) {
	if c.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, c.TLS)
	if dialled {
		settings := c.TLS
		if settings.ServerName == "" && !settings.InsecureSkipVerify {
			settings = settings.Clone()
			settings.ServerName, _, _ = net.SplitHostPort(c.Target)
		}
		secured = tls.Client(conn, settings)
	}
	return secured, errors.WithMessage(secured.HandshakeContext(ctx), "TLS handshake")
}

// serve runs a stream until it ends. It returns when Disconnected has been called.
func (c *Config) serve(ctx context.Context, p *Peer) {
	tasks := group.New(ctx)
	tasks.Go("write", func(context.Context) error { return p.write() })
	k := keepaliveOf(p.own, p.hello)
	tasks.Go("watch", func(ctx context.Context) error { return p.watch(ctx, k) })
	if p.dialled {
		tasks.Go("ping", func(ctx context.Context) error { return p.ping(ctx, k) })
	}
	tasks.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		p.Close()
		return nil
	})
	c.Handler.Connected(p)
	reader := bufio.NewReader(p.stream)
	var err error
	for {
		var f *controlpb.Frame
		if f, err = decode(reader); err != nil {
			break
		}
		c.counters.framesIn.Inc(1)
		c.Handler.Frame(p, f)
	}
	p.Close()
	tasks.Stop()
	if cause := tasks.Wait(); cause != nil {
		err = cause
	}
	_ = level.Debug(c.Logger).Log("event", "control_stream_ended", "peer", p.hello.GetName(), "remote", p.remote, "err", err)
	c.Handler.Disconnected(p)
}

// write sends queued frames, those that wait together in one write.
func (p *Peer) write() error {
	w := bufio.NewWriterSize(p.stream, 16<<10)
	for {
		var raw []byte
		select {
		case <-p.closed:
			return nil
		case raw = <-p.queue:
		}
		_ = p.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
		sent := 0
		for raw != nil {
			if _, err := w.Write(raw); err != nil {
				return err
			}
			p.counters.framesOut.Inc(1)
			sent += len(raw)
			select {
			case raw = <-p.queue:
			default:
				raw = nil
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
		p.queuedBytes.Add(int64(-sent))
	}
}

// watch ends the stream when nothing was received for too long.
func (p *Peer) watch(ctx context.Context, k keepalive) error {
	check := time.NewTicker(k.interval() / 4)
	defer check.Stop()
	last, at := p.conn.received.Load(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.session.CloseChan():
			return ErrClosed
		case now := <-check.C:
			if n := p.conn.received.Load(); n != last {
				last, at = n, now
			} else if now.Sub(at) > k.silence() {
				return errors.Errorf("no sign of life from %s since %s", p.remote, at.Format(time.RFC3339Nano))
			}
		}
	}
}

// ping runs on the dialling side. A late answer does not end the stream; that
// is left to watch, which takes other bytes as signs of life too.
func (p *Peer) ping(ctx context.Context, k keepalive) error {
	tick := time.NewTicker(k.interval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if _, err := p.session.Ping(); err != nil && !errors.Is(err, yamux.ErrTimeout) {
				return errors.WithMessagef(err, "ping %s", p.remote)
			}
		}
	}
}

// countingConn counts the bytes of a connection, those of TLS and yamux included.
type countingConn struct {
	net.Conn
	counters *counters
	received atomic.Int64
}

func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.received.Add(int64(n))
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

var _ net.Conn = (*countingConn)(nil)
