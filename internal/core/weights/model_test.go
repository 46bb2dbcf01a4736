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
	// syn and rst are TCP flags.
	syn = 0x2
	rst = 0x4
	// slots is the number of requests that a host works on at once.
	slots = 2
)

// placement is how a model assigns flows to hosts.
type placement int

const (
	// learnedPlacement uses the router, owner and weights packages.
	learnedPlacement placement = iota
	// hashedPlacement selects the host of each flow by its hash, with a probability in
	// proportion to the true capacity of the host. Flows are placed one by one, so that
	// there are no differences between hosts that whole buckets would cause.
	hashedPlacement
)

// model is a queue model of one service in virtual time: flows arrive at random, and each
// occupies a slot of a host for the time of its work.
type model struct {
	config    modelConfig
	random    *rand.Rand
	elapsed   time.Duration
	events    modelEvents
	hosts     []*modelHost
	byAddress map[netip.AddrPort]*modelHost
	routers   [balancers]*router.Router
	scratch   router.Scratch
	learner   *Learner
	versions  []*controlpb.TableVersion
	flows     map[uint32]*modelFlow
	lastFlow  uint32

	// The fields below are measurements. waits are the times from arrival to the start of
	// work, for flows that arrived from measuredFrom on. lastMove is the time of the last
	// version that moved buckets, and specBytes the total size of the published specs.
	waits             []time.Duration
	measuredFrom      time.Duration
	refused           int
	publishedVersions int
	movedBuckets      int
	specBytes         int
	lastMove          time.Duration
}

// modelConfig configures a model. Models with the same seed have the same flows.
type modelConfig struct {
	seed      uint64
	placement placement
	params    params
	speeds    []float64
	// meanWork is the mean time of a request on a host of speed 1.
	meanWork time.Duration
	// load is the share of the total capacity that the flows occupy.
	load float64
	// weightError is the factor by which announced weights are too high or too low.
	weightError float64
}

// modelHost is a host of a model.
type modelHost struct {
	index   int
	name    string
	address netip.AddrPort
	centre  string
	speed   float64
	// nominalSpeed is the speed by which hashedPlacement weighs the host. It does not
	// follow changes of speed.
	nominalSpeed float64
	// announcedWeight is the announced weight in thousandths.
	announcedWeight uint32
	owner           *owner.Owner
	joined          bool
	busy            int
	// queue holds the flows that wait for a slot with hashedPlacement.
	queue []*modelFlow
	// busySeconds is the number of busy slots integrated over time since the measurement
	// began, up to busySecondsAt.
	busySeconds   float64
	busySecondsAt time.Duration
	startedFlows  int
	maxBusy       int
}

// modelFlow is a flow with one request. Its work is in seconds on a host of speed 1.
type modelFlow struct {
	number  uint32
	key     flow.Key
	arrived time.Duration
	work    float64
	host    *modelHost
}

// modelEvent is a function that runs at a time since the start of the model.
type modelEvent struct {
	at  time.Duration
	run func()
}

// modelEvents is a heap of events, the earliest first. Its methods implement
// heap.Interface.
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

// newModel returns a model whose hosts have joined and whose flows arrive from 1 s on.
func newModel(c modelConfig) *model {
	m := &model{
		config: c, random: rand.New(rand.NewPCG(c.seed, 1)), learner: newLearner(c.params),
		byAddress: make(map[netip.AddrPort]*modelHost), flows: make(map[uint32]*modelFlow),
	}
	for i := range m.routers {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(i + 1)}), 7000)
		m.routers[i] = must(router.New(router.Config{Self: self}))
	}
	for _, speed := range c.speeds {
		m.joinHost(m.addHost(speed))
	}
	m.scheduleArrivals()
	m.schedule(time.Second, m.runLearner)
	return m
}

// must returns x and panics on an error.
func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// clock returns the present virtual time.
func (m *model) clock() time.Time { return time.Unix(1_000_000, 0).Add(m.elapsed) }

// schedule runs a function after d of virtual time.
func (m *model) schedule(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{at: m.elapsed + d, run: run})
}

// runUntil runs the events up to a time since the start of the model.
func (m *model) runUntil(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(modelEvent)
		m.elapsed = e.at
		e.run()
	}
	m.elapsed = end
}

// arrivalRate returns the number of flows per second that gives the configured load.
func (m *model) arrivalRate() float64 {
	capacity := 0.0
	for _, speed := range m.config.speeds {
		capacity += speed * slots
	}
	return m.config.load * capacity / m.config.meanWork.Seconds()
}

// scheduleArrivals schedules the arrival of flows. Their times and work depend on the seed
// alone, so that placements are compared on the same flows.
func (m *model) scheduleArrivals() {
	random := rand.New(rand.NewPCG(m.config.seed, 2))
	var next func()
	next = func() {
		m.lastFlow++
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, byte(m.lastFlow >> 24), byte(m.lastFlow >> 16)}), uint16(m.lastFlow))
		f := &modelFlow{
			number:  m.lastFlow,
			key:     flow.NewKey(6, source, netip.MustParseAddrPort("127.8.0.1:443")),
			arrived: m.elapsed, work: random.ExpFloat64() * m.config.meanWork.Seconds(),
		}
		m.placeFlow(f)
		m.schedule(time.Duration(random.ExpFloat64()/m.arrivalRate()*1e9), next)
	}
	m.schedule(time.Second, next)
}

// placeFlow sends the first packet of a flow to the host that the placement selects.
func (m *model) placeFlow(f *modelFlow) {
	if m.config.placement == hashedPlacement {
		h := m.hashedHost(f.key.Hash())
		m.schedule(latency, func() {
			h.queue = append(h.queue, f)
			m.startQueuedWork(h)
		})
		return
	}
	m.flows[f.number] = f
	p := f.packet(syn)
	r := m.routers[m.random.IntN(balancers)]
	if forward, ok := r.Decide(m.clock(), p, &m.scratch).(*router.Forward); ok {
		m.sendPacket(forward.To, forward.Header, p)
	}
}

// hashedHost returns the host with the lowest rendezvous score.
func (m *model) hashedHost(hash uint64) (best *modelHost) {
	lowest := math.Inf(1)
	for _, h := range m.hosts {
		x := rand.NewPCG(hash, uint64(h.index))
		u := float64(x.Uint64()>>11+1) / (1 << 53)
		if score := -math.Log(u) / h.nominalSpeed; score < lowest {
			lowest, best = score, h
		}
	}
	return best
}

// packet returns the SYN or RST of a flow. Its TCP sequence number is the flow number.
func (f *modelFlow) packet(flags byte) *flow.Packet {
	data := make([]byte, 40)
	data[0], data[9], data[32], data[33] = 0x45, 6, 0x50, flags
	binary.BigEndian.PutUint32(data[24:], f.number)
	return &flow.Packet{Key: f.key, Hash: f.key.Hash(), SYN: flags == syn, RST: flags == rst, Data: data}
}

// sendPacket sends a packet to the owner of a host.
func (m *model) sendPacket(to netip.AddrPort, header flow.Header, p *flow.Packet) {
	m.schedule(latency, func() {
		h := m.byAddress[to]
		m.applyEffects(h, h.owner.HandlePacket(m.clock(), &header, p, nil))
	})
}

// applyEffects carries out the effects that the owner of a host returned.
func (m *model) applyEffects(h *modelHost, effects []owner.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *owner.Deliver:
			if f := m.flows[binary.BigEndian.Uint32(e.Data[24:])]; f != nil && f.host == nil {
				m.startWork(h, f)
			}
		case *owner.Forward:
			f := m.flows[binary.BigEndian.Uint32(e.Data[24:])]
			m.sendPacket(e.To, e.Header, f.packet(e.Data[33]))
		case *owner.Refuse, *owner.Drop, *owner.Reset:
			m.refused++
		case *owner.Report:
			peer := m.byAddress[e.To]
			m.schedule(latency, func() {
				m.applyEffects(peer, peer.owner.HandleEvent(m.clock(), owner.ReportReceived{Peer: h.address, Report: e.Report}, nil))
				m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.ReportAcked{Peer: e.To, Sequence: e.Report.GetSequence()}, nil))
			})
		}
	}
}

// startQueuedWork starts the work of queued flows while slots are free.
func (m *model) startQueuedWork(h *modelHost) {
	for h.busy < slots && len(h.queue) > 0 {
		f := h.queue[0]
		h.queue = h.queue[1:]
		m.startWork(h, f)
	}
}

// updateBusySeconds integrates the busy slots of a host up to now. It is called before
// each change of busy.
func (m *model) updateBusySeconds(h *modelHost) {
	h.busySeconds += float64(h.busy) * (m.elapsed - h.busySecondsAt).Seconds()
	h.busySecondsAt = m.elapsed
}

// startWork starts the work of a flow at a host and schedules its end.
func (m *model) startWork(h *modelHost, f *modelFlow) {
	m.updateBusySeconds(h)
	f.host = h
	if f.arrived >= m.measuredFrom {
		m.waits = append(m.waits, m.elapsed-f.arrived)
	}
	h.busy++
	h.startedFlows++
	h.maxBusy = max(h.maxBusy, h.busy)
	m.schedule(time.Duration(f.work/h.speed*1e9), func() {
		m.updateBusySeconds(h)
		h.busy--
		if m.config.placement == hashedPlacement {
			m.startQueuedWork(h)
			return
		}
		delete(m.flows, f.number)
		m.applyEffects(h, h.owner.HandleEvent(m.clock(), owner.ReplySeen{Key: f.key}, nil))
		header := flow.Header{ServiceID: 1, Version: m.versions[0].GetVersion(), Hinted: true}
		m.applyEffects(h, h.owner.HandlePacket(m.clock(), &header, f.packet(rst), nil))
	})
}

// resetMeasurement starts a new period of measurement.
func (m *model) resetMeasurement() {
	m.waits, m.refused, m.measuredFrom = nil, 0, m.elapsed
	for _, h := range m.hosts {
		h.busySeconds, h.busySecondsAt, h.startedFlows, h.maxBusy = 0, m.elapsed, 0, 0
	}
}

// imbalance returns the maximum over the mean of the hosts' busy time in the period. All
// hosts have the same number of slots.
func (m *model) imbalance() float64 {
	sum, most := 0.0, 0.0
	for _, h := range m.hosts {
		m.updateBusySeconds(h)
		sum += h.busySeconds
		most = max(most, h.busySeconds)
	}
	return most / (sum / float64(len(m.hosts)))
}

// waitPercentile returns a percentile, from 0 to 1, of the waits in the period. Flows that
// are still in a queue count with their wait up to now. It empties the queues.
func (m *model) waitPercentile(percentile float64) time.Duration {
	for _, h := range m.hosts {
		for _, f := range h.queue {
			if f.arrived >= m.measuredFrom {
				m.waits = append(m.waits, m.elapsed-f.arrived)
			}
		}
		h.queue = nil
	}
	slices.Sort(m.waits)
	return m.waits[int(percentile*float64(len(m.waits)-1))]
}
