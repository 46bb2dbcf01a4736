package scenario

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// proxyBuffer is the most that a proxy forwards at once.
	proxyBuffer = 16 << 10
	// proxyDelay is how long a delaying proxy holds each piece.
	proxyDelay = 150 * time.Millisecond
	// proxyStep is how often a proxy that holds bytes back looks whether it still does.
	proxyStep = 10 * time.Millisecond
)

// proxyMode says what a proxy does with the bytes of its connections.
type proxyMode string

const (
	proxyPass   proxyMode = "pass"
	proxyDelays proxyMode = "delay"
	// proxySilent holds back all bytes and proxyOneWay those of the server, as a cut
	// does that heals before the connection ends.
	proxySilent proxyMode = "silent"
	proxyOneWay proxyMode = "one_way"
	// proxyReset resets the connections once and passes the bytes of new ones.
	proxyReset proxyMode = "reset"
)

// proxy forwards TCP connections to one address and disturbs them.
type proxy struct {
	target string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
}

// cmdProxy puts a proxy before an address, which roles that start later use, or
// changes what it does: proxy NAME pass|delay|silent|one_way|reset.
func cmdProxy(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "proxy NAME pass|delay|silent|one_way|reset")
	f, mode := fleetOf(ts), proxyMode(args[1])
	switch mode {
	case proxyPass, proxyDelays, proxySilent, proxyOneWay, proxyReset:
	default:
		ts.Fatalf("proxy: unknown mode %s", mode)
	}
	p := f.proxies[args[0]]
	if p == nil {
		p = &proxy{target: f.address(args[0]), mode: proxyPass, conns: make(map[net.Conn]struct{})}
		listener, err := net.Listen("tcp", f.address("proxy."+args[0]))
		ts.Check(err)
		f.proxies[args[0]] = p
		f.tasks.Go("proxy", func(ctx context.Context) error {
			p.accept(ctx, f, listener)
			return nil
		})
		f.tasks.Go("proxy end", func(ctx context.Context) error {
			<-ctx.Done()
			p.set(proxyReset)
			return listener.Close()
		})
	}
	p.set(mode)
}

// via returns the address under which roles reach another one: that of the proxy
// before it, if there is one.
func (f *fleet) via(name string) string {
	if f.proxies[name] != nil {
		return f.address("proxy." + name)
	}
	return f.address(name)
}

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != proxyReset {
		return
	}
	p.mode = proxyPass
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept(ctx context.Context, f *fleet, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		f.tasks.Go("proxy to server", func(context.Context) error { p.forward(ctx, server, client, false); return nil })
		f.tasks.Go("proxy to client", func(context.Context) error { p.forward(ctx, client, server, true); return nil })
	}
}

// forward copies bytes until one of the connections ends.
func (p *proxy) forward(ctx context.Context, to, from net.Conn, answers bool) {
	defer p.drop(to, from)
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.release(ctx, answers) {
			return
		}
		if _, err = to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// release waits until the mode lets a piece pass. It reports false when ctx ended.
func (p *proxy) release(ctx context.Context, answers bool) bool {
	for {
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		wait := proxyStep
		switch {
		case mode == proxyDelays:
			wait = proxyDelay
		case mode != proxySilent && (mode != proxyOneWay || !answers):
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
		if mode == proxyDelays {
			return true
		}
	}
}

func (p *proxy) drop(conns ...io.Closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c.(net.Conn))
	}
}
