package hostedsoak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"agateramp/internal/process/group"
)

// callersName stands for all callers as an end of a link.
const callersName = "callers"

// Ports. Each class of processes has a port of its own for packets and one for messages:
// a process sends to the port of its own class at the address of another process. If that
// is of another class, a proxy listens there and passes datagrams on to the port of the
// receiver's class, from the sender's address. So links between classes can be disturbed.
const (
	firstPacketPort = 21000
	firstPeerPort   = 21010
	readinessPort   = 21020
	controlPort     = 21021
	outboundPort    = 21022
	hostPort        = 21023
	storePort       = 21024
)

const proxyBuffer = 16 << 10

// link says what happens to what one end sends to another. The zero value passes all.
type link struct {
	// dropped is the share of datagrams that is lost; 1 also holds streams.
	dropped float64
	// delay is the longest delay of a datagram, which differs for each, and that of streams.
	delay time.Duration
}

// links are the proxies between the processes.
type links struct {
	tasks *group.Group
	// names and classes are those of the processes by address. They do not change after the
	// start of the proxies.
	names   map[netip.Addr]string
	classes map[netip.Addr]uint16
	// sockets are the proxies' sockets by address.
	sockets   map[netip.AddrPort]*net.UDPConn
	listeners []net.Listener

	// mu guards the fields below.
	mu    sync.Mutex
	state map[[2]string]link
}

func newLinks(tasks *group.Group) *links {
	return &links{
		tasks: tasks, names: make(map[netip.Addr]string), classes: make(map[netip.Addr]uint16),
		sockets: make(map[netip.AddrPort]*net.UDPConn), state: make(map[[2]string]link),
	}
}

// set sets the state of the links from some ends to others.
func (l *links) set(from, to []string, state link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			l.state[[2]string{f, t}] = state
		}
	}
}

func (l *links) get(from, to string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state[[2]string{from, to}]
}

// pass calls send unless the link drops the datagram, at once or after a delay.
func (l *links) pass(from, to string, raw []byte, send func(raw []byte)) {
	state := l.get(from, to)
	switch {
	case state.dropped > 0 && rand.Float64() < state.dropped:
	case state.delay > 0:
		kept := append([]byte(nil), raw...)
		time.AfterFunc(rand.N(state.delay), func() { send(kept) })
	default:
		send(raw)
	}
}

// start opens the proxies before all processes.
func (l *links) start(classes uint16) (err error) {
	for address, class := range l.classes {
		for other := range classes {
			for _, first := range []uint16{firstPacketPort, firstPeerPort} {
				if other == class {
					continue
				}
				at := netip.AddrPortFrom(address, first+other)
				if l.sockets[at], err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
					return err
				}
				if first == firstPeerPort {
					if err = l.listen(at, netip.AddrPortFrom(address, first+class)); err != nil {
						return err
					}
				}
			}
		}
	}
	for at, conn := range l.sockets {
		l.tasks.Go("link", func(context.Context) error { return l.forward(at, conn) })
	}
	return nil
}

// forward passes on the datagrams that arrive at a proxy's socket.
func (l *links) forward(at netip.AddrPort, conn *net.UDPConn) error {
	first := uint16(firstPacketPort)
	if at.Port() >= firstPeerPort {
		first = firstPeerPort
	}
	port := first + l.classes[at.Addr()]
	buffer := make([]byte, proxyBuffer)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		if l.tasks.Context().Err() != nil {
			return nil
		}
		out := l.sockets[netip.AddrPortFrom(from.Addr().Unmap(), port)]
		if out == nil {
			continue
		}
		l.pass(l.names[from.Addr().Unmap()], l.names[at.Addr()], buffer[:n], func(raw []byte) {
			_, _ = out.WriteToUDPAddrPort(raw, netip.AddrPortFrom(at.Addr(), port))
		})
	}
}

// listen passes streams of another class on to a process. The first process of that class
// stands for the sender, which is not known.
func (l *links) listen(at, target netip.AddrPort) (err error) {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	l.listeners = append(l.listeners, listener)
	from, to := "", l.names[at.Addr()]
	for address, class := range l.classes {
		if class == at.Port()-firstPeerPort && (from == "" || l.names[address] < from) {
			from = l.names[address]
		}
	}
	l.tasks.Go("streams", func(ctx context.Context) error {
		for {
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			server, err := net.DialTimeout("tcp4", target.String(), time.Second)
			if err != nil {
				_ = client.Close()
				continue
			}
			context.AfterFunc(ctx, func() { _ = client.Close() })
			l.tasks.Go("to server", func(context.Context) error { return l.copy(ctx, server, client, from, to) })
			l.tasks.Go("to client", func(context.Context) error { return l.copy(ctx, client, server, to, from) })
		}
	})
	return nil
}

// copy passes bytes on until one of the connections ends, and holds them while the link
// is cut.
func (l *links) copy(ctx context.Context, to, from net.Conn, fromName, toName string) error {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return nil
		}
		state := l.get(fromName, toName)
		for ; state.dropped == 1 && ctx.Err() == nil; state = l.get(fromName, toName) {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(state.delay)
		if _, err = to.Write(buffer[:n]); err != nil {
			return nil
		}
	}
}

func (l *links) close() {
	for _, conn := range l.sockets {
		_ = conn.Close()
	}
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}
