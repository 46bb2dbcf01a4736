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

// keepalive holds the parameters of the liveness check of a stream.
type keepalive struct {
	// intervalMS is the time between two pings of the dialling side, in milliseconds.
	intervalMS int
	// timeoutMS is the time without a received byte after which a stream ends, in milliseconds.
	timeoutMS int
}

func (k keepalive) interval() time.Duration { return time.Duration(k.intervalMS) * time.Millisecond }

func (k keepalive) timeout() time.Duration { return time.Duration(k.timeoutMS) * time.Millisecond }

var (
	// fastKeepalive detects a hung or disconnected peer within 2 s.
	fastKeepalive = keepalive{intervalMS: 600, timeoutMS: 1700}
	// slowKeepalive is used between balancers. A shard holder has a stream from each of 720
	// balancers. Pings every 600 ms on them would take 29 KB/s, but the holder may use 9 KB/s.
	slowKeepalive = keepalive{intervalMS: 5000, timeoutMS: 12_000}
)

// keepaliveFor returns the parameters for a stream between the senders of two Hellos.
func keepaliveFor(a, b *controlpb.Hello) keepalive {
	if a.GetRole() == controlpb.Hello_ROLE_BALANCER && b.GetRole() == controlpb.Hello_ROLE_BALANCER {
		return slowKeepalive
	}
	return fastKeepalive
}

// yamuxConfig returns the configuration of a yamux session with one stream. The keepalive of yamux
// is off, because sendPings and detectSilence replace it.
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

// handshake sets up TLS, yamux and one stream on a new connection and exchanges Hellos. If it fails,
// it closes raw.
func (c *Config) handshake(raw net.Conn, dialled bool) (p *Peer, err error) {
	counted := &countingConn{Conn: raw, counters: c.counters}
	defer func() {
		if err != nil {
			_ = raw.Close()
		}
		err = errors.WithMessagef(err, "open control stream with %s", raw.RemoteAddr())
	}()
	conn, err := c.wrapTLS(counted, dialled)
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
		session: session, conn: counted, counters: c.counters, remoteAddress: raw.RemoteAddr().String(), dialled: dialled,
		localHello: c.Hello(),
		queue:      make(chan []byte, maxQueuedFrames), closed: make(chan struct{}),
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
	hello, err := encode(&controlpb.Frame{Body: &controlpb.Frame_Hello{Hello: p.localHello}})
	if err != nil {
		return nil, err
	}
	if _, err = p.stream.Write(hello); err != nil {
		return nil, err
	}
	firstFrame, err := decode(p.stream)
	if err != nil {
		return nil, err
	}
	if p.remoteHello = firstFrame.GetHello(); p.remoteHello == nil {
		return nil, errors.Errorf("first frame is a %T, want a Hello", firstFrame.GetBody())
	}
	_ = p.stream.SetDeadline(time.Time{})
	return p, nil
}

// wrapTLS adds TLS to a connection and completes the TLS handshake. If no TLS is configured, it
// returns conn.
func (c *Config) wrapTLS(conn net.Conn, dialled bool) (net.Conn, error) {
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

// serve runs a stream until it or ctx ends. It calls the Handler and returns after Disconnected.
func (c *Config) serve(ctx context.Context, p *Peer) {
	tasks := group.New(ctx)
	tasks.Go("write", func(context.Context) error { return p.writeFrames() })
	k := keepaliveFor(p.localHello, p.remoteHello)
	tasks.Go("watch", func(ctx context.Context) error { return p.detectSilence(ctx, k) })
	if p.dialled {
		tasks.Go("ping", func(ctx context.Context) error { return p.sendPings(ctx, k) })
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
	_ = level.Debug(c.Logger).Log("event", "control_stream_ended", "peer", p.remoteHello.GetName(), "remote", p.remoteAddress, "err", err)
	c.Handler.Disconnected(p)
}

// writeFrames writes queued frames until the stream ends. Frames that are queued at the same time
// share a buffer of 16 KB and so take few writes.
func (p *Peer) writeFrames() error {
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

// detectSilence returns an error, which ends the stream, once no byte has been received for the
// timeout of k.
func (p *Peer) detectSilence(ctx context.Context, k keepalive) error {
	check := time.NewTicker(k.interval() / 4)
	defer check.Stop()
	lastBytes, lastReceived := p.conn.receivedBytes.Load(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.session.CloseChan():
			return ErrClosed
		case now := <-check.C:
			if n := p.conn.receivedBytes.Load(); n != lastBytes {
				lastBytes, lastReceived = n, now
			} else if now.Sub(lastReceived) > k.timeout() {
				return errors.Errorf("no byte received from %s since %s", p.remoteAddress, lastReceived.Format(time.RFC3339Nano))
			}
		}
	}
}

// sendPings sends pings at the interval of k. It runs on the dialling side only. A late answer does
// not end the stream; detectSilence decides that, because it counts any other received byte too.
func (p *Peer) sendPings(ctx context.Context, k keepalive) error {
	tick := time.NewTicker(k.interval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if _, err := p.session.Ping(); err != nil && !errors.Is(err, yamux.ErrTimeout) {
				return errors.WithMessagef(err, "ping %s", p.remoteAddress)
			}
		}
	}
}

// countingConn counts the bytes of a connection, including those of TLS and yamux.
type countingConn struct {
	net.Conn
	counters *trafficCounters
	// receivedBytes counts the bytes received on this connection, for detectSilence.
	receivedBytes atomic.Int64
}

func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.receivedBytes.Add(int64(n))
	c.counters.bytesIn.Inc(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.counters.bytesOut.Inc(int64(n))
	return n, err
}

var _ net.Conn = (*countingConn)(nil)
