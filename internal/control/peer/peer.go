// Package peer carries the frames of the control streams over yamux and TCP.
//
// A stream begins with a Hello in each direction. The dialling side pings; the
// accepting side takes any received byte as a sign of life, so that an idle
// stream costs one ping and one answer per interval.
package peer

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
)

// MaxFrameBytes is the largest encoded frame.
const MaxFrameBytes = 1 << 20

const (
	// maxQueuedFrames and maxQueuedBytes bound what Send keeps for a slow peer.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 8 << 20
	// handshakeTimeout bounds TLS, yamux and the exchange of Hellos.
	handshakeTimeout = 2 * time.Second
	// writeTimeout closes a stream whose peer answers pings but reads no frames.
	writeTimeout = 5 * time.Second
)

var (
	// ErrClosed says that the stream has ended.
	ErrClosed = errors.New("control stream closed")
	// ErrQueueFull says that the peer read too slowly and its stream was closed.
	ErrQueueFull = errors.New("send queue of control stream full")
	// ErrFrameTooLarge says that a frame exceeds MaxFrameBytes.
	ErrFrameTooLarge = errors.New("control frame too large")
)

// Handler takes the events of streams. The calls for one peer come in order
// from one goroutine and hold up only that peer.
type Handler interface {
	// Connected is called when both Hellos have been exchanged.
	Connected(p *Peer)
	// Frame is called for each frame after the Hello.
	Frame(p *Peer, f *controlpb.Frame)
	// Disconnected is called once after Connected, when the stream has ended.
	Disconnected(p *Peer)
}

// Peer is the other side of a control stream.
type Peer struct {
	session  *yamux.Session
	stream   net.Conn
	conn     *countingConn
	counters *counters
	own      *controlpb.Hello
	hello    *controlpb.Hello
	remote   string
	dialled  bool

	queue       chan []byte
	queuedBytes atomic.Int64
	closed      chan struct{}
	closeOnce   sync.Once
}

// Hello returns the first frame of the other side. It must not be changed.
func (p *Peer) Hello() *controlpb.Hello { return p.hello }

// Remote returns the address of the other side.
func (p *Peer) Remote() string { return p.remote }

// Send queues a frame and never blocks. It returns ErrFrameTooLarge, ErrClosed,
// or ErrQueueFull after closing the stream because the queue is full.
func (p *Peer) Send(f *controlpb.Frame) (err error) {
	raw, err := encode(f)
	if err != nil {
		return err
	}
	select {
	case <-p.closed:
		return ErrClosed
	default:
	}
	if p.queuedBytes.Add(int64(len(raw))) > maxQueuedBytes {
		p.Close()
		return ErrQueueFull
	}
	select {
	case p.queue <- raw:
		return nil
	default:
		p.Close()
		return ErrQueueFull
	}
}

// Close ends the stream without sending what is still queued. Disconnected
// follows from another goroutine.
func (p *Peer) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		// The connection goes first: a session that waits for a full TCP window
		// would hold up Close until its write timeout.
		_ = p.conn.Close()
		_ = p.session.Close()
	})
}

// Drain waits until the queued frames were handed to the connection or the
// deadline has passed.
func (p *Peer) Drain(deadline time.Time) {
	for p.queuedBytes.Load() > 0 && time.Now().Before(deadline) {
		select {
		case <-p.closed:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func encode(f *controlpb.Frame) (raw []byte, err error) {
	size := proto.Size(f)
	if size > MaxFrameBytes {
		return nil, errors.WithMessagef(ErrFrameTooLarge, "%d bytes", size)
	}
	raw = make([]byte, 4, 4+size)
	raw, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(raw, f)
	if err != nil {
		return nil, errors.WithMessage(err, "encode control frame")
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-4))
	return raw, nil
}

func decode(r io.Reader) (f *controlpb.Frame, err error) {
	var prefix [4]byte
	if _, err = io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrameBytes {
		return nil, errors.WithMessagef(ErrFrameTooLarge, "%d bytes announced", size)
	}
	raw := make([]byte, size)
	if _, err = io.ReadFull(r, raw); err != nil {
		return nil, err
	}
	f = &controlpb.Frame{}
	if err = proto.Unmarshal(raw, f); err != nil {
		return nil, errors.WithMessage(err, "decode control frame")
	}
	return f, nil
}

// yamuxLogger passes the log lines of yamux on at debug level.
type yamuxLogger struct{ logger log.Logger }

func (l yamuxLogger) Print(v ...any) { _ = level.Debug(l.logger).Log("event", "yamux", "detail", v) }

func (l yamuxLogger) Printf(format string, v ...any) {
	_ = level.Debug(l.logger).Log("event", "yamux", "detail", errors.Errorf(format, v...).Error())
}
func (l yamuxLogger) Println(v ...any) { l.Print(v...) }

var _ yamux.Logger = yamuxLogger{}
