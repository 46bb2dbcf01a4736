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

// addHost adds a host whose announced weight is too high or too low by the factor
// weightError. The host joins the service with joinHost.
func (m *model) addHost(speed float64) *modelHost {
	i := len(m.hosts)
	factor := m.config.weightError
	if m.random.IntN(2) == 0 {
		factor = 1 / factor
	}
	h := &modelHost{
		index: i, name: fmt.Sprintf("host-%d", i), speed: speed, nominalSpeed: speed,
		address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000),
		centre:          fmt.Sprintf("centre-%d", i%4),
		announcedWeight: uint32(1000 * speed * factor),
	}
	m.hosts = append(m.hosts, h)
	m.byAddress[h.address] = h
	return h
}

// joinHost starts the agent of a host, adds the host to the members of the learner and
// connects it to the other hosts.
func (m *model) joinHost(h *modelHost) {
	h.joined = true
	h.owner = must(owner.New(owner.Config{
		Self: h.address, Slots: slots, Connections: 1 << 20, RepliesReported: true, MaxFlows: 1 << 17,
		Started: m.clock().Add(-10 * time.Second),
	}))
	if m.config.placement == hashedPlacement {
		return
	}
	m.learner.SetMembers(m.clock(), m.members())
	m.publish()
	m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.SpecReceived{Spec: m.spec()}, nil))
	for _, other := range m.hosts {
		if other != h && other.joined {
			m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.PeerConnected{Peer: other.address}, nil))
			m.applyEffects(other, other.owner.HandleEvent(m.clock(), owner.PeerConnected{Peer: h.address}, nil))
		}
	}
	m.tick(h)
}

// tick sends a Tick to the owner of a host now and every 50 ms after that.
func (m *model) tick(h *modelHost) {
	m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.Tick{}, nil))
	m.schedule(50*time.Millisecond, func() { m.tick(h) })
}

// members returns the members of the service for the learner.
func (m *model) members() (members []Member) {
	for _, h := range m.hosts {
		if h.joined {
			members = append(members, Member{Host: h.name, Incarnation: 1, Weight: h.announcedWeight})
		}
	}
	return members
}

// spec returns the table spec with the retained versions.
func (m *model) spec() *controlpb.TableSpec {
	return &controlpb.TableSpec{ServiceId: 1, ConfigVersion: 1, Versions: m.versions, Service: &controlpb.Service{
		Id: 1, Idempotent: true, QueueDeadlineMs: 600_000, IdleTimeoutMs: 300_000,
		Addresses: []*controlpb.ServiceAddress{{Address: "127.8.0.1:443", Protocol: 6}},
	}}
}

// runLearner reports the heartbeats of all hosts to the learner and publishes the weights
// that were learned, now and every second after that.
func (m *model) runLearner() {
	m.schedule(time.Second, m.runLearner)
	if m.config.placement == hashedPlacement {
		return
	}
	for _, h := range m.hosts {
		if h.joined {
			m.learner.Observe(m.clock(), h.name, h.owner.Load(m.clock()).GetBusyShare())
		}
	}
	m.publish()
}

// publishedWeight returns the weight of a host in the newest table version, or 0 before the
// first one.
func (m *model) publishedWeight(h *modelHost) uint32 {
	if len(m.versions) == 0 {
		return 0
	}
	return m.versions[0].GetMembers()[h.index].GetWeight()
}

// publish calls Step of the learner and, if that asks for a table version, adds one with
// the learned weights, unless the largest number of versions is retained. The older
// versions are retired 2 s later.
func (m *model) publish() {
	weights, publish := m.learner.Step(m.clock())
	if !publish || len(m.versions) == flow.MaxPathLen {
		return
	}
	m.learner.RecordPublished(m.clock(), weights)
	byName := make(map[string]uint32)
	for _, w := range weights {
		byName[w.Host] = w.Weight
	}
	next := &controlpb.TableVersion{Version: uint64(m.publishedVersions + 1)}
	for _, h := range m.hosts {
		if h.joined {
			next.Members = append(next.Members, &controlpb.Member{
				Host: h.name, Address: h.address.String(), ControlAddress: h.address.String(), DataCentre: h.centre,
				Incarnation: 1 << 60, Weight: byName[h.name], Slots: slots, Connections: 2000,
			})
		}
	}
	var before *controlpb.TableSpec
	if m.publishedVersions > 0 {
		before = m.spec()
	}
	m.versions = append([]*controlpb.TableVersion{next}, m.versions...)
	moved := must(table.Compare(before, m.spec())).MovedBuckets
	m.publishedVersions++
	m.movedBuckets += moved
	m.specBytes += proto.Size(m.spec())
	if moved > 0 {
		m.lastMove = m.elapsed
	}
	m.distributeSpec()
	m.schedule(2*time.Second, func() {
		m.versions = slices.DeleteFunc(slices.Clone(m.versions), func(v *controlpb.TableVersion) bool {
			return v.GetVersion() < next.GetVersion()
		})
		m.distributeSpec()
	})
}

// distributeSpec sends the spec to each router and agent with a random delay of up to
// 300 ms, but without delay to the routers for the first version.
func (m *model) distributeSpec() {
	spec := m.spec()
	for _, r := range m.routers {
		delay := time.Duration(m.random.IntN(300)) * time.Millisecond
		if m.publishedVersions == 1 {
			delay = 0
		}
		m.schedule(delay, func() { must(r.Update(spec)) })
	}
	for _, h := range m.hosts {
		if h.joined {
			m.schedule(time.Duration(m.random.IntN(300))*time.Millisecond, func() {
				m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.SpecReceived{Spec: spec}, nil))
			})
		}
	}
}
