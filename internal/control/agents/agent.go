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

// agent is an attached agent.
type agent struct {
	peer    *peer.Peer
	service string
	// member is what the agent announces; it is replaced and never changed.
	member *controlpb.Member
	// ack is the newest acknowledgement, resent to a new shard holder.
	ack     *controlpb.Ack
	beat    *controlpb.Heartbeat
	samples samples
	leaving bool
	// ordered is the last drain order sent.
	ordered bool
}

// Agent describes an attached agent.
type Agent struct {
	Service   string
	Member    *controlpb.Member
	Heartbeat *controlpb.Heartbeat
	Ack       *controlpb.Ack
}

// Agents returns the attached agents in the order of their hosts.
func (s *Service) Agents() []Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	agents := make([]Agent, 0, len(s.agents))
	for _, a := range s.agents {
		agents = append(agents, Agent{a.service, a.member, a.beat, a.ack})
	}
	sort.Slice(agents, func(i, j int) bool { return agents[i].Member.GetHost() < agents[j].Member.GetHost() })
	return agents
}

// OrderDrain orders the agent of a host to drain, or to take new flows again, ahead of the
// configuration. The order overrides the specs until they show the same state. It does not
// block, and reports false if the agent is not attached to this balancer or the order could
// not be queued.
func (s *Service) OrderDrain(host string, drain bool, changeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[host]
	if a == nil {
		return false
	}
	s.manual[host] = drain
	a.ordered = drain
	return a.peer.Send(orderFrame(host, drain, changeID)) == nil
}

func orderFrame(host string, drain bool, changeID string) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Drain{Drain: &controlpb.DrainOrder{
		Host: host, Drain: drain, ChangeId: changeID,
	}}}
}

func (s *Service) agentConnected(p *peer.Peer) {
	h := p.Hello()
	host := h.GetMember().GetHost()
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == "" || h.GetService() == "" {
		_ = level.Warn(s.config.Logger).Log("event", "agent_refused", "remote", p.Remote())
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
	if was := s.served[host]; was != "" && was != a.service {
		s.toService(was, reportFrame(was, a.member, true))
	}
	s.served[host] = a.service
	s.announce(a)
	if address, err := netip.ParseAddrPort(a.member.GetAddress()); err == nil {
		s.config.Tables.SetSuspected(address, false) // it is seen alive here
	}
	id, _ := s.serviceID(a.service)
	delete(s.suspected, suspectKey{id, host})
	spec := s.specs[id]
	// The agent answers with its own spec when that is newer.
	_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: &controlpb.Ack{
		Name: s.config.Name, ServiceId: id, Version: shard.Newest(spec), Balancer: true,
	}}})
	if spec != nil {
		_ = p.Send(tableFrame(spec))
	}
	s.order(a, spec, true)
}

func tableFrame(spec *controlpb.TableSpec) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Table{Table: spec}}
}

func reportFrame(service string, m *controlpb.Member, gone bool) *controlpb.Frame {
	return &controlpb.Frame{Body: &controlpb.Frame_Member{Member: &controlpb.MemberReport{
		Service: service, Member: m, Gone: gone,
	}}}
}

// announce sends the holder what it must know of an agent.
func (s *Service) announce(a *agent) {
	s.toService(a.service, reportFrame(a.service, a.member, a.leaving))
	if a.ack != nil {
		s.toService(a.service, &controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: a.ack}})
	}
}

// order sends a drain order when the spec says something else than the last one.
// An agent that drains by itself gets none.
func (s *Service) order(a *agent, spec *controlpb.TableSpec, always bool) {
	if spec == nil || a.member.GetDraining() {
		return
	}
	host := a.member.GetHost()
	for _, m := range spec.GetVersions()[0].GetMembers() {
		if m.GetHost() != host {
			continue
		}
		want := m.GetDraining()
		if manual, ok := s.manual[host]; ok && manual == want {
			delete(s.manual, host)
		} else if ok {
			want = manual
		}
		if want != a.ordered || always {
			a.ordered = want
			_ = a.peer.Send(orderFrame(host, want, ""))
		}
	}
}

func (s *Service) agentFrame(p *peer.Peer, f *controlpb.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[p.Hello().GetMember().GetHost()]
	if a == nil || a.peer != p {
		return
	}
	host := a.member.GetHost()
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Heartbeat:
		a.beat = b.Heartbeat
		if b.Heartbeat.GetDraining() != a.member.GetDraining() {
			a.member = proto.Clone(a.member).(*controlpb.Member)
			a.member.Draining = b.Heartbeat.GetDraining()
			s.toService(a.service, reportFrame(a.service, a.member, false))
		}
		for _, sample := range a.samples.add(b.Heartbeat.GetBusyShare()) {
			s.toService(a.service, &controlpb.Frame{Body: &controlpb.Frame_Heartbeat{Heartbeat: &controlpb.Heartbeat{
				Host: host, BusyShare: sample.share, Samples: sample.count,
			}}})
		}
	case *controlpb.Frame_Ack:
		if b.Ack.GetVersion() < a.ack.GetVersion() {
			return
		}
		a.ack = b.Ack
		a.ack.Name, a.ack.Balancer = host, false
		s.toService(a.service, f)
	case *controlpb.Frame_Table:
		if id, ok := s.serviceID(a.service); !ok || id == b.Table.GetServiceId() {
			s.learn(b.Table)
		}
	case *controlpb.Frame_Leaving:
		a.leaving = true
		s.toService(a.service, reportFrame(a.service, a.member, true))
	}
}

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
	if !s.toService(a.service, &controlpb.Frame{Body: &controlpb.Frame_Suspect{Suspect: suspect}}) {
		// Nobody collects the other balancers' view, so this one has to do.
		s.suspect(suspect)
	}
}

// serviceID returns the id of a service by its name, from the configuration or a spec.
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
