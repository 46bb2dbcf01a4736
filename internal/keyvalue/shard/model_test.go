package shard

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agateramp/internal/control/controlpb"
)

// The model runs holders, balancers and agents in virtual time over a store that
// loses answers, delays transactions and has outages.

const modelTick = 100 * time.Millisecond

var modelLease, modelTables = HolderKey(1), map[uint32]string{1: TableKey(1), 17: TableKey(17), 33: TableKey(33)}

// modelIDs lists the services of the model; the last one comes and goes.
var modelIDs = []uint32{1, 17, 33}

type modelEntry struct {
	spec        *controlpb.TableSpec
	create, mod int64
}

type modelBalancer struct {
	name        string
	incarnation uint64
	alive       bool
	pausedTill  time.Time
	lagTill     time.Time // its watches are behind until then
	leased      bool
	holds       *Holder
	inbox       []Event
	specs       map[uint32]*controlpb.TableSpec
	settings    *Settings
	peer        *modelBalancer // the holder its stream goes to
	peerFence   int64
	reported    map[string]bool
	ackSent     map[string]uint64
}

type modelAgent struct {
	name        string
	service     string
	id          uint32
	incarnation uint64
	alive       bool
	leaving     bool
	leftAt      time.Time // its last planned stop
	downSince   time.Time
	streams     map[string]bool
	version     uint64
	transferAt  time.Time
	transferred uint64
}

type modelTxn struct {
	from *modelBalancer
	h    *Holder
	// settings is the revision of the configuration that the holder decided by.
	settings int64
	p        *Publish
	at       time.Time
	reply    bool
	done     bool
}

type model struct {
	rng       *rand.Rand
	start     time.Time
	now       time.Time
	storeDown bool
	revision  int64
	entries   map[string]*modelEntry
	leaseTill time.Time
	leaseOf   *modelBalancer
	settings  *Settings
	balancers []*modelBalancer
	agents    []*modelAgent
	txns      []*modelTxn
	// loseAnswers, dropWrites and delayWrites are the faults of the next transactions, in percent.
	loseAnswers, dropWrites, delayWrites int
	contents                             map[string]string
	// removed holds when hosts were last left out without a planned stop.
	removed         map[string]time.Time
	settingsWritten map[uint32]int64
	// retired is set when service 33 was removed; ids are never reused.
	retired               bool
	commits, fenced, kept int
	faults                []string
}

func newModel(seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), entries: map[string]*modelEntry{}, revision: 1,
		contents: map[string]string{}, removed: map[string]time.Time{}, settingsWritten: map[uint32]int64{}, settings: &Settings{},
	}
	m.now = m.start
	m.configure(func(s *Settings) {
		for _, id := range modelIDs[:2] {
			s.Services = append(s.Services, ServiceSettings{
				Service: &controlpb.Service{Id: id, Name: fmt.Sprintf("s%d", id)}, ConfigVersion: s.Version,
			})
		}
	})
	for i := range 3 {
		b := &modelBalancer{name: fmt.Sprintf("b%d", i)}
		m.balancers = append(m.balancers, b)
		m.startBalancer(b)
	}
	for i := range 7 {
		a := &modelAgent{name: fmt.Sprintf("a%d", i), service: "s1", id: 1}
		if i > 4 {
			a.service, a.id = "s17", 17
		}
		m.agents = append(m.agents, a)
		m.startAgent(a)
	}
	return m
}

func (m *model) failf(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}

func (m *model) configure(edit func(s *Settings)) {
	next := &Settings{Version: m.settings.Version + 1, Hosts: map[string]HostSettings{}}
	next.Services = append(next.Services, m.settings.Services...)
	for name, h := range m.settings.Hosts {
		next.Hosts[name] = h
	}
	edit(next)
	m.revision++
	next.Revision = m.revision
	m.entries[ConfigKey] = &modelEntry{mod: m.revision}
	m.settings = next
}

func (m *model) startBalancer(b *modelBalancer) {
	b.incarnation++
	b.alive, b.leased, b.holds, b.inbox, b.peer = true, true, nil, nil, nil
	b.pausedTill, b.lagTill = time.Time{}, time.Time{}
	b.specs, b.settings = map[uint32]*controlpb.TableSpec{}, m.settings
	m.learn(b)
}

func (m *model) startAgent(a *modelAgent) {
	a.incarnation++
	a.alive, a.leaving, a.version, a.transferred, a.streams = true, false, 0, 0, map[string]bool{}
}

func (m *model) stopAgent(a *modelAgent) {
	a.alive, a.downSince = false, m.now
	for _, b := range m.balancers {
		m.cut(a, b)
	}
}

// cut ends the stream of an agent at a balancer; the balancer reports it.
func (m *model) cut(a *modelAgent, b *modelBalancer) {
	if !a.streams[b.name] {
		return
	}
	delete(a.streams, b.name)
	if len(a.streams) == 0 {
		a.downSince = m.now
	}
	if b.reported[a.name] {
		delete(b.reported, a.name)
		if a.leaving {
			m.send(b, Reported{b.name, &controlpb.MemberReport{Service: a.service, Member: m.memberOf(a), Gone: true}})
			return
		}
		m.send(b, Suspected{b.name, &controlpb.Suspect{
			ServiceId: a.id, Host: a.name, Suspected: true, Incarnation: a.incarnation,
		}})
	}
}

func (m *model) send(b *modelBalancer, e Event) {
	if b.peer != nil {
		b.peer.inbox = append(b.peer.inbox, e)
	}
}

func (m *model) memberOf(a *modelAgent) *controlpb.Member {
	return &controlpb.Member{
		Host: a.name, Address: "127.0.0.1:" + a.name[1:], Incarnation: a.incarnation, Weight: 1000, Draining: a.leaving,
	}
}

func (m *model) running(b *modelBalancer) bool { return b.alive && !m.now.Before(b.pausedTill) }

// learn reads the watched keys.
func (m *model) learn(b *modelBalancer) {
	for _, id := range modelIDs {
		if e := m.entries[modelTables[id]]; e != nil && Newer(e.spec, b.specs[id]) {
			b.specs[id] = e.spec
		}
	}
	b.settings = m.settings
}

func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	if m.leaseOf != nil && !m.storeDown && m.now.After(m.leaseTill) {
		delete(m.entries, modelLease)
		m.leaseOf = nil
		m.revision++
	}
	for _, b := range m.balancers {
		if m.running(b) {
			m.runBalancer(b)
		}
	}
	for _, a := range m.agents {
		m.runAgent(a)
	}
	for _, x := range m.txns {
		if !x.done && !m.storeDown && !m.now.Before(x.at) {
			x.done = true
			ok := m.commit(x)
			if x.reply && ok && x.from.holds == x.h {
				x.from.inbox = append(x.from.inbox, Published{m.revision})
			} else if x.reply {
				m.answer(x)
			}
		}
	}
}

// answer has the writer read the store, as after a failed or lost transaction.
func (m *model) answer(x *modelTxn) {
	if x.from.holds != x.h {
		return
	}
	if e := m.entries[modelLease]; e == nil || e.create != x.h.Fence() {
		x.from.holds = nil
		return
	}
	x.from.inbox = append(x.from.inbox, Reread{m.stored()})
}

func (m *model) stored() (stored []StoredSpec) {
	for _, id := range modelIDs {
		if e := m.entries[modelTables[id]]; e != nil {
			stored = append(stored, StoredSpec{e.spec, e.mod})
		}
	}
	return stored
}

func (m *model) leasedNames() (names []string) {
	for _, b := range m.balancers {
		if b.leased {
			names = append(names, b.name)
		}
	}
	return names
}

func (m *model) runBalancer(b *modelBalancer) {
	if !m.storeDown {
		if !b.leased || !m.now.Before(b.lagTill) {
			m.learn(b) // a balancer reads the specs before it registers again
		}
		b.leased = true
		if e := m.entries[modelLease]; m.leaseOf == b && b.holds != nil && b.holds.Fence() == e.create {
			m.leaseTill = m.now.Add(5 * time.Second)
		}
		if m.leaseOf == nil && m.rng.IntN(3) == 0 {
			m.take(b)
		}
		if e := m.entries[modelLease]; b.holds != nil && (e == nil || e.create != b.holds.Fence()) {
			b.holds = nil
		}
		m.connect(b)
	}
	m.report(b)
	if b.holds == nil {
		b.inbox = nil
		return
	}
	events := append(b.inbox, Tick{})
	b.inbox = nil
	if !m.storeDown {
		events = append(events, SettingsChanged{b.settings}, BalancersChanged{m.leasedNames()})
	}
	var effects []Effect
	for _, e := range events {
		effects = b.holds.Handle(m.now, e, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case *Publish:
			m.submit(b, e)
		case *Push:
			for _, to := range m.balancers {
				if to.name == e.Balancer && m.running(to) && Newer(e.Spec, to.specs[e.Spec.GetServiceId()]) {
					to.specs[e.Spec.GetServiceId()] = e.Spec
				}
			}
		case *HostsKept:
			m.kept++
		}
	}
}

func (m *model) take(b *modelBalancer) {
	m.revision++
	m.entries[modelLease] = &modelEntry{create: m.revision, mod: m.revision}
	m.leaseOf, m.leaseTill = b, m.now.Add(5*time.Second)
	b.holds, _ = NewHolder(HolderConfig{
		Shard: 1, Fence: m.revision, Now: m.now, Stored: m.stored(), MinSettings: m.settings.Revision,
		Settings: b.settings, Balancers: m.leasedNames(),
	})
	b.inbox = nil
}

// connect opens the stream of a balancer to the holder that it knows.
func (m *model) connect(b *modelBalancer) {
	e := m.entries[modelLease]
	if e == nil || m.leaseOf == nil || !m.running(m.leaseOf) || (b.peer == m.leaseOf && b.peerFence == e.create) {
		return
	}
	b.peer, b.peerFence = m.leaseOf, e.create
	b.reported, b.ackSent = map[string]bool{}, map[string]uint64{}
	m.send(b, BalancerConnected{b.name, b.incarnation})
}

// report sends what the holder does not know yet.
func (m *model) report(b *modelBalancer) {
	if b.peer == nil {
		return
	}
	for _, a := range m.agents {
		if a.alive && a.streams[b.name] && !b.reported[a.name] {
			b.reported[a.name] = true
			delete(b.ackSent, a.name)
			m.send(b, Reported{b.name, &controlpb.MemberReport{Service: a.service, Member: m.memberOf(a)}})
		}
		if a.streams[b.name] && a.transferred > b.ackSent[a.name] {
			b.ackSent[a.name] = a.transferred
			m.send(b, Acked{b.name, &controlpb.Ack{Name: a.name, ServiceId: a.id, Version: a.transferred, Transferred: true}})
		}
	}
	for id, spec := range b.specs {
		if key := fmt.Sprint(id); NewestVersion(spec) > b.ackSent[key] {
			b.ackSent[key] = NewestVersion(spec)
			m.send(b, Acked{b.name, &controlpb.Ack{Name: b.name, ServiceId: id, Version: NewestVersion(spec), Balancer: true}})
		}
	}
}

func (m *model) runAgent(a *modelAgent) {
	if !a.alive {
		return
	}
	for _, b := range m.balancers {
		if !m.running(b) {
			continue
		}
		if !a.streams[b.name] && m.rng.IntN(10) == 0 {
			a.streams[b.name] = true
			delete(b.reported, a.name)
		}
		if spec := b.specs[a.id]; a.streams[b.name] && NewestVersion(spec) > a.version {
			a.version, a.transferAt = NewestVersion(spec), m.now.Add(time.Duration(m.rng.IntN(500))*time.Millisecond)
		}
	}
	if a.version > a.transferred && m.now.After(a.transferAt) {
		a.transferred = a.version
	}
}

func (m *model) submit(b *modelBalancer, p *Publish) {
	x := &modelTxn{from: b, h: b.holds, settings: b.holds.settings.Revision, p: p, at: m.now, reply: true}
	roll := m.rng.IntN(100)
	switch {
	case roll < m.dropWrites:
		x.done = true
		m.answer(x)
	case roll < m.dropWrites+m.delayWrites:
		// The answer is taken for lost, and the transaction arrives late.
		x.at, x.reply = m.now.Add(time.Duration(m.rng.IntN(20000))*time.Millisecond), false
		m.answer(x)
	case roll < m.dropWrites+m.delayWrites+m.loseAnswers && !m.storeDown:
		x.done = true
		m.commit(x)
		m.answer(x)
	}
	m.txns = append(m.txns, x)
}
