package weights

import (
	"container/heap"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/owner"
	"agateramp/internal/core/router"
)

const (
	// latency is the time of one hop within a region (section 1.1 of the design).
	latency   = 500 * time.Microsecond
	balancers = 3
	syn       = 0x2
	rst       = 0x4
	slots     = 2
)

// placing says how the flows of a model are placed.
type placing int

const (
	// learnedChoices runs the router, the owner and the learner of the product.
	learnedChoices placing = iota
	// hashing sends each flow to one host, with a probability in proportion to its
	// true capacity, and without the unevenness of buckets.
	hashing
)

// model is a queue model of one service in virtual time.
type model struct {
	config    modelConfig
	random    *rand.Rand
	now       time.Duration
	events    modelEvents
	hosts     []*modelHost
	byAddress map[netip.AddrPort]*modelHost
	routers   [balancers]*router.Router
	scratch   router.Scratch
	learner   *Learner
	versions  []*controlpb.TableVersion
	flows     map[uint32]*modelFlow
	next      uint32

	// figures
	waits     []time.Duration
	lateFrom  time.Duration
	refused   int
	published int
	moved     int
	specBytes int
	lastMove  time.Duration
}

type modelConfig struct {
	seed    uint64
	placing placing
	rules   params
	speeds  []float64
	// work is the mean time of a request on a host of speed 1.
	work time.Duration
	load float64
	// wrong is the factor by which announced weights are off, up or down.
	wrong float64
}

type modelHost struct {
	index   int
	name    string
	address netip.AddrPort
	centre  string
	speed   float64
	// correct is the speed that hashing by correct weights knows of.
	correct float64
	// announced is the weight in thousandths.
	announced uint32
	owner     *owner.Owner
	joined    bool
	busy      int
	queue     []*modelFlow
	// area is busy slots integrated over time since reset.
	area    float64
	changed time.Duration
	started int
	maxBusy int
}

type modelFlow struct {
	number  uint32
	key     flow.Key
	arrived time.Duration
	work    float64
	host    *modelHost
}

type modelEvent struct {
	at  time.Duration
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newModel(c modelConfig) *model {
	m := &model{
		config: c, random: rand.New(rand.NewPCG(c.seed, 1)), learner: newLearner(c.rules),
		byAddress: make(map[netip.AddrPort]*modelHost), flows: make(map[uint32]*modelFlow),
	}
	for i := range m.routers {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i + 1)}), 7000)
		m.routers[i] = must(router.New(router.Config{Self: self}))
	}
	for _, speed := range c.speeds {
		m.join(m.addHost(speed))
	}
	m.arrive()
	m.after(time.Second, m.second)
	return m
}

func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

func (m *model) time() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{at: m.now + d, run: run})
}

func (m *model) runUntil(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// rate is the number of flows a second that makes the load.
func (m *model) rate() float64 {
	capacity := 0.0
	for _, speed := range m.config.speeds {
		capacity += speed * slots
	}
	return m.config.load * capacity / m.config.work.Seconds()
}

// arrive starts a flow and plans the next one. Arrivals and their work depend on
// the seed alone, so that ways of placing are compared on the same flows.
func (m *model) arrive() {
	random := rand.New(rand.NewPCG(m.config.seed, 2))
	var next func()
	next = func() {
		m.next++
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, byte(m.next >> 24), byte(m.next >> 16)}), uint16(m.next))
		f := &modelFlow{
			number:  m.next,
			key:     flow.NewKey(6, source, netip.MustParseAddrPort("127.8.0.1:443")),
			arrived: m.now, work: random.ExpFloat64() * m.config.work.Seconds(),
		}
		m.place(f)
		m.after(time.Duration(random.ExpFloat64()/m.rate()*1e9), next)
	}
	m.after(time.Second, next)
}

func (m *model) place(f *modelFlow) {
	if m.config.placing == hashing {
		h := m.hashed(f.key.Hash())
		m.after(latency, func() {
			h.queue = append(h.queue, f)
			m.serveQueue(h)
		})
		return
	}
	m.flows[f.number] = f
	p := f.packet(syn)
	r := m.routers[m.random.IntN(balancers)]
	if forward, ok := r.Decide(m.time(), p, &m.scratch).(*router.Forward); ok {
		m.send(forward.To, forward.Header, p)
	}
}

// hashed returns the host with the lowest rendezvous score.
func (m *model) hashed(hash uint64) (best *modelHost) {
	lowest := math.Inf(1)
	for _, h := range m.hosts {
		x := rand.NewPCG(hash, uint64(h.index))
		u := float64(x.Uint64()>>11+1) / (1 << 53)
		if score := -math.Log(u) / h.correct; score < lowest {
			lowest, best = score, h
		}
	}
	return best
}

// packet returns the SYN or RST of a flow. Its TCP sequence is the flow's number.
func (f *modelFlow) packet(flags byte) *flow.Packet {
	data := make([]byte, 40)
	data[0], data[9], data[32], data[33] = 0x45, 6, 0x50, flags
	binary.BigEndian.PutUint32(data[24:], f.number)
	return &flow.Packet{Key: f.key, Hash: f.key.Hash(), SYN: flags == syn, RST: flags == rst, Data: data}
}

func (m *model) send(to netip.AddrPort, header flow.Header, p *flow.Packet) {
	m.after(latency, func() {
		h := m.byAddress[to]
		m.effects(h, h.owner.HandlePacket(m.time(), &header, p, nil))
	})
}

func (m *model) effects(h *modelHost, effects []owner.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *owner.Deliver:
			if f := m.flows[binary.BigEndian.Uint32(e.Data[24:])]; f != nil && f.host == nil {
				m.serve(h, f)
			}
		case *owner.Forward:
			f := m.flows[binary.BigEndian.Uint32(e.Data[24:])]
			m.send(e.To, e.Header, f.packet(e.Data[33]))
		case *owner.Refuse, *owner.Drop, *owner.Reset:
			m.refused++
		case *owner.Report:
			peer := m.byAddress[e.To]
			m.after(latency, func() {
				m.effects(peer, peer.owner.HandleEvent(m.time(), owner.ReportReceived{Peer: h.address, Report: e.Report}, nil))
				m.effects(h, h.owner.HandleEvent(m.time(), owner.ReportAcked{Peer: e.To, Sequence: e.Report.GetSequence()}, nil))
			})
		}
	}
}

func (m *model) serveQueue(h *modelHost) {
	for h.busy < slots && len(h.queue) > 0 {
		f := h.queue[0]
		h.queue = h.queue[1:]
		m.serve(h, f)
	}
}

// advance integrates the busy slots of a host; it precedes each change.
func (m *model) advance(h *modelHost) {
	h.area += float64(h.busy) * (m.now - h.changed).Seconds()
	h.changed = m.now
}

// serve starts the work of a flow.
func (m *model) serve(h *modelHost, f *modelFlow) {
	m.advance(h)
	f.host = h
	if f.arrived >= m.lateFrom {
		m.waits = append(m.waits, m.now-f.arrived)
	}
	h.busy++
	h.started++
	h.maxBusy = max(h.maxBusy, h.busy)
	m.after(time.Duration(f.work/h.speed*1e9), func() {
		m.advance(h)
		h.busy--
		if m.config.placing == hashing {
			m.serveQueue(h)
			return
		}
		delete(m.flows, f.number)
		m.effects(h, h.owner.HandleEvent(m.time(), owner.ReplySeen{Key: f.key}, nil))
		header := flow.Header{ServiceID: 1, Version: m.versions[0].GetVersion(), Hinted: true}
		m.effects(h, h.owner.HandlePacket(m.time(), &header, f.packet(rst), nil))
	})
}

// reset starts a new period of measurement.
func (m *model) reset() {
	m.waits, m.refused, m.lateFrom = nil, 0, m.now
	for _, h := range m.hosts {
		h.area, h.changed, h.started, h.maxBusy = 0, m.now, 0, 0
	}
}

// imbalance returns the maximum over the mean of busy time divided by capacity.
func (m *model) imbalance() float64 {
	sum, most := 0.0, 0.0
	for _, h := range m.hosts {
		m.advance(h)
		sum += h.area
		most = max(most, h.area)
	}
	return most / (sum / float64(len(m.hosts)))
}

// wait returns a percentile of the waits in the period. Flows that still wait for
// a host count with their wait up to now.
func (m *model) wait(percentile float64) time.Duration {
	for _, h := range m.hosts {
		for _, f := range h.queue {
			if f.arrived >= m.lateFrom {
				m.waits = append(m.waits, m.now-f.arrived)
			}
		}
		h.queue = nil
	}
	slices.Sort(m.waits)
	return m.waits[int(percentile*float64(len(m.waits)-1))]
}
