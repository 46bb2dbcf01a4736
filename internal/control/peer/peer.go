// Package peer carries the frames of the control streams over yamux and TCP, with TLS if configured.
//
// A Server accepts streams and a Dialer keeps one stream to a target. A stream begins with a Hello
// in each direction; after that, either side sends frames, each with a 4-byte big-endian length
// prefix. Only the dialling side sends pings. Both sides count any received byte as proof that the
// other side is alive, so that an idle stream costs one ping and one answer per interval. What the
// frames mean is left to the Handler.
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

// MaxFrameBytes is the largest size of an encoded frame, without its length prefix.
const MaxFrameBytes = 1 << 20

const (
	// maxQueuedFrames and maxQueuedBytes limit the send queue of a slow peer.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 8 << 20
	// handshakeTimeout limits each of the connection set-up, the TLS handshake, the opening of the
	// yamux stream and the exchange of Hellos.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits each write of the queued frames, so that the stream of a peer that answers
	// pings but reads no frames is closed.
	writeTimeout = 5 * time.Second
)

var (
	// ErrClosed is returned if the stream has ended.
	ErrClosed = errors.New("control stream closed")
	// ErrQueueFull is returned if the peer read too slowly, so that its stream was closed.
	ErrQueueFull = errors.New("send queue of control stream full")
	// ErrFrameTooLarge is returned for a frame that exceeds MaxFrameBytes.
	ErrFrameTooLarge = errors.New("control frame too large")
)

// Handler receives the events of streams. The calls for one peer are made in order
// by one goroutine; a call that blocks holds up only that peer.
type Handler interface {
	// Connected is called once both Hellos have been exchanged.
	Connected(p *Peer)
	// Frame is called for each frame after the Hello.
	Frame(p *Peer, f *controlpb.Frame)
	// Disconnected is called once after Connected, when the stream has ended.
	Disconnected(p *Peer)
}

// Peer is the other side of one control stream. A reconnected stream has a new Peer. Its methods
// are safe for concurrent use.
type Peer struct {
	session       *yamux.Session
	stream        net.Conn
	conn          *countingConn
	counters      *trafficCounters
	localHello    *controlpb.Hello
	remoteHello   *controlpb.Hello
	remoteAddress string
	dialled       bool

	// queue holds encoded frames that are not yet written.
	queue chan []byte
	// queuedBytes is the size of the frames in queue and of those being written.
	queuedBytes atomic.Int64
	closed      chan struct{}
	closeOnce   sync.Once
}

// Hello returns the Hello of the other side. It must not be changed.
func (p *Peer) Hello() *controlpb.Hello { return p.remoteHello }

// RemoteAddress returns the network address of the other side.
func (p *Peer) RemoteAddress() string { return p.remoteAddress }

// Send encodes and queues a frame. It never blocks. It returns ErrFrameTooLarge if the frame is too
// large and ErrClosed if the stream has ended. If the queue is full, it closes the stream and
// returns ErrQueueFull.
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

// Close ends the stream and drops the frames that are still queued. It does not wait for
// Handler.Disconnected, which another goroutine calls.
func (p *Peer) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		// The connection is closed first, because closing a session that is blocked on a full TCP
		// window would take until its write timeout.
		_ = p.conn.Close()
		_ = p.session.Close()
	})
}

// Flush waits until all queued frames have been written to the connection, the stream has ended or
// the deadline has passed.
func (p *Peer) Flush(deadline time.Time) {
	for p.queuedBytes.Load() > 0 && time.Now().Before(deadline) {
		select {
		case <-p.closed:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// encode returns a frame with its length prefix.
func encode(f *controlpb.Frame) (raw []byte, err error) {
	size := proto.Size(f)
	if size > MaxFrameBytes {
		return nil, errors.WithMessagef(ErrFrameTooLarge, "encode frame of %d bytes, at most %d allowed", size, MaxFrameBytes)
	}
	raw = make([]byte, 4, 4+size)
	raw, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(raw, f)
	if err != nil {
		return nil, errors.WithMessage(err, "encode control frame")
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-4))
	return raw, nil
}

// decode reads one frame with its length prefix. It allocates at most MaxFrameBytes for a frame.
func decode(r io.Reader) (f *controlpb.Frame, err error) {
	var prefix [4]byte
	if _, err = io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrameBytes {
		return nil, errors.WithMessagef(ErrFrameTooLarge, "length prefix of %d bytes, at most %d allowed", size, MaxFrameBytes)
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

// yamuxLogger writes the log lines of yamux at debug level.
type yamuxLogger struct{ logger log.Logger }

func (l yamuxLogger) Print(v ...any) { _ = level.Debug(l.logger).Log("event", "yamux", "detail", v) }

func (l yamuxLogger) Printf(format string, v ...any) {
	_ = level.Debug(l.logger).Log("event", "yamux", "detail", errors.Errorf(format, v...).Error())
}
func (l yamuxLogger) Println(v ...any) { l.Print(v...) }

var _ yamux.Logger = yamuxLogger{}
