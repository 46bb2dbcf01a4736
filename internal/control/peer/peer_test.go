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

// recorder hands events to the test; its frame hook may block.
type recorder struct {
	up, down chan *Peer
	frames   chan *controlpb.Frame
	hold     chan struct{}
}

func newRecorder() *recorder {
	return &recorder{up: make(chan *Peer, 16), down: make(chan *Peer, 16), frames: make(chan *controlpb.Frame, 4096)}
}
func (r *recorder) Connected(p *Peer)    { r.up <- p }
func (r *recorder) Disconnected(p *Peer) { r.down <- p }
func (r *recorder) Frame(_ *Peer, f *controlpb.Frame) {
	if r.hold != nil {
		<-r.hold
	}
	r.frames <- f
}

func wait[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s within 5 s", what)
	}
	return v
}

func helloOf(role controlpb.Hello_Role, name string) func() *controlpb.Hello {
	return func() *controlpb.Hello { return &controlpb.Hello{Role: role, Name: name} }
}

func ack(version uint64) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{Version: version}}}
}

// pair opens a stream from an agent to a balancer, through relay when it is set.
func pair(t *testing.T, server, client *recorder, through func(string) string) (atServer, atClient *Peer) {
	t.Helper()
	is := is.New(t)
	s, err := Listen(Config{Address: "127.0.0.1:0", Hello: helloOf(controlpb.Hello_ROLE_BALANCER, "b1"), Handler: server})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(s.Close()) })
	target := s.Address()
	if through != nil {
		target = through(target)
	}
	d, err := Dial(Config{Target: target, Hello: helloOf(controlpb.Hello_ROLE_AGENT, "a1"), Handler: client})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.Close()) })
	return wait(t, "stream at the server", server.up), wait(t, "stream at the client", client.up)
}

// TestStream guards against lost or reordered frames and Hellos of the wrong side.
func TestStream(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	atServer, atClient := pair(t, server, client, nil)
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
	wait(t, "end at the server", server.down)
	wait(t, "end at the client", client.down)
	is.True(errors.Is(atServer.Send(ack(1)), ErrClosed))
	wait(t, "second stream", client.up) // the dialer connects again by itself
}

// TestFrameBound guards against frames over 1 MB in both directions of the codec.
func TestFrameBound(t *testing.T) {
	is := is.New(t)
	large := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{
		Name: strings.Repeat("x", MaxFrameBytes),
	}}}
	_, err := encode(large)
	is.True(errors.Is(err, ErrFrameTooLarge))
	raw := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	_, err = decode(bytes.NewReader(raw))
	is.True(errors.Is(err, ErrFrameTooLarge))
}

// TestFullQueue guards against a Send that blocks, or memory that grows without
// bound, when the peer's handler hangs.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	server, client := newRecorder(), newRecorder()
	server.hold = make(chan struct{})
	_, atClient := pair(t, server, client, nil)
	f := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: strings.Repeat("x", 64<<10)}}}
	var err error
	for range 1000 {
		if err = atClient.Send(f); err != nil {
			break
		}
	}
	is.True(errors.Is(err, ErrQueueFull))
	wait(t, "end at the client", client.down)
	close(server.hold)
}

// relay forwards bytes until it is frozen, like a network that drops everything.
type relay struct {
	mu     sync.Mutex
	frozen bool
}

func (r *relay) open(t *testing.T) func(string) string {
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
				frozen := r.frozen
				r.mu.Unlock()
				if !frozen {
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

// TestSilentPeer guards against a frozen or cut peer that is noticed late, and
// against an idle stream that is taken for a silent one.
func TestSilentPeer(t *testing.T) {
	server, client, r := newRecorder(), newRecorder(), &relay{}
	pair(t, server, client, r.open(t))
	select {
	case <-server.down:
		t.Fatal("an idle stream was cut")
	case <-client.down:
		t.Fatal("an idle stream was cut")
	case <-time.After(2500 * time.Millisecond):
	}
	r.mu.Lock()
	r.frozen = true
	r.mu.Unlock()
	at := time.Now()
	wait(t, "end at the server", server.down)
	wait(t, "end at the client", client.down)
	// 2 s are promised; half a second is left for a busy machine.
	if took := time.Since(at); took > 2500*time.Millisecond {
		t.Fatalf("the cut was noticed after %s", took)
	}
}

// TestCounters guards against traffic that the metrics miss.
func TestCounters(t *testing.T) {
	is := is.New(t)
	server, client, registry := newRecorder(), newRecorder(), metrics.NewRegistry()
	s, err := Listen(Config{
		Address: "127.0.0.1:0", Hello: helloOf(controlpb.Hello_ROLE_BALANCER, "b1"), Handler: server, Metrics: registry,
	})
	is.NoErr(err)
	defer s.Close()
	d, err := Dial(Config{Target: s.Address(), Hello: helloOf(controlpb.Hello_ROLE_AGENT, "a1"), Handler: client})
	is.NoErr(err)
	defer d.Close()
	is.NoErr(wait(t, "stream", client.up).Send(ack(1)))
	wait(t, "frame", server.frames)
	is.Equal(metrics.GetOrRegisterCounter("control_frames_in", registry).Count(), int64(1))
	is.True(metrics.GetOrRegisterCounter("control_bytes_in", registry).Count() > 0)
	is.True(metrics.GetOrRegisterCounter("control_bytes_out", registry).Count() > 0)
}
