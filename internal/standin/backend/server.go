// Package backend is a stand-in for a backend server: it answers the requests of
// the load tool with slots and a speed, and records what it ran and for whom.
package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/load/history"
	"agateramp/internal/load/payload"
	"agateramp/internal/process/group"
)

const (
	defaultSpeed       = 1000
	defaultConnections = 20000
	// keptAnswers is how many answers of a connection are kept for
	// retransmitted requests.
	keptAnswers = 16
)

// Config configures a Server.
type Config struct {
	// Name is the name of the host. It must be set.
	Name string
	// Service is the id of the service that the server belongs to. It must be set.
	Service uint32
	// Slots is how many requests run at once; more wait. Empty means 1.
	Slots int
	// Speed divides the work of a request, in thousandths. Empty means 1,000.
	Speed int
	// MaxConnections bounds the connections; the oldest is forgotten first. Empty
	// means 20,000.
	MaxConnections int
	// History records the runs. Empty means that only the server does.
	History *history.History
	// Observe takes each run when it starts and when it ends, one call at a time.
	// Empty means that nobody does.
	Observe func(history.Run)
	// Group runs the requests. It must be set.
	Group *group.Group
}

// Server runs requests. A request that is retransmitted on its connection gets
// the answer again without another run, as TCP would have it; the same request
// on another connection runs again. Its methods are safe for concurrent use.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu          sync.Mutex
	changed     *sync.Cond
	service     uint32
	speed       int
	delay       time.Time // answers are held back until then
	hold        bool
	number      uint64
	busy        int
	highest     int
	runs        []history.Run
	perRequest  map[uint64]int
	connections map[any]*connection
	order       []any
}

// connection is one transport connection, as told apart by its peer.
type connection struct {
	flow    uint64
	answers map[uint32]*result
	order   []uint32
	// forgotten is the number of sequences, counted from 0, whose answers may have
	// been dropped. A late copy of their requests is not run again.
	forgotten uint32
}

// result is nil until the request has run.
type result struct {
	request uint64
	answer  []byte
	reply   func(answer []byte)
}

// New returns a server that takes requests from an adapter.
func New(cfg Config) (s *Server, err error) {
	if cfg.Name == "" || cfg.Service == 0 || cfg.Group == nil {
		return nil, errors.New("backend server: name, service and group must be set")
	}
	if cfg.Slots == 0 {
		cfg.Slots = 1
	}
	if cfg.Speed == 0 {
		cfg.Speed = defaultSpeed
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultConnections
	}
	s = &Server{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots), service: cfg.Service, speed: cfg.Speed,
		perRequest: make(map[uint64]int), connections: make(map[any]*connection),
	}
	s.changed = sync.NewCond(&s.mu)
	if cfg.History != nil {
		cfg.History.AddHost(cfg.Name, uint32(cfg.Slots))
	}
	cfg.Group.Go("backend "+cfg.Name+" stop", func(ctx context.Context) error {
		<-ctx.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
		return nil
	})
	return s, nil
}

// SetService changes the service that the server belongs to, as when its address
// is reassigned.
func (s *Server) SetService(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = id
}

// SetSpeed changes the speed, in thousandths, of requests that start from now on.
func (s *Server) SetSpeed(thousandths int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed = max(thousandths, 1)
}

// Hold keeps all answers back until it is called with false.
func (s *Server) Hold(hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
	s.changed.Broadcast()
}

// DelayUntil keeps all answers back until a point in time.
func (s *Server) DelayUntil(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = t
}

// Runs returns how often the request with an id was run.
func (s *Server) Runs(request uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perRequest[request]
}

// Record returns all runs in the order in which they started.
func (s *Server) Record() []history.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Busy returns how many requests with work are running or waiting and the most
// that ever were at once.
func (s *Server) Busy() (now, highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.highest
}

// forget drops a connection that its peer closed.
func (s *Server) forget(peer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, peer)
}

// serve takes the bytes of a request on the connection of peer; reply sends the
// answer. Bytes that are no request are ignored.
func (s *Server) serve(peer any, data []byte, reply func(answer []byte)) {
	request, body, err := payload.ParseRequest(data)
	if err != nil {
		return
	}
	s.mu.Lock()
	r, fresh := s.accept(peer, &request)
	if r == nil {
		s.mu.Unlock()
		return
	}
	if !fresh {
		answer := r.answer
		if answer == nil {
			r.reply = reply
		}
		s.mu.Unlock()
		if answer != nil {
			reply(answer)
		}
		return
	}
	r.reply = reply
	run := s.start(&request)
	s.mu.Unlock()
	body = slices.Clone(body)
	if request.WorkMicros == 0 && !s.heldBack() {
		s.finish(r, &run, &request, body)
		return
	}
	s.cfg.Group.Go("backend "+s.cfg.Name+" run", func(ctx context.Context) error {
		s.work(ctx, &run, &request)
		if s.waitHeld(ctx) {
			s.finish(r, &run, &request, body)
		}
		return nil
	})
}

// accept finds or creates the result of a request. It returns nil for a late copy
// of a request whose answer is no longer kept. It is called with mu locked.
func (s *Server) accept(peer any, request *payload.Request) (r *result, fresh bool) {
	c := s.connections[peer]
	if c == nil || c.flow != request.Flow {
		if c == nil {
			s.remember(peer)
		}
		c = &connection{flow: request.Flow, answers: make(map[uint32]*result)}
		s.connections[peer] = c
	}
	if r = c.answers[request.Sequence]; r != nil && r.request == request.ID {
		return r, false
	}
	if request.Sequence < c.forgotten {
		return nil, false
	}
	r = &result{request: request.ID}
	c.answers[request.Sequence] = r
	c.order = append(c.order, request.Sequence)
	if len(c.order) > keptAnswers {
		delete(c.answers, c.order[0])
		c.forgotten = max(c.forgotten, c.order[0]+1)
		c.order = c.order[1:]
	}
	return r, true
}

// remember makes room for the connection of a new peer. It is called with mu locked.
func (s *Server) remember(peer any) {
	for len(s.connections) >= s.cfg.MaxConnections && len(s.order) > 0 {
		delete(s.connections, s.order[0])
		s.order = s.order[1:]
	}
	// Connections that their peers closed stay in order until then.
	if len(s.order) >= 2*s.cfg.MaxConnections {
		s.order = slices.DeleteFunc(s.order, func(p any) bool { return s.connections[p] == nil })
	}
	s.order = append(s.order, peer)
}

// start records the beginning of a run. It is called with mu locked.
func (s *Server) start(request *payload.Request) history.Run {
	s.number++
	run := history.Run{
		Host: s.cfg.Name, Number: s.number, HostService: s.service,
		Service: request.Service, Flow: request.Flow, Request: request.ID, Sequence: request.Sequence,
		Idempotent: request.Idempotent, Started: time.Now(), Slots: uint32(s.cfg.Slots),
	}
	s.perRequest[request.ID]++
	s.runs = append(s.runs, run)
	if request.WorkMicros > 0 {
		s.busy++
		s.highest = max(s.highest, s.busy)
	}
	if s.cfg.History != nil {
		s.cfg.History.RecordRun(run)
	}
	if s.cfg.Observe != nil {
		s.cfg.Observe(run)
	}
	return run
}

// work uses a slot for the time that the request takes.
func (s *Server) work(ctx context.Context, run *history.Run, request *payload.Request) {
	if request.WorkMicros == 0 {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
	}()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	busy := time.Duration(request.WorkMicros) * time.Microsecond * defaultSpeed / time.Duration(s.speed)
	s.mu.Unlock()
	select {
	case <-time.After(busy):
		run.BusyMicros = uint32(busy / time.Microsecond)
	case <-ctx.Done():
	}
}

func (s *Server) heldBack() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hold || time.Now().Before(s.delay)
}

// waitHeld waits until answers are not held back and reports false if the server
// stopped before.
func (s *Server) waitHeld(ctx context.Context) bool {
	s.mu.Lock()
	for s.hold && ctx.Err() == nil {
		s.changed.Wait()
	}
	delay := time.Until(s.delay)
	s.mu.Unlock()
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) finish(r *result, run *history.Run, request *payload.Request, body []byte) {
	run.Finished = time.Now()
	answer := payload.Answer{
		Request: *request, Host: run.Host, HostService: run.HostService, Slots: run.Slots,
		Run: run.Number, BusyMicros: run.BusyMicros,
	}
	encoded := answer.Append(nil, body)
	s.mu.Lock()
	r.answer = encoded
	reply := r.reply
	s.runs[run.Number-1] = *run
	if s.cfg.Observe != nil {
		s.cfg.Observe(*run)
	}
	s.mu.Unlock()
	if s.cfg.History != nil {
		s.cfg.History.RecordRun(*run)
	}
	reply(encoded)
}
