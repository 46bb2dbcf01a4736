package shard

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agateramp/internal/control/controlpb"
)

// The model of TestSchedules runs holders, balancers and agents in virtual time over a
// store that loses answers, delays transactions and has outages.

const modelTick = 100 * time.Millisecond

// modelHolderKey is the holder key of the shard of the model, and modelTableKeys the table keys of
// its services.
var modelHolderKey, modelTableKeys = HolderKey(1), map[uint32]string{1: TableKey(1), 17: TableKey(17), 33: TableKey(33)}

// modelServiceIDs lists the services of the model. The last one is added and removed in a
// schedule.
var modelServiceIDs = []uint32{1, 17, 33}

// modelEntry is a key of the store. spec is nil for keys other than table keys.
type modelEntry struct {
	spec        *controlpb.TableSpec
	create, mod int64
}

// modelBalancer is a balancer. holder is nil unless it holds the shard.
type modelBalancer struct {
	name            string
	incarnation     uint64
	alive           bool
	pausedUntil     time.Time
	watchesLagUntil time.Time // its watches deliver nothing until then
	leased          bool
	holder          *Holder
	inbox           []Event
	specs           map[uint32]*controlpb.TableSpec
	settings        *Settings
	holderPeer      *modelBalancer // the holder that it has a stream to
	holderPeerFence int64
	// reported holds the agents reported on that stream, and sentAcks the newest version
	// acknowledged on it, by agent name or, for the balancer itself, by service id.
	reported map[string]bool
	sentAcks map[string]uint64
}

// modelAgent is the agent of a host of one service.
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
	version     uint64    // the newest table version that it has received
	transferAt  time.Time // when its directory entries for version are transferred
	transferred uint64    // the newest table version whose directory entries are transferred
}

// modelTxn is a transaction that the store has yet to commit or has committed.
type modelTxn struct {
	sender *modelBalancer
	holder *Holder
	// settingsRevision is the revision of the configuration that the holder based the
	// publication on.
	settingsRevision int64
	publish          *Publish
	commitAt         time.Time
	answerArrives    bool // whether the sender receives the outcome at the commit
	done             bool
}

// model is the state of the simulation.
type model struct {
	rng         *rand.Rand
	start       time.Time
	now         time.Time
	storeDown   bool
	revision    int64
	entries     map[string]*modelEntry
	leaseExpiry time.Time
	leaseOwner  *modelBalancer
	settings    *Settings
	balancers   []*modelBalancer
	agents      []*modelAgent
	txns        []*modelTxn
	// loseAnswers, dropWrites and delayWrites are the shares of the next transactions with
	// this fault, in percent.
	loseAnswers, dropWrites, delayWrites int
	// versionContents holds the encoded table versions by "service id/version".
	versionContents map[string]string
	// removedAt holds when each host was last left out without a planned stop.
	removedAt map[string]time.Time
	// newestSettings holds, by service, the newest configuration revision that a committed
	// change was based on.
	newestSettings map[uint32]int64
	// removedService33 is set once service 33 was removed; service ids are never used
	// again.
	removedService33               bool
	committed, refused, lossesKept int
	violations                     []string
}

// newModel returns a model with two services, three balancers and seven agents.
func newModel(seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), entries: map[string]*modelEntry{}, revision: 1,
		versionContents: map[string]string{}, removedAt: map[string]time.Time{}, newestSettings: map[uint32]int64{}, settings: &Settings{},
	}
	m.now = m.start
	m.configure(func(s *Settings) {
		for _, id := range modelServiceIDs[:2] {
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

// failf records a violation of an invariant.
func (m *model) failf(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// configure writes an edited copy of the configuration as the next version.
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

// startBalancer starts a new process of a balancer.
func (m *model) startBalancer(b *modelBalancer) {
	b.incarnation++
	b.alive, b.leased, b.holder, b.inbox, b.holderPeer = true, true, nil, nil, nil
	b.pausedUntil, b.watchesLagUntil = time.Time{}, time.Time{}
	b.specs, b.settings = map[uint32]*controlpb.TableSpec{}, m.settings
	m.readWatches(b)
}

// startAgent starts a new process of an agent.
func (m *model) startAgent(a *modelAgent) {
	a.incarnation++
	a.alive, a.leaving, a.version, a.transferred, a.streams = true, false, 0, 0, map[string]bool{}
}

// stopAgent ends the process of an agent and its streams.
func (m *model) stopAgent(a *modelAgent) {
	a.alive, a.downSince = false, m.now
	for _, b := range m.balancers {
		m.breakStream(a, b)
	}
}

// breakStream ends the stream of an agent at a balancer. The balancer reports this to the
// holder.
func (m *model) breakStream(a *modelAgent, b *modelBalancer) {
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
			m.sendToHolder(b, MemberReported{b.name, &controlpb.MemberReport{Service: a.service, Member: m.memberOf(a), Gone: true}})
			return
		}
		m.sendToHolder(b, HostSuspected{b.name, &controlpb.Suspect{
			ServiceId: a.id, Host: a.name, Suspected: true, Incarnation: a.incarnation,
		}})
	}
}

// sendToHolder queues an event at the holder that the balancer has a stream to.
func (m *model) sendToHolder(b *modelBalancer, e Event) {
	if b.holderPeer != nil {
		b.holderPeer.inbox = append(b.holderPeer.inbox, e)
	}
}

// memberOf returns what an agent announces.
func (m *model) memberOf(a *modelAgent) *controlpb.Member {
	return &controlpb.Member{
		Host: a.name, Address: "127.0.0.1:" + a.name[1:], Incarnation: a.incarnation, Weight: 1000, Draining: a.leaving,
	}
}

// running reports whether the process of a balancer is alive and not paused.
func (m *model) running(b *modelBalancer) bool { return b.alive && !m.now.Before(b.pausedUntil) }

// readWatches gives a balancer the present specs and configuration.
func (m *model) readWatches(b *modelBalancer) {
	for _, id := range modelServiceIDs {
		if e := m.entries[modelTableKeys[id]]; e != nil && Newer(e.spec, b.specs[id]) {
			b.specs[id] = e.spec
		}
	}
	b.settings = m.settings
}

// tick advances the time by modelTick.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	if m.leaseOwner != nil && !m.storeDown && m.now.After(m.leaseExpiry) {
		delete(m.entries, modelHolderKey)
		m.leaseOwner = nil
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
	for _, txn := range m.txns {
		if !txn.done && !m.storeDown && !m.now.Before(txn.commitAt) {
			txn.done = true
			committed := m.commit(txn)
			if txn.answerArrives && committed && txn.sender.holder == txn.holder {
				txn.sender.inbox = append(txn.sender.inbox, PublishConfirmed{m.revision})
			} else if txn.answerArrives {
				m.answerWithStored(txn)
			}
		}
	}
}

// answerWithStored makes the sender read the store, as after a failed transaction or a lost
// answer.
func (m *model) answerWithStored(txn *modelTxn) {
	if txn.sender.holder != txn.holder {
		return
	}
	if e := m.entries[modelHolderKey]; e == nil || e.create != txn.holder.Fence() {
		txn.sender.holder = nil
		return
	}
	txn.sender.inbox = append(txn.sender.inbox, PublishUnconfirmed{m.storedSpecs()})
}

// storedSpecs returns the specs in the store.
func (m *model) storedSpecs() (stored []StoredSpec) {
	for _, id := range modelServiceIDs {
		if e := m.entries[modelTableKeys[id]]; e != nil {
			stored = append(stored, StoredSpec{e.spec, e.mod})
		}
	}
	return stored
}

// leasedNames returns the balancers that have a leased key.
func (m *model) leasedNames() (names []string) {
	for _, b := range m.balancers {
		if b.leased {
			names = append(names, b.name)
		}
	}
	return names
}

// runBalancer runs one tick of a balancer and of the holder in its process.
func (m *model) runBalancer(b *modelBalancer) {
	if !m.storeDown {
		if !b.leased || !m.now.Before(b.watchesLagUntil) {
			m.readWatches(b) // a balancer reads the specs before it registers again
		}
		b.leased = true
		if e := m.entries[modelHolderKey]; m.leaseOwner == b && b.holder != nil && b.holder.Fence() == e.create {
			m.leaseExpiry = m.now.Add(5 * time.Second)
		}
		if m.leaseOwner == nil && m.rng.IntN(3) == 0 {
			m.acquire(b)
		}
		if e := m.entries[modelHolderKey]; b.holder != nil && (e == nil || e.create != b.holder.Fence()) {
			b.holder = nil
		}
		m.connectToHolder(b)
	}
	m.sendReports(b)
	if b.holder == nil {
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
		effects = b.holder.Handle(m.now, e, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case *Publish:
			m.submit(b, e)
		case *PushSpec:
			for _, to := range m.balancers {
				if to.name == e.Balancer && m.running(to) && Newer(e.Spec, to.specs[e.Spec.GetServiceId()]) {
					to.specs[e.Spec.GetServiceId()] = e.Spec
				}
			}
		case *HostsKept:
			m.lossesKept++
		}
	}
}

// acquire gives the shard to a balancer.
func (m *model) acquire(b *modelBalancer) {
	m.revision++
	m.entries[modelHolderKey] = &modelEntry{create: m.revision, mod: m.revision}
	m.leaseOwner, m.leaseExpiry = b, m.now.Add(5*time.Second)
	b.holder, _ = NewHolder(HolderConfig{
		Shard: 1, Fence: m.revision, Now: m.now, Stored: m.storedSpecs(), MinSettingsRevision: m.settings.Revision,
		Settings: b.settings, Balancers: m.leasedNames(),
	})
	b.inbox = nil
}

// connectToHolder opens the stream of a balancer to the present holder.
func (m *model) connectToHolder(b *modelBalancer) {
	e := m.entries[modelHolderKey]
	if e == nil || m.leaseOwner == nil || !m.running(m.leaseOwner) || (b.holderPeer == m.leaseOwner && b.holderPeerFence == e.create) {
		return
	}
	b.holderPeer, b.holderPeerFence = m.leaseOwner, e.create
	b.reported, b.sentAcks = map[string]bool{}, map[string]uint64{}
	m.sendToHolder(b, BalancerConnected{b.name, b.incarnation})
}

// sendReports sends the agents and acknowledgements that the holder does not have yet.
func (m *model) sendReports(b *modelBalancer) {
	if b.holderPeer == nil {
		return
	}
	for _, a := range m.agents {
		if a.alive && a.streams[b.name] && !b.reported[a.name] {
			b.reported[a.name] = true
			delete(b.sentAcks, a.name)
			m.sendToHolder(b, MemberReported{b.name, &controlpb.MemberReport{Service: a.service, Member: m.memberOf(a)}})
		}
		if a.streams[b.name] && a.transferred > b.sentAcks[a.name] {
			b.sentAcks[a.name] = a.transferred
			m.sendToHolder(b, AckReceived{b.name, &controlpb.Ack{Name: a.name, ServiceId: a.id, Version: a.transferred, Transferred: true}})
		}
	}
	for id, spec := range b.specs {
		if key := fmt.Sprint(id); NewestVersion(spec) > b.sentAcks[key] {
			b.sentAcks[key] = NewestVersion(spec)
			m.sendToHolder(b, AckReceived{b.name, &controlpb.Ack{Name: b.name, ServiceId: id, Version: NewestVersion(spec), Balancer: true}})
		}
	}
}

// runAgent runs one tick of an agent: it opens streams and transfers its directory entries.
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

// submit sends a publication to the store, with a random fault.
func (m *model) submit(b *modelBalancer, p *Publish) {
	txn := &modelTxn{sender: b, holder: b.holder, settingsRevision: b.holder.settings.Revision, publish: p, commitAt: m.now, answerArrives: true}
	percent := m.rng.IntN(100)
	switch {
	case percent < m.dropWrites:
		txn.done = true
		m.answerWithStored(txn)
	case percent < m.dropWrites+m.delayWrites:
		// The holder assumes that the answer was lost, and the transaction is committed late.
		txn.commitAt, txn.answerArrives = m.now.Add(time.Duration(m.rng.IntN(20000))*time.Millisecond), false
		m.answerWithStored(txn)
	case percent < m.dropWrites+m.delayWrites+m.loseAnswers && !m.storeDown:
		txn.done = true
		m.commit(txn)
		m.answerWithStored(txn)
	}
	m.txns = append(m.txns, txn)
}
