// Package socket opens the UDP sockets of balancers and agents and reads from them.
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
	// maxDatagram is the largest datagram that processes send each other.
	maxDatagram = 8 << 10
	// bufferBytes is the receive buffer asked for; it holds a burst of uploads.
	bufferBytes = 1 << 20
)

// Socket is a UDP socket whose failed reads and writes are counted.
type Socket struct {
	conn    *net.UDPConn
	metrics *metrics.Registry
}

// Listen opens a socket on an address.
func Listen(address netip.AddrPort, m *metrics.Registry) (s *Socket, err error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// A smaller buffer drops packets earlier, which callers make up for.
	_ = conn.SetReadBuffer(bufferBytes)
	return &Socket{conn: conn, metrics: m}, nil
}

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }

// Read hands each datagram to handle until the socket is closed.
func (s *Socket) Read(handle func(now time.Time, from netip.Addr, data []byte)) (err error) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An error that a datagram's receiver sent back belongs to that datagram.
			s.metrics.Counter("socket.errors").Inc(1)
			continue
		}
		handle(time.Now(), from.Addr().Unmap(), buffer[:n])
	}
}

// Send sends a datagram. One that the system refuses is counted and lost.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.metrics.Counter("socket.errors").Inc(1)
	}
}

// Tell sends a message.
func (s *Socket) Tell(to netip.AddrPort, m message.Message) (err error) {
	data, err := message.Encode(m)
	if err != nil {
		return err
	}
	s.Send(to, data)
	return nil
}
