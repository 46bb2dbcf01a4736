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

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
	"agateramp/internal/segment/datapathpb"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/message"
)

const (
	// viewTimeout limits the time to read another balancer's view.
	viewTimeout = time.Second
	// minViewInterval is the least time between two reads of views.
	minViewInterval = 100 * time.Millisecond
	// seedInterval is how often the views of the seeds are read while no configuration is known.
	seedInterval = 500 * time.Millisecond
)

// viewService serves the view of a balancer to other balancers. A view is the balancer's configuration, its copy of the
// store's list of agents, and the agents and balancers that it knows.
type viewService struct{ balancer *Balancer }

var _ datapathpb.ViewServiceHandler = viewService{}

// GetView returns the agents that answer, the known balancers, the evacuations, and the configuration and the store's
// list of agents if they are newer than those in the request.
func (v viewService) GetView(_ context.Context, r *connect.Request[datapathpb.GetViewRequest]) (*connect.Response[datapathpb.GetViewResponse], error) {
	b := v.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	routes := b.core.Routes()
	view := &datapathpb.GetViewResponse{
		ConfigVersion: routes.Version(), Agents: message.EncodeAddresses(b.core.AnsweringAgents(time.Now())),
		Balancers: message.EncodeAddresses(b.peers.Addresses()), ListRevision: uint64(b.list.revision.Number),
		ListGeneration: b.list.revision.Generation, Evacuations: b.evacuations.State().Encode(),
	}
	if routes.Version() > r.Msg.GetConfigVersion() {
		view.Config = routes.Raw()
	}
	known := store.Revision{Generation: r.Msg.GetListGeneration(), Number: int64(r.Msg.GetListRevision())}
	if b.list.revision.Compare(known) > 0 {
		view.ListedAgents = encodeList(b.list)
	}
	return connect.NewResponse(view), nil
}

// serveView starts the HTTP server of the view on the peer port.
func (b *Balancer) serveView() (err error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(b.config.Address, b.config.PeerPort).String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(datapathpb.NewViewServiceHandler(viewService{balancer: b}))
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

// readViews reads the requested views of other balancers until ctx ends. While there is no configuration, it also
// reads the views of the seeds.
func (b *Balancer) readViews(ctx context.Context) (err error) {
	client := &http.Client{Timeout: viewTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	seedTicker := time.NewTicker(seedInterval)
	defer seedTicker.Stop()
	for {
		var targets []netip.Addr
		select {
		case <-ctx.Done():
			return nil
		case target := <-b.viewRequests:
			targets = []netip.Addr{target}
		case <-seedTicker.C:
			if b.hasConfig() {
				seedTicker.Reset(time.Minute)
				continue
			}
			targets = b.config.Seeds
		}
		for _, target := range targets {
			if target != b.config.Address {
				b.readView(ctx, client, target)
			}
		}
		b.discardViewRequests()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minViewInterval):
		}
	}
}

func (b *Balancer) hasConfig() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Routes() != nil
}

// discardViewRequests discards requests that were queued during a read, because the read has probably answered them.
// The next digest repeats the request if the views still differ.
func (b *Balancer) discardViewRequests() {
	for {
		select {
		case <-b.viewRequests:
		default:
			return
		}
	}
}

// readView reads the view of one balancer and merges it into this balancer's knowledge.
func (b *Balancer) readView(ctx context.Context, client *http.Client, target netip.Addr) {
	b.mu.Lock()
	version, known := b.core.Routes().Version(), b.list.revision
	b.mu.Unlock()
	baseURL := "http://" + netip.AddrPortFrom(target, b.config.PeerPort).String()
	response, err := datapathpb.NewViewServiceClient(client, baseURL).GetView(ctx,
		connect.NewRequest(&datapathpb.GetViewRequest{
			ConfigVersion: version, ListRevision: uint64(known.Number), ListGeneration: known.Generation,
		}))
	if err != nil {
		b.decisions.Log(time.Now(), "view_not_read", "", "balancer", target, "err", err)
		return
	}
	view := response.Msg
	b.mu.Lock()
	b.applyEvacuations(time.Now(), evacuation.Decode(view.GetEvacuations()), target.String())
	b.mu.Unlock()
	if len(view.GetConfig()) > 0 {
		b.applyConfig(view.GetConfig(), target.String())
	}
	agents := message.DecodeAddresses(view.GetAgents())
	b.applyView(target, agents, message.DecodeAddresses(view.GetBalancers()))
	if list := decodeList(view); list.revision.Compare(known) > 0 {
		b.applyList(list, target.String())
	}
	logging.Line(level.Debug(b.config.Logger), "event", "view_read", "balancer", target, "config_version", view.GetConfigVersion(), "agents", len(agents))
}

// applyView adds the agents and balancers in a view. The list of agents in it is applied after them, so that it does not
// count as complete without the agents that are not listed.
func (b *Balancer) applyView(source netip.Addr, agents, balancers []netip.Addr) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.AddAgents(now, agents)
	for _, address := range balancers {
		b.peers.Add(now, address)
	}
	b.agentsCompared = b.agentsCompared || b.peers.IsEstablished(source)
}

func encodeList(list agentList) (agents []*datapathpb.ListedAgent) {
	for _, a := range list.agents {
		agents = append(agents, &datapathpb.ListedAgent{Address: a.address.AsSlice(), Revision: uint64(a.revision)})
	}
	return agents
}

// decodeList returns the list of agents in a view. It skips agents without a valid address.
func decodeList(view *datapathpb.GetViewResponse) (list agentList) {
	list.revision = store.Revision{Generation: view.GetListGeneration(), Number: int64(view.GetListRevision())}
	for _, a := range view.GetListedAgents() {
		if address, ok := netip.AddrFromSlice(a.GetAddress()); ok {
			list.agents = append(list.agents, listedAgent{address: address, revision: int64(a.GetRevision())})
		}
	}
	return list
}
