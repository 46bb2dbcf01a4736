package weights

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/owner"
	"agateramp/internal/core/table"
)

// addHost makes a host that announces a wrong weight.
func (m *model) addHost(speed float64) *modelHost {
	i := len(m.hosts)
	wrong := m.config.wrong
	if m.random.IntN(2) == 0 {
		wrong = 1 / wrong
	}
	h := &modelHost{
		index: i, name: fmt.Sprintf("host-%d", i), speed: speed, correct: speed,
		address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000),
		centre:    fmt.Sprintf("centre-%d", i%4),
		announced: uint32(1000 * speed * wrong),
	}
	m.hosts = append(m.hosts, h)
	m.byAddress[h.address] = h
	return h
}

// join starts the agent of a host and lets the learner know it.
func (m *model) join(h *modelHost) {
	h.joined = true
	h.owner = must(owner.New(owner.Config{
		Self: h.address, Slots: slots, Connections: 1 << 20, RepliesReported: true, MaxFlows: 1 << 17,
		Started: m.time().Add(-10 * time.Second),
	}))
	if m.config.placing == hashing {
		return
	}
	m.learner.SetMembers(m.time(), m.members())
	m.publish()
	m.effects(h, h.owner.HandleEvent(m.time(), owner.SpecReceived{Spec: m.spec()}, nil))
	for _, other := range m.hosts {
		if other != h && other.joined {
			m.effects(h, h.owner.HandleEvent(m.time(), owner.PeerConnected{Peer: other.address}, nil))
			m.effects(other, other.owner.HandleEvent(m.time(), owner.PeerConnected{Peer: h.address}, nil))
		}
	}
	m.tick(h)
}

func (m *model) tick(h *modelHost) {
	m.effects(h, h.owner.HandleEvent(m.time(), owner.Tick{}, nil))
	m.after(50*time.Millisecond, func() { m.tick(h) })
}

func (m *model) members() (members []Member) {
	for _, h := range m.hosts {
		if h.joined {
			members = append(members, Member{Host: h.name, Incarnation: 1, Weight: h.announced})
		}
	}
	return members
}

func (m *model) spec() *controlpb.TableSpec {
	return &controlpb.TableSpec{ServiceId: 1, ConfigVersion: 1, Versions: m.versions, Service: &controlpb.Service{
		Id: 1, Idempotent: true, QueueDeadlineMs: 600_000, IdleTimeoutMs: 300_000,
		Addresses: []*controlpb.ServiceAddress{{Address: "127.8.0.1:443", Protocol: 6}},
	}}
}

// second passes on heartbeats and publishes what was learned.
func (m *model) second() {
	m.after(time.Second, m.second)
	if m.config.placing == hashing {
		return
	}
	for _, h := range m.hosts {
		if h.joined {
			m.learner.Observe(m.time(), h.name, h.owner.Load(m.time()).GetBusyShare())
		}
	}
	m.publish()
}

// newestWeight returns the weight of a host in the newest table.
func (m *model) newestWeight(h *modelHost) uint32 {
	if len(m.versions) == 0 {
		return 0
	}
	return m.versions[0].GetMembers()[h.index].GetWeight()
}

func (m *model) publish() {
	weights, publish := m.learner.Step(m.time())
	if !publish || len(m.versions) == flow.MaxPathLen {
		return
	}
	m.learner.RecordPublished(m.time(), weights)
	byName := make(map[string]uint32)
	for _, w := range weights {
		byName[w.Host] = w.Weight
	}
	next := &controlpb.TableVersion{Version: uint64(m.published + 1)}
	for _, h := range m.hosts {
		if h.joined {
			next.Members = append(next.Members, &controlpb.Member{
				Host: h.name, Address: h.address.String(), ControlAddress: h.address.String(), DataCentre: h.centre,
				Incarnation: 1 << 60, Weight: byName[h.name], Slots: slots, Connections: 2000,
			})
		}
	}
	var before *controlpb.TableSpec
	if m.published > 0 {
		before = m.spec()
	}
	m.versions = append([]*controlpb.TableVersion{next}, m.versions...)
	moved := must(table.Compare(before, m.spec())).MovedBuckets
	m.published++
	m.moved += moved
	m.specBytes += proto.Size(m.spec())
	if moved > 0 {
		m.lastMove = m.now
	}
	m.distribute()
	m.after(2*time.Second, func() {
		m.versions = slices.DeleteFunc(slices.Clone(m.versions), func(v *controlpb.TableVersion) bool {
			return v.GetVersion() < next.GetVersion()
		})
		m.distribute()
	})
}

// distribute brings the spec to each process after a time of its own.
func (m *model) distribute() {
	spec := m.spec()
	for _, r := range m.routers {
		delay := time.Duration(m.random.IntN(300)) * time.Millisecond
		if m.published == 1 {
			delay = 0
		}
		m.after(delay, func() { must(r.Update(spec)) })
	}
	for _, h := range m.hosts {
		if h.joined {
			m.after(time.Duration(m.random.IntN(300))*time.Millisecond, func() {
				m.effects(h, h.owner.HandleEvent(m.time(), owner.SpecReceived{Spec: spec}, nil))
			})
		}
	}
}
