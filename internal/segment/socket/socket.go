// Package socket provides the UDP sockets on which balancers and agents exchange packets and messages. Failed reads and
// sends are counted and do not stop a socket. The content of datagrams is left to the users of the package.
package socket

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/message"
)

const (
	// maxDatagramBytes is the size of the largest datagram that processes send each other.
	maxDatagramBytes = 8 << 10
	// receiveBufferBytes is the requested size of the kernel's receive buffer; it holds a burst of uploads.
	receiveBufferBytes = 1 << 20
)

// Socket is a UDP socket over IPv4. Failed reads and sends increment the counter socket.errors. Its methods are safe for
// concurrent use.
type Socket struct {
	conn    *net.UDPConn
	metrics *metrics.Registry
}

// Listen opens a socket on an address and port. It must be closed after use.
func Listen(address netip.AddrPort, m *metrics.Registry) (s *Socket, err error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// If the system grants less, the socket drops packets earlier in a burst and callers retransmit them.
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return &Socket{conn: conn, metrics: m}, nil
}

// Close closes the socket and makes Serve return.
func (s *Socket) Close() error { return s.conn.Close() }

// Serve calls handle with each received datagram, one at a time, until the socket is closed, and then returns nil. The
// data is valid only until handle returns.
func (s *Socket) Serve(handle func(now time.Time, from netip.Addr, data []byte)) (err error) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error may be an ICMP error for an earlier datagram; the socket itself still works.
			s.metrics.Counter("socket.errors").Inc(1)
			continue
		}
		handle(time.Now(), from.Addr().Unmap(), buffer[:n])
	}
}

// Send sends a datagram. If the system refuses the datagram, Send counts an error and drops it.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.metrics.Counter("socket.errors").Inc(1)
	}
}

// SendMessage sends a message in one datagram. It returns an error only if the message cannot be encoded.
func (s *Socket) SendMessage(to netip.AddrPort, m message.Message) (err error) {
	data, err := message.Encode(m)
	if err != nil {
		return err
	}
	s.Send(to, data)
	return nil
}
