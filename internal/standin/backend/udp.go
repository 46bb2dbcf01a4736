package backend

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
)

// ServeUDP answers requests on a UDP address, whose port may be 0, and returns
// the address. Each peer address is one connection.
func (s *Server) ServeUDP(listen netip.AddrPort) (address netip.AddrPort, err error) {
	socket, err := geneve.ListenUDP(listen, false)
	if err != nil {
		return address, errors.WithMessage(err, "backend server")
	}
	s.cfg.Group.Go("backend "+s.cfg.Name+" close", func(ctx context.Context) error {
		<-ctx.Done()
		return socket.Close()
	})
	s.cfg.Group.Go("backend "+s.cfg.Name+" reader", func(ctx context.Context) error {
		s.readUDP(ctx, socket)
		return nil
	})
	return socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func (s *Server) readUDP(ctx context.Context, socket *net.UDPConn) {
	buffer := make([]byte, datagram.MaxPayload)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		s.serve(from, buffer[:n], func(answer []byte) {
			// An answer that cannot be sent is lost like one dropped on the way.
			_, _ = socket.WriteToUDPAddrPort(answer, from)
		})
	}
}
