package generator

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
)

// ErrReset is returned by a Stream whose flow was reset.
var ErrReset = errors.New("flow reset")

// Transport opens flows to one service address. It is safe for concurrent use.
type Transport interface {
	// Open returns a new flow. Whoever calls Open must close the flow.
	Open() (Stream, error)
}

// Stream is the caller's end of a flow. It is used by one goroutine at a time. Methods
// that reach their deadline return os.ErrDeadlineExceeded.
type Stream interface {
	// Connect establishes the flow. After a timeout it may be called again.
	Connect(deadline time.Time) error
	// Send sends the request at position sequence of the flow. A further call with the
	// same sequence retransmits the request.
	Send(sequence uint32, data []byte) error
	// Receive returns the next payload, which is valid until the next call.
	Receive(deadline time.Time) ([]byte, error)
	// Close ends the flow and releases its resources.
	Close()
}

var (
	_ Transport = (*Datagram)(nil)
	_ Stream    = (*datagramStream)(nil)
)

// Datagram opens flows over UDP sockets, one for each flow.
type Datagram struct {
	target netip.AddrPort
}

// NewDatagram returns a transport to target, the UDP address at which the fabric
// receives the packets for a service.
func NewDatagram(target netip.AddrPort) (d *Datagram, err error) {
	if !target.IsValid() {
		return nil, errors.New("datagram transport: target must be set")
	}
	return &Datagram{target: target}, nil
}

// Open implements Transport.
func (d *Datagram) Open() (Stream, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.target))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &datagramStream{conn: conn}, nil
}

type datagramStream struct {
	conn   *net.UDPConn
	buffer []byte
}

func (s *datagramStream) Connect(time.Time) error { return nil }

func (s *datagramStream) Send(_ uint32, data []byte) error {
	_, err := s.conn.Write(data)
	if geneve.Transient(err) {
		// The error was caused by an earlier datagram; this one counts as lost.
		return nil
	}
	return err
}

func (s *datagramStream) Receive(deadline time.Time) ([]byte, error) {
	if s.buffer == nil {
		s.buffer = make([]byte, datagram.MaxPayload)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	for {
		n, err := s.conn.Read(s.buffer)
		if err == nil {
			return s.buffer[:n], nil
		}
		if !geneve.Transient(err) {
			return nil, err
		}
	}
}

func (s *datagramStream) Close() { _ = s.conn.Close() }
