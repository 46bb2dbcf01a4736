package agents

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/keyvalue/shard"
)

// uplink is the stream to another balancer that holds shards.
type uplink struct {
	service *Service
	address string
	dialer  *peer.Dialer
	// peer is nil while there is no stream.
	peer *peer.Peer
}

// downlink is the stream of another balancer that sends to shards held here.
type downlink struct {
	peer *peer.Peer
	// acked holds the versions that it said to have.
	acked map[uint32]uint64
}

// toService sends a frame to the holder of the shard of a service. It reports
// false when there is no stream to it; the frame is then sent when there is.
func (s *Service) toService(name string, f *controlpb.Frame) bool {
	id, ok := s.serviceID(name)
	return ok && s.toShard(shard.Of(id), f)
}

func (s *Service) toShard(n int, f *controlpb.Frame) bool {
	h, ok := s.holders[n]
	if !ok {
		return false
	}
	if h.Name == s.config.Name {
		s.local.push(f)
		return true
	}
	u := s.uplinks[h.ControlAddress]
	return u != nil && u.peer != nil && u.peer.Send(f) == nil
}

// holdersChanged is called by the runner with the holders of all shards.
func (s *Service) holdersChanged(holders map[int]shard.HolderInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	before := s.holders
	s.holders = holders
	needed := map[string]bool{}
	for n, h := range holders {
		if h.Name != s.config.Name {
			needed[h.ControlAddress] = true
			s.dial(h.ControlAddress)
		}
		if before[n].Fence != h.Fence {
			s.doubtSuspicions(n)
			s.resend(n)
		}
	}
	for address, u := range s.uplinks {
		if !needed[address] {
			u.dialer.Stop()
			delete(s.uplinks, address)
		}
	}
}

func (s *Service) dial(address string) {
	if s.uplinks[address] != nil {
		return
	}
	u := &uplink{service: s, address: address}
	d, err := peer.Dial(s.dialConfig(address, u))
	if err != nil {
		_ = level.Error(s.config.Logger).Log("event", "shard_holder_not_dialled", "address", address, "err", err)
		return
	}
	u.dialer = d
	s.uplinks[address] = u
}

func (s *Service) dialConfig(address string, h peer.Handler) peer.Config {
	return peer.Config{
		Target: address, TLS: s.config.ClientTLS, Hello: s.hello, Handler: h, Group: s.config.Group,
		Logger: s.config.Logger, Metrics: s.config.Metrics,
	}
}

// resend sends the holder of a shard all that it must know from this balancer.
func (s *Service) resend(n int) {
	for _, a := range s.agents {
		if id, ok := s.serviceID(a.service); ok && shard.Of(id) == n {
			s.announce(a)
		}
	}
	for id, spec := range s.specs {
		if shard.Of(id) == n {
			s.acknowledge(spec)
		}
	}
}

func (s *Service) acknowledge(spec *controlpb.TableSpec) {
	s.toShard(shard.Of(spec.GetServiceId()), s.ackFrame(spec.GetServiceId(), shard.Newest(spec)))
}

func (s *Service) ackFrame(id uint32, version uint64) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{
		Name: s.config.Name, ServiceId: id, Version: version, Balancer: true,
	}}}
}

// resendAll sends the holder at an address what it must know of all its shards.
func (s *Service) resendAll(holder string) {
	for n, h := range s.holders {
		if h.ControlAddress == holder {
			s.doubtSuspicions(n)
			s.resend(n)
		}
	}
}

// Connected takes a new stream to a shard holder.
func (u *uplink) Connected(p *peer.Peer) {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.peer = p
	u.service.resendAll(u.address)
}

// Frame takes a frame of a shard holder.
func (u *uplink) Frame(_ *peer.Peer, f *controlpb.Frame) {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.service.holderFrame(u.address, f)
}

// Disconnected takes the end of the stream.
func (u *uplink) Disconnected(*peer.Peer) {
	u.service.mu.Lock()
	defer u.service.mu.Unlock()
	u.peer = nil
}

var _ peer.Handler = (*uplink)(nil)

// holderFrame takes a frame of the holder at a control address.
func (s *Service) holderFrame(address string, f *controlpb.Frame) {
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Table:
		s.learn(b.Table)
	case *controlpb.Frame_Suspect:
		if s.holders[shard.Of(b.Suspect.GetServiceId())].ControlAddress == address {
			s.suspect(b.Suspect)
		}
	case *controlpb.Frame_Hello:
		// The holder took another shard and knows nothing of it yet.
		s.resendAll(address)
	}
}

// send is called by the runner for its effects.
func (s *Service) send(balancer string, f *controlpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if balancer == "" || balancer == s.config.Name {
		s.holderFrame(s.config.ControlAddress, f)
	}
	for name, d := range s.downlinks {
		if balancer == "" || balancer == name {
			_ = d.peer.Send(f)
		}
	}
}

func (s *Service) balancerConnected(p *peer.Peer) {
	name := p.Hello().GetName()
	s.mu.Lock()
	if name == "" || name == s.config.Name {
		p.Close()
		s.mu.Unlock()
		return
	}
	if old := s.downlinks[name]; old != nil {
		old.peer.Close()
	}
	s.downlinks[name] = &downlink{peer: p, acked: map[uint32]uint64{}}
	s.mu.Unlock()
	s.runner.Connected(name, p.Hello().GetIncarnation())
}

func (s *Service) balancerDisconnected(p *peer.Peer) {
	name := p.Hello().GetName()
	s.mu.Lock()
	d := s.downlinks[name]
	present := d != nil && d.peer == p
	if present {
		delete(s.downlinks, name)
	}
	s.mu.Unlock()
	if present {
		s.runner.Disconnected(name)
	}
}

func (s *Service) balancerFrame(p *peer.Peer, f *controlpb.Frame) {
	name := p.Hello().GetName()
	if ack := f.GetAck(); ack.GetBalancer() {
		s.mu.Lock()
		if d := s.downlinks[name]; d != nil && d.peer == p {
			s.teach(d, ack)
		}
		s.mu.Unlock()
	}
	s.runner.Receive(name, f)
}

// teach sends a balancer the specs that are newer than its own. It asks for them
// by an Ack of service 0 after those of the services that it has.
func (s *Service) teach(d *downlink, ack *controlpb.Ack) {
	if ack.GetServiceId() != 0 {
		d.acked[ack.GetServiceId()] = ack.GetVersion()
		return
	}
	for id, spec := range s.specs {
		if shard.Newest(spec) > d.acked[id] {
			_ = d.peer.Send(tableFrame(spec))
		}
	}
}

// seed handles the streams to balancers that are asked for specs.
type seed Service

var _ peer.Handler = (*seed)(nil)

// Connected asks for newer specs.
func (x *seed) Connected(p *peer.Peer) {
	s := (*Service)(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, spec := range s.specs {
		_ = p.Send(s.ackFrame(id, shard.Newest(spec)))
	}
	_ = p.Send(s.ackFrame(0, 0))
}

// Frame takes a spec.
func (x *seed) Frame(_ *peer.Peer, f *controlpb.Frame) {
	s := (*Service)(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := f.GetBody().(*controlpb.Frame_Table); ok {
		s.learn(b.Table)
	}
}

// Disconnected does nothing: the dialer connects again.
func (x *seed) Disconnected(*peer.Peer) {}

// seedDelay is how long the store may take before other balancers are asked.
const seedDelay = 500 * time.Millisecond

// dialSeeds asks other balancers for specs while the store was not read.
func (s *Service) dialSeeds(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(seedDelay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed || s.closed {
		return nil
	}
	for _, address := range s.config.Seeds {
		if address == s.config.ControlAddress {
			continue
		}
		d, err := peer.Dial(s.dialConfig(address, (*seed)(s)))
		if err != nil {
			_ = level.Warn(s.config.Logger).Log("event", "seed_not_dialled", "address", address, "err", err)
			continue
		}
		s.seeds = append(s.seeds, d)
	}
	return nil
}
