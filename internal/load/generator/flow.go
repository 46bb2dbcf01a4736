package generator

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/load/history"
	"agateramp/internal/load/payload"
)

// flowRun is one flow of a generator.
type flowRun struct {
	g      *Generator
	id     uint64
	stream Stream
	// resent is set once a packet was retransmitted.
	resent bool
}

// newFlow is called by one goroutine only, so that flow ids repeat with the seed.
func (g *Generator) newFlow() *flowRun { return &flowRun{g: g, id: g.random.Uint64()} }

// request returns the request with a sequence. Its id follows from the flow's.
func (f *flowRun) request(sequence uint32) payload.Request {
	cfg := &f.g.cfg
	work := cfg.WorkMicros
	if sequence > 0 {
		work = cfg.NextWorkMicros
	}
	// An odd multiplier keeps the ids of a flow distinct.
	return payload.Request{
		First: sequence == 0, Idempotent: cfg.Idempotent, Service: cfg.Service, Sequence: sequence,
		Flow: f.id, ID: f.id ^ uint64(sequence+1)*0xbf58476d1ce4e5b9, WorkMicros: work, BodySize: cfg.BodySize,
	}
}

func (f *flowRun) run(ctx context.Context) (err error) {
	cfg := &f.g.cfg
	if f.stream, err = cfg.Transport.Open(); err != nil {
		return err
	}
	defer f.stream.Close()
	cfg.History.RecordFlow(history.Flow{ID: f.id, Service: cfg.Service, Idempotent: cfg.Idempotent, Opened: time.Now()})
	end := f.exchange(ctx)
	cfg.History.RecordEnd(f.id, end, time.Now())
	if end == history.EndRefused || f.resent {
		f.linger()
	}
	return nil
}

// exchange sends the requests of the flow one after the other.
func (f *flowRun) exchange(ctx context.Context) history.End {
	if end := f.connect(); end != history.EndOpen {
		return end
	}
	for sequence := range uint32(f.g.cfg.Length) {
		sent := time.Now()
		request := f.request(sequence)
		if end := f.ask(&request); end != history.EndOpen {
			return end
		}
		last := int(sequence)+1 == f.g.cfg.Length
		if !last && !sleepUntil(ctx, sent.Add(time.Duration(f.g.cfg.IntervalMS)*time.Millisecond)) {
			return history.EndStopped
		}
	}
	return history.EndCompleted
}

// attempts calls try with growing deadlines until it returns another error than
// a timeout or the retransmissions are used up.
func (f *flowRun) attempts(try func(deadline time.Time) error) (err error) {
	for i := 0; i <= max(f.g.cfg.Retransmissions, 0); i++ {
		if i > 0 {
			f.resent = true
			f.g.retransmissions.Add(1)
		}
		wait := time.Duration(f.g.cfg.RetransmitMS) * time.Millisecond * time.Duration(min(1<<min(i, maxBackoff), maxBackoff))
		err = try(time.Now().Add(wait))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return err
}

func (f *flowRun) connect() history.End { return endOf(f.attempts(f.stream.Connect)) }

var errRefused = errors.New("refused")

func endOf(err error) history.End {
	switch {
	case err == nil:
		return history.EndOpen
	case errors.Is(err, errRefused):
		return history.EndRefused
	case errors.Is(err, ErrReset):
		return history.EndReset
	}
	return history.EndUnanswered
}

// ask sends a request and waits for its answer.
func (f *flowRun) ask(request *payload.Request) history.End {
	f.g.requests.Add(1)
	encoded := request.Append(nil)
	sent := time.Now()
	err := f.attempts(func(deadline time.Time) error {
		if err := f.stream.Send(request.Sequence, encoded); err != nil {
			return err
		}
		return f.await(request, deadline)
	})
	if err == nil {
		f.g.recordLatency(time.Since(sent))
	}
	return endOf(err)
}

// await reads until the answer to a request arrives.
func (f *flowRun) await(request *payload.Request, deadline time.Time) error {
	for {
		data, err := f.stream.Receive(deadline)
		if err != nil {
			return err
		}
		if len(f.g.cfg.Refusal) > 0 && bytes.Equal(data, f.g.cfg.Refusal) {
			return errRefused
		}
		if f.check(data, request) {
			return nil
		}
	}
}

// check records an answer and reports whether it completes the request. A late
// copy of the answer to an earlier request is in order.
func (f *flowRun) check(data []byte, request *payload.Request) bool {
	now := time.Now()
	answer, err := payload.ParseAnswer(data)
	expected := *request
	if err == nil && answer.Request.Sequence < request.Sequence {
		expected = f.request(answer.Request.Sequence)
	}
	if err != nil || !answer.Completes(&expected) {
		f.g.cfg.History.RecordWrongAnswer(history.WrongAnswer{Flow: f.id, At: now})
		return false
	}
	f.g.cfg.History.RecordRun(history.Run{
		Host: answer.Host, Number: answer.Run, HostService: answer.HostService, Service: expected.Service,
		Flow: f.id, Request: expected.ID, Sequence: expected.Sequence, Idempotent: expected.Idempotent,
		Started: now.Add(-time.Duration(answer.BusyMicros) * time.Microsecond), Finished: now,
		BusyMicros: answer.BusyMicros, Slots: answer.Slots,
	})
	if expected.ID != request.ID {
		return false
	}
	f.g.cfg.History.RecordAnswer(f.id, answer.Host, now)
	return true
}

// linger records answers that arrive after the end of the flow.
func (f *flowRun) linger() {
	last := f.request(uint32(f.g.cfg.Length - 1))
	deadline := time.Now().Add(lingerTime)
	for {
		data, err := f.stream.Receive(deadline)
		if err != nil {
			return
		}
		if len(f.g.cfg.Refusal) == 0 || !bytes.Equal(data, f.g.cfg.Refusal) {
			f.check(data, &last)
		}
	}
}
