package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"agateramp/internal/control/controlpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a Handler that passes the events to the test through channels.
type recorder struct {
	connected, disconnected chan *Peer
	frames                  chan *controlpb.Frame
	// blockFrames blocks Frame until it is closed. If nil, Frame does not block.
	blockFrames chan struct{}
}

func newRecorder() *recorder {
	return &recorder{connected: make(chan *Peer, 16), disconnected: make(chan *Peer, 16), frames: make(chan *controlpb.Frame, 4096)}
}
func (r *recorder) Connected(p *Peer)    { r.connected <- p }
func (r *recorder) Disconnected(p *Peer) { r.disconnected <- p }
func (r *recorder) Frame(_ *Peer, f *controlpb.Frame) {
	if r.blockFrames != nil {
		<-r.blockFrames
	}
	r.frames <- f
}

// wait returns the next value of a channel and fails the test if none arrives within 5 s.
func wait[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s within 5 s", what)
	}
	return v
}

func helloFrom(role controlpb.Hello_Role, name string) func() *controlpb.Hello {
	return func() *controlpb.Hello { return &controlpb.Hello{Role: role, Name: name} }
}

func ack(version uint64) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{Version: version}}}
}

// openStream opens a stream from an agent to a balancer. If relay is not nil, it is called with the
// address of the balancer and returns the address that the agent dials instead.
func openStream(t *testing.T, server, client *recorder, relay func(string) string) (atServer, atClient *Peer) {
	t.Helper()
	is := is.New(t)
	s, err := Listen(Config{Address: "127.0.0.1:0", Hello: helloFrom(controlpb.Hello_ROLE_BALANCER, "b1"), Handler: server})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(s.Close()) })
	target := s.Address()
	if relay != nil {
		target = relay(target)
	}
	d, err := Dial(Config{Target: target, Hello: helloFrom(controlpb.Hello_ROLE_AGENT, "a1"), Handler: client})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.Close()) })
	return wait(t, "stream at the server", server.connected), wait(t, "stream at the client", client.connected)
}

// TestStream guards against lost or reordered frames, against swapped Hellos, and against a dialer
// that does not reconnect after its stream ended.
func TestStream(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	atServer, atClient := openStream(t, server, client, nil)
	is.Equal(atServer.Hello().GetName(), "a1")
	is.Equal(atClient.Hello().GetName(), "b1")
	for v := range uint64(500) {
		is.NoErr(atClient.Send(ack(v)))
		is.NoErr(atServer.Send(ack(v)))
	}
	for v := range uint64(500) {
		is.Equal(wait(t, "frame", server.frames).GetAck().GetVersion(), v)
		is.Equal(wait(t, "frame", client.frames).GetAck().GetVersion(), v)
	}
	atServer.Close()
	wait(t, "end at the server", server.disconnected)
	wait(t, "end at the client", client.disconnected)
	is.True(errors.Is(atServer.Send(ack(1)), ErrClosed))
	wait(t, "second stream", client.connected) // the dialer reconnects
}

// TestFrameBound guards against frames over 1 MB that are encoded or decoded.
func TestFrameBound(t *testing.T) {
	is := is.New(t)
	tooLarge := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{
		Name: strings.Repeat("x", MaxFrameBytes),
	}}}
	_, err := encode(tooLarge)
	is.True(errors.Is(err, ErrFrameTooLarge))
	raw := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	_, err = decode(bytes.NewReader(raw))
	is.True(errors.Is(err, ErrFrameTooLarge))
}

// TestFullQueue guards against a Send that blocks and a send queue that grows without limit, when
// the Handler of the other side hangs and the other side reads no frames.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	server.blockFrames = make(chan struct{})
	_, atClient := openStream(t, server, client, nil)
	f := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: strings.Repeat("x", 64<<10)}}}
	var err error
	for range 1000 {
		if err = atClient.Send(f); err != nil {
			break
		}
	}
	is.True(errors.Is(err, ErrQueueFull))
	wait(t, "end at the client", client.disconnected)
	close(server.blockFrames)
}

// tcpRelay forwards TCP connections. While dropping is set, it discards all bytes, like a network
// that drops every packet.
type tcpRelay struct {
	mu       sync.Mutex
	dropping bool
}

// listen returns a function that starts a relay to a target and returns the address of the relay.
func (r *tcpRelay) listen(t *testing.T) func(string) string {
	return func(target string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		var wg sync.WaitGroup
		t.Cleanup(func() { _ = l.Close(); wg.Wait() })
		forward := func(from, to net.Conn) {
			defer wg.Done()
			defer from.Close()
			defer to.Close()
			buf := make([]byte, 4096)
			for {
				n, err := from.Read(buf)
				if err != nil {
					return
				}
				r.mu.Lock()
				dropping := r.dropping
				r.mu.Unlock()
				if !dropping {
					_, _ = to.Write(buf[:n])
				}
			}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				in, err := l.Accept()
				if err != nil {
					return
				}
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.Close()
					continue
				}
				wg.Add(2)
				go forward(in, out)
				go forward(out, in)
			}
		}()
		return l.Addr().String()
	}
}

// TestSilentPeer guards against a hung or disconnected peer that is detected late, and against an
// idle stream that is closed as if its peer were dead.
func TestSilentPeer(t *testing.T) {
	server, client, r := newRecorder(), newRecorder(), &tcpRelay{}
	openStream(t, server, client, r.listen(t))
	select {
	case <-server.disconnected:
		t.Fatal("an idle stream was closed")
	case <-client.disconnected:
		t.Fatal("an idle stream was closed")
	case <-time.After(2500 * time.Millisecond):
	}
	r.mu.Lock()
	r.dropping = true
	r.mu.Unlock()
	start := time.Now()
	wait(t, "end at the server", server.disconnected)
	wait(t, "end at the client", client.disconnected)
	// The keepalive detects a dead peer within 2 s; 0.5 s is allowed for a busy machine.
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Fatalf("the streams ended %s after the relay began to drop bytes, want at most 2.5 s", took)
	}
}

// TestCounters guards against frames and bytes that the metrics do not count.
func TestCounters(t *testing.T) {
	is := is.New(t)
	server, client, registry := newRecorder(), newRecorder(), metrics.NewRegistry()
	s, err := Listen(Config{
		Address: "127.0.0.1:0", Hello: helloFrom(controlpb.Hello_ROLE_BALANCER, "b1"), Handler: server, Metrics: registry,
	})
	is.NoErr(err)
	defer s.Close()
	d, err := Dial(Config{Target: s.Address(), Hello: helloFrom(controlpb.Hello_ROLE_AGENT, "a1"), Handler: client})
	is.NoErr(err)
	defer d.Close()
	is.NoErr(wait(t, "stream", client.connected).Send(ack(1)))
	wait(t, "frame", server.frames)
	is.Equal(metrics.GetOrRegisterCounter("control_frames_in", registry).Count(), int64(1))
	is.True(metrics.GetOrRegisterCounter("control_bytes_in", registry).Count() > 0)
	is.True(metrics.GetOrRegisterCounter("control_bytes_out", registry).Count() > 0)
}
