package agents

import (
	"net/netip"
	"sort"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/keyvalue/shard"
)

// agent is an attached agent: one with an open control stream to this balancer.
type agent struct {
	peer *peer.Peer
	// service is the name of the service that the agent serves.
	service string
	// member is what the agent last announced. It is replaced, never modified, because frames in
	// localFrames and callers of Agents share it.
	member *controlpb.Member
	// ack is the newest acknowledgement, nil before the first. It is resent to a new shard holder.
	ack        *controlpb.Ack
	heartbeat  *controlpb.Heartbeat
	busyShares busyShareAverager
	// leaving is set once the agent has announced a planned stop.
	leaving bool
	// drainOrdered is the state in the last drain order sent to the agent, false before the first.
	drainOrdered bool
}

// Agent describes an attached agent. The messages are shared and must not be changed.
type Agent struct {
	// Service is the name of the service that the agent serves.
	Service string
	// Member is what the agent last announced.
	Member *controlpb.Member
	// Heartbeat is the newest heartbeat. It is nil before the first.
	Heartbeat *controlpb.Heartbeat
	// Ack is the newest acknowledgement of a table version. It is nil before the first.
	Ack *controlpb.Ack
}

// Agents returns the attached agents, sorted by host name.
func (s *Service) Agents() []Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make([]Agent, 0, len(s.agents))
	for _, a := range s.agents {
		agents = append(agents, Agent{a.service, a.member, a.heartbeat, a.ack})
	}
	sort.Slice(agents, func(i, j int) bool { return agents[i].Member.GetHost() < agents[j].Member.GetHost() })
	return agents
}

// OrderDrain orders the agent of a host to drain, or to take new flows again, ahead of the
// configuration. changeID identifies the change to the agent and may be empty. The order overrides
// the specs until they show the same state. OrderDrain does not block. It reports false if the
// agent is not attached to this balancer, or if the order could not be queued; in the second case
// the agent gets the order when it attaches to this balancer again.
func (s *Service) OrderDrain(host string, drain bool, changeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[host]
	if a == nil {
		return false
	}
	s.drainOrders[host] = drain
	a.drainOrdered = drain
	return a.peer.Send(drainOrderFrame(host, drain, changeID)) == nil
}

func drainOrderFrame(host string, drain bool, changeID string) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Drain{Drain: &controlpb.DrainOrder{
		Host: host, Drain: drain, ChangeId: changeID,
	}}}
}

// agentConnected attaches the agent of a stream in place of an earlier stream of the same host, and
// sends it the newest spec and drain order. A stream of an older incarnation, or one whose Hello
// names no host or no service, is closed instead.
func (s *Service) agentConnected(p *peer.Peer) {
	h := p.Hello()
	host := h.GetMember().GetHost()
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == "" || h.GetService() == "" {
		_ = level.Warn(s.config.Logger).Log("event", "agent_refused", "remote", p.RemoteAddress())
		p.Close()
		return
	}
	if old := s.agents[host]; old != nil {
		if old.member.GetIncarnation() > h.GetMember().GetIncarnation() {
			p.Close()
			return
		}
		old.peer.Close()
	}
	a := &agent{peer: p, service: h.GetService(), member: h.GetMember()}
	s.agents[host] = a
	if previous := s.lastService[host]; previous != "" && previous != a.service {
		s.sendToServiceHolder(previous, memberReportFrame(previous, a.member, true))
	}
	s.lastService[host] = a.service
	s.reportAgent(a)
	if address, err := netip.ParseAddrPort(a.member.GetAddress()); err == nil {
		s.config.Tables.SetSuspected(address, false) // its stream to this balancer shows that it is alive
	}
	id, _ := s.serviceID(a.service)
	delete(s.suspicions, suspicionKey{id, host})
	spec := s.specs[id]
	// If the agent has a newer spec than this acknowledgement names, it sends that spec.
	_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{
		Name: s.config.Name, ServiceId: id, Version: shard.NewestVersion(spec), Balancer: true,
	}}})
	if spec != nil {
		_ = p.Send(tableFrame(spec))
	}
	s.sendDrainOrder(a, spec, true)
}

func tableFrame(spec *controlpb.TableSpec) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Table{Table: spec}}
}

func memberReportFrame(service string, m *controlpb.Member, gone bool) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Member{Member: &controlpb.MemberReport{
		Service: service, Member: m, Gone: gone,
	}}}
}

// reportAgent sends the state of an agent to the holder of its service's shard: its member
// report and its newest acknowledgement.
func (s *Service) reportAgent(a *agent) {
	s.sendToServiceHolder(a.service, memberReportFrame(a.service, a.member, a.leaving))
	if a.ack != nil {
		s.sendToServiceHolder(a.service, &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: a.ack}})
	}
}

// sendDrainOrder sends the agent its wanted drain state if that differs from the last order sent or
// if force is set. The wanted state is the one in the newest version of the spec; an order in
// drainOrders takes precedence until the spec shows the same state. No order is sent if the spec is
// nil or does not list the host, or to an agent that drains on its own initiative.
func (s *Service) sendDrainOrder(a *agent, spec *controlpb.TableSpec, force bool) {
	if spec == nil || a.member.GetDraining() {
		return
	}
	host := a.member.GetHost()
	for _, m := range spec.GetVersions()[0].GetMembers() {
		if m.GetHost() != host {
			continue
		}
		want := m.GetDraining()
		if ordered, ok := s.drainOrders[host]; ok && ordered == want {
			delete(s.drainOrders, host)
		} else if ok {
			want = ordered
		}
		if want != a.drainOrdered || force {
			a.drainOrdered = want
			_ = a.peer.Send(drainOrderFrame(host, want, ""))
		}
	}
}

// handleAgentFrame handles a frame of an attached agent and forwards what the shard holder needs.
// Frames of a stream that another one has replaced are ignored.
func (s *Service) handleAgentFrame(p *peer.Peer, f *controlpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[p.Hello().GetMember().GetHost()]
	if a == nil || a.peer != p {
		return
	}
	host := a.member.GetHost()
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Heartbeat:
		a.heartbeat = b.Heartbeat
		if b.Heartbeat.GetDraining() != a.member.GetDraining() {
			a.member = proto.Clone(a.member).(*controlpb.Member)
			a.member.Draining = b.Heartbeat.GetDraining()
			s.sendToServiceHolder(a.service, memberReportFrame(a.service, a.member, false))
		}
		for _, mean := range a.busyShares.add(b.Heartbeat.GetBusyShare()) {
			s.sendToServiceHolder(a.service, &controlpb.Frame{Body: &controlpb.Frame_Heartbeat{Heartbeat: &controlpb.Heartbeat{
				Host: host, BusyShare: mean.share, Samples: mean.count,
			}}})
		}
	case *controlpb.Frame_Ack:
		if b.Ack.GetVersion() < a.ack.GetVersion() {
			return
		}
		a.ack = b.Ack
		a.ack.Name, a.ack.Balancer = host, false
		s.sendToServiceHolder(a.service, f)
	case *controlpb.Frame_Table:
		if id, ok := s.serviceID(a.service); !ok || id == b.Table.GetServiceId() {
			s.applySpec(b.Table)
		}
	case *controlpb.Frame_Leaving:
		a.leaving = true
		s.sendToServiceHolder(a.service, memberReportFrame(a.service, a.member, true))
	}
}

// agentDisconnected detaches an agent. Unless the agent announced its stop or this balancer is
// closing, its host is reported as suspected.
func (s *Service) agentDisconnected(p *peer.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := p.Hello().GetMember().GetHost()
	a := s.agents[host]
	if a == nil || a.peer != p {
		return
	}
	delete(s.agents, host)
	id, ok := s.serviceID(a.service)
	if !ok || a.leaving || s.closed {
		return
	}
	suspect := &controlpb.Suspect{ServiceId: id, Host: host, Suspected: true, Incarnation: a.member.GetIncarnation()}
	if !s.sendToServiceHolder(a.service, &controlpb.Frame{Body: &controlpb.Frame_Suspect{Suspect: suspect}}) {
		// No shard holder, which would compare the reports of all balancers, can be reached. This
		// balancer therefore acts on its own report.
		s.applySuspicion(suspect)
	}
}

// serviceID returns the id of the service with a name, from the configuration or else from a
// table spec. It reports false if neither lists the service.
func (s *Service) serviceID(name string) (id uint32, ok bool) {
	for _, c := range s.settings.Services {
		if c.Service.GetName() == name {
			return c.Service.GetId(), true
		}
	}
	for id, spec := range s.specs {
		if spec.GetService().GetName() == name {
			return id, true
		}
	}
	return 0, false
}
