package agents

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/keyvalue/shard"
)

// holderLink is the stream that this balancer dials to another balancer that holds shards.
type holderLink struct {
	service *Service
	// address is the control address of the holder.
	address string
	dialer  *peer.Dialer
	// peer is nil while there is no stream.
	peer *peer.Peer
}

// balancerLink is the stream that another balancer dialled, to report to the shards that this
// balancer holds or to ask for specs.
type balancerLink struct {
	peer *peer.Peer
	// ackedVersions holds the table version that the balancer acknowledged, by service id.
	ackedVersions map[uint32]uint64
}

// sendToServiceHolder sends a frame to the holder of the shard of a service. If the service or the
// holder is not known, or there is no stream to the holder, it drops the frame and reports false;
// member reports and acknowledgements are sent again once there is a stream.
func (s *Service) sendToServiceHolder(name string, f *controlpb.Frame) bool {
	id, ok := s.serviceID(name)
	return ok && s.sendToShardHolder(shard.Of(id), f)
}

// sendToShardHolder sends a frame to the holder of shard n. It reports false if that is not possible.
func (s *Service) sendToShardHolder(n int, f *controlpb.Frame) bool {
	h, ok := s.holders[n]
	if !ok {
		return false
	}
	if h.Name == s.config.Name {
		s.localFrames.push(f)
		return true
	}
	l := s.holderLinks[h.ControlAddress]
	return l != nil && l.peer != nil && l.peer.Send(f) == nil
}

// holdersChanged is called by the runner with the holders of all shards. It dials new holders,
// closes the streams to those that hold no shard any more, and resends the state of the shards
// whose holder has changed.
func (s *Service) holdersChanged(holders map[int]shard.HolderInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	previous := s.holders
	s.holders = holders
	needed := map[string]bool{}
	for n, h := range holders {
		if h.Name != s.config.Name {
			needed[h.ControlAddress] = true
			s.dialHolder(h.ControlAddress)
		}
		if previous[n].Fence != h.Fence {
			s.setSuspicionExpiry(n)
			s.resendShardState(n)
		}
	}
	for address, l := range s.holderLinks {
		if !needed[address] {
			l.dialer.Stop()
			delete(s.holderLinks, address)
		}
	}
}

// dialHolder opens a link to the shard holder at a control address, if there is none yet.
func (s *Service) dialHolder(address string) {
	if s.holderLinks[address] != nil {
		return
	}
	l := &holderLink{service: s, address: address}
	d, err := peer.Dial(s.dialConfig(address, l))
	if err != nil {
		_ = level.Error(s.config.Logger).Log("event", "shard_holder_not_dialled", "address", address, "err", err)
		return
	}
	l.dialer = d
	s.holderLinks[address] = l
}

func (s *Service) dialConfig(address string, h peer.Handler) peer.Config {
	return peer.Config{
		Target: address, TLS: s.config.ClientTLS, Hello: s.hello, Handler: h, Group: s.config.Group,
		Logger: s.config.Logger, Metrics: s.config.Metrics,
	}
}

// resendShardState sends the holder of shard n the state that it needs from this balancer: the
// attached agents and the table versions in use.
func (s *Service) resendShardState(n int) {
	for _, a := range s.agents {
		if id, ok := s.serviceID(a.service); ok && shard.Of(id) == n {
			s.reportAgent(a)
		}
	}
	for id, spec := range s.specs {
		if shard.Of(id) == n {
			s.sendSpecAck(spec)
		}
	}
}

// sendSpecAck acknowledges the newest version of a spec to the holder of its shard.
func (s *Service) sendSpecAck(spec *controlpb.TableSpec) {
	s.sendToShardHolder(shard.Of(spec.GetServiceId()), s.ackFrame(spec.GetServiceId(), shard.NewestVersion(spec)))
}

// ackFrame returns an acknowledgement of this balancer. A service id of 0 asks the receiver for
// newer specs; see handleBalancerAck.
func (s *Service) ackFrame(id uint32, version uint64) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{
		Name: s.config.Name, ServiceId: id, Version: version, Balancer: true,
	}}}
}

// resendHolderState sends the holder at a control address the state of all shards that it holds.
func (s *Service) resendHolderState(address string) {
	for n, h := range s.holders {
		if h.ControlAddress == address {
			s.setSuspicionExpiry(n)
			s.resendShardState(n)
		}
	}
}

// Connected records a new stream to the shard holder and sends the state that the holder needs.
func (l *holderLink) Connected(p *peer.Peer) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.peer = p
	l.service.resendHolderState(l.address)
}

// Frame handles a frame of the shard holder.
func (l *holderLink) Frame(_ *peer.Peer, f *controlpb.Frame) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.service.handleHolderFrame(l.address, f)
}

// Disconnected records that the stream has ended. The dialer connects again.
func (l *holderLink) Disconnected(*peer.Peer) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.peer = nil
}

var _ peer.Handler = (*holderLink)(nil)

// handleHolderFrame handles a frame of the holder at a control address, which may be that of this
// balancer.
func (s *Service) handleHolderFrame(address string, f *controlpb.Frame) {
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Table:
		s.applySpec(b.Table)
	case *controlpb.Frame_Suspect:
		if s.holders[shard.Of(b.Suspect.GetServiceId())].ControlAddress == address {
			s.applySuspicion(b.Suspect)
		}
	case *controlpb.Frame_Hello:
		// The holder has taken another shard and has no state of it yet.
		s.resendHolderState(address)
	}
}

// sendToBalancers sends a frame of a shard held here to a balancer, or to all balancers including this
// one if the name is empty. The runner calls it.
func (s *Service) sendToBalancers(balancer string, f *controlpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if balancer == "" || balancer == s.config.Name {
		s.handleHolderFrame(s.config.ControlAddress, f)
	}
	for name, l := range s.balancerLinks {
		if balancer == "" || balancer == name {
			_ = l.peer.Send(f)
		}
	}
}

// balancerConnected registers the stream that another balancer dialled, in place of an earlier one.
// It closes a stream whose Hello has no name or the name of this balancer.
func (s *Service) balancerConnected(p *peer.Peer) {
	name := p.Hello().GetName()
	s.mu.Lock()
	if name == "" || name == s.config.Name {
		p.Close()
		s.mu.Unlock()
		return
	}
	if old := s.balancerLinks[name]; old != nil {
		old.peer.Close()
	}
	s.balancerLinks[name] = &balancerLink{peer: p, ackedVersions: map[uint32]uint64{}}
	s.mu.Unlock()
	s.runner.Connected(name, p.Hello().GetIncarnation())
}

func (s *Service) balancerDisconnected(p *peer.Peer) {
	name := p.Hello().GetName()
	s.mu.Lock()
	l := s.balancerLinks[name]
	present := l != nil && l.peer == p
	if present {
		delete(s.balancerLinks, name)
	}
	s.mu.Unlock()
	if present {
		s.runner.Disconnected(name)
	}
}

// handleBalancerFrame passes a frame of another balancer to the shards that this balancer holds.
func (s *Service) handleBalancerFrame(p *peer.Peer, f *controlpb.Frame) {
	name := p.Hello().GetName()
	if ack := f.GetAck(); ack.GetBalancer() {
		s.mu.Lock()
		if l := s.balancerLinks[name]; l != nil && l.peer == p {
			s.handleBalancerAck(l, ack)
		}
		s.mu.Unlock()
	}
	s.runner.Receive(name, f)
}

// handleBalancerAck records an Ack of a balancer and, when the balancer asks for specs, sends those
// that are newer than the versions that it acknowledged. The balancer asks with an Ack of service 0,
// which follows the Acks of the specs that it has.
func (s *Service) handleBalancerAck(l *balancerLink, ack *controlpb.Ack) {
	if ack.GetServiceId() != 0 {
		l.ackedVersions[ack.GetServiceId()] = ack.GetVersion()
		return
	}
	for id, spec := range s.specs {
		if shard.NewestVersion(spec) > l.ackedVersions[id] {
			_ = l.peer.Send(tableFrame(spec))
		}
	}
}

// seedHandler handles the streams to the seeds, which are balancers that are asked for specs.
type seedHandler Service

var _ peer.Handler = (*seedHandler)(nil)

// Connected acknowledges the specs of this balancer and asks for newer ones.
func (h *seedHandler) Connected(p *peer.Peer) {
	s := (*Service)(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, spec := range s.specs {
		_ = p.Send(s.ackFrame(id, shard.NewestVersion(spec)))
	}
	_ = p.Send(s.ackFrame(0, 0))
}

// Frame applies a spec. Other frames are ignored.
func (h *seedHandler) Frame(_ *peer.Peer, f *controlpb.Frame) {
	s := (*Service)(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := f.GetBody().(*controlpb.Frame_Table); ok {
		s.applySpec(b.Table)
	}
}

// Disconnected does nothing: the dialer connects again.
func (h *seedHandler) Disconnected(*peer.Peer) {}

// seedDialDelay is how long a balancer waits for the store at its start before it asks the seeds.
const seedDialDelay = 500 * time.Millisecond

// dialSeeds opens streams to the seeds if the table specs have not been read from the store within
// seedDialDelay.
func (s *Service) dialSeeds(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(seedDialDelay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tablesRead || s.closed {
		return nil
	}
	for _, address := range s.config.Seeds {
		if address == s.config.ControlAddress {
			continue
		}
		d, err := peer.Dial(s.dialConfig(address, (*seedHandler)(s)))
		if err != nil {
			_ = level.Warn(s.config.Logger).Log("event", "seed_not_dialled", "address", address, "err", err)
			continue
		}
		s.seedDialers = append(s.seedDialers, d)
	}
	return nil
}
