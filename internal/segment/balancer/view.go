package balancer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/process/logging"
	"agateramp/internal/segment/datapathpb"
	"agateramp/internal/segment/message"
)

const (
	// viewTimeout bounds the reading of another balancer's view.
	viewTimeout = time.Second
	// viewPause is the least time between two reads.
	viewPause = 100 * time.Millisecond
	// bootPause is how often seeds are asked while no configuration is known.
	bootPause = 500 * time.Millisecond
)

// views serves the view of a balancer.
type views struct{ balancer *Balancer }

var _ datapathpb.ViewServiceHandler = views{}

// GetView returns the configuration, if it is newer than the caller's, and the
// agents and balancers that are known here.
func (v views) GetView(_ context.Context, r *connect.Request[datapathpb.GetViewRequest]) (*connect.Response[datapathpb.GetViewResponse], error) {
	b := v.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	routes := b.core.Routes()
	view := &datapathpb.GetViewResponse{ConfigVersion: routes.Version(), Agents: message.EncodeAddresses(b.core.Heard(time.Now()))}
	if routes.Version() > r.Msg.GetConfigVersion() {
		view.Config = routes.Raw()
	}
	for address := range b.balancers {
		view.Balancers = append(view.Balancers, address.AsSlice())
	}
	return connect.NewResponse(view), nil
}

func (b *Balancer) serveView() (err error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(b.config.Address, b.config.PeerPort).String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(datapathpb.NewViewServiceHandler(views{balancer: b}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: viewTimeout, IdleTimeout: 10 * viewTimeout}
	b.config.Group.Go("serve view", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	b.config.Group.Go("close view", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// pull reads the views of balancers that know more. While there is no
// configuration it asks the seeds.
func (b *Balancer) pull(ctx context.Context) (err error) {
	client := &http.Client{Timeout: viewTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	boot := time.NewTicker(bootPause)
	defer boot.Stop()
	for {
		var targets []netip.Addr
		select {
		case <-ctx.Done():
			return nil
		case target := <-b.wanted:
			targets = []netip.Addr{target}
		case <-boot.C:
			if b.hasConfig() {
				boot.Reset(time.Minute)
				continue
			}
			targets = b.config.Seeds
		}
		for _, target := range targets {
			if target != b.config.Address {
				b.pullFrom(ctx, client, target)
			}
		}
		b.drainWanted()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(viewPause):
		}
	}
}

func (b *Balancer) hasConfig() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Routes() != nil
}

// drainWanted drops the requests that a read has answered; what still differs is
// noticed with the next digest.
func (b *Balancer) drainWanted() {
	for {
		select {
		case <-b.wanted:
		default:
			return
		}
	}
}

func (b *Balancer) pullFrom(ctx context.Context, client *http.Client, target netip.Addr) {
	b.mu.Lock()
	have := b.core.Routes().Version()
	b.mu.Unlock()
	base := "http://" + netip.AddrPortFrom(target, b.config.PeerPort).String()
	response, err := datapathpb.NewViewServiceClient(client, base).GetView(ctx,
		connect.NewRequest(&datapathpb.GetViewRequest{ConfigVersion: have}))
	if err != nil {
		b.decisions.Log(time.Now(), "view_not_read", "", "balancer", target, "err", err)
		return
	}
	view := response.Msg
	if len(view.GetConfig()) > 0 {
		b.apply(view.GetConfig(), target.String())
	}
	now := time.Now()
	agents := message.DecodeAddresses(view.GetAgents())
	b.mu.Lock()
	b.core.Learn(now, agents)
	for _, address := range message.DecodeAddresses(view.GetBalancers()) {
		if _, known := b.balancers[address]; !known && address != b.config.Address {
			b.balancers[address] = now
		}
	}
	b.mu.Unlock()
	logging.Line(level.Debug(b.config.Logger), "event", "view_read", "balancer", target, "config_version", view.GetConfigVersion(), "agents", len(agents))
}
