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

// callerFlow is one flow of a generator. Its methods are called by one goroutine.
type callerFlow struct {
	g      *Generator
	id     uint64
	stream Stream
	// retransmitted is true once a packet of the flow was retransmitted.
	retransmitted bool
}

// newFlow returns a flow with the next id. It is called by one goroutine only, so that
// the same seed gives the same sequence of flow ids.
func (g *Generator) newFlow() *callerFlow { return &callerFlow{g: g, id: g.random.Uint64()} }

// request returns the request at position sequence of the flow. The id of the request
// is derived from that of the flow.
func (f *callerFlow) request(sequence uint32) payload.Request {
	cfg := &f.g.cfg
	work := cfg.WorkMicros
	if sequence > 0 {
		work = cfg.NextWorkMicros
	}
	// Multiplication by an odd number keeps the ids of the flow's requests distinct.
	return payload.Request{
		First: sequence == 0, Idempotent: cfg.Idempotent, Service: cfg.Service, Sequence: sequence,
		Flow: f.id, ID: f.id ^ uint64(sequence+1)*0xbf58476d1ce4e5b9, WorkMicros: work, BodySize: cfg.BodySize,
	}
}

// run opens the flow, sends its requests and records the flow and its end in the
// history. It returns an error only if the transport could not open the flow.
func (f *callerFlow) run(ctx context.Context) (err error) {
	cfg := &f.g.cfg
	if f.stream, err = cfg.Transport.Open(); err != nil {
		return err
	}
	defer f.stream.Close()
	cfg.History.RecordFlow(history.Flow{ID: f.id, Service: cfg.Service, Idempotent: cfg.Idempotent, Opened: time.Now()})
	end := f.sendRequests(ctx)
	cfg.History.RecordEnd(f.id, end, time.Now())
	if end == history.EndRefused || f.retransmitted {
		f.recordLateAnswers()
	}
	return nil
}

// sendRequests connects the flow, sends its requests one after the other, each after
// the answer to the one before, and returns how the flow ended.
func (f *callerFlow) sendRequests(ctx context.Context) history.End {
	if end := f.connect(); end != history.EndOpen {
		return end
	}
	for sequence := range uint32(f.g.cfg.Length) {
		sent := time.Now()
		request := f.request(sequence)
		if end := f.exchangeRequest(&request); end != history.EndOpen {
			return end
		}
		last := int(sequence)+1 == f.g.cfg.Length
		if !last && !sleepUntil(ctx, sent.Add(time.Duration(f.g.cfg.IntervalMS)*time.Millisecond)) {
			return history.EndStopped
		}
	}
	return history.EndCompleted
}

// withRetransmissions calls attempt, with waits that double up to maxBackoff times the
// first, until it succeeds, fails with an error other than a timeout, or has used up
// the retransmissions. It returns the result of the last call.
func (f *callerFlow) withRetransmissions(attempt func(deadline time.Time) error) (err error) {
	for i := 0; i <= max(f.g.cfg.Retransmissions, 0); i++ {
		if i > 0 {
			f.retransmitted = true
			f.g.retransmissions.Add(1)
		}
		wait := time.Duration(f.g.cfg.RetransmitMS) * time.Millisecond * time.Duration(min(1<<min(i, maxBackoff), maxBackoff))
		err = attempt(time.Now().Add(wait))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return err
}

func (f *callerFlow) connect() history.End {
	return endFromError(f.withRetransmissions(f.stream.Connect))
}

// errRefused is returned if the answer is the refusal payload of the Config.
var errRefused = errors.New("refused")

// endFromError returns the end of a flow whose exchange returned err; EndOpen if err is
// nil, and EndUnanswered for every error that is neither a refusal nor a reset.
func endFromError(err error) history.End {
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

// exchangeRequest sends a request, retransmits it as configured and waits for its
// answer. It returns EndOpen if the answer arrived.
func (f *callerFlow) exchangeRequest(request *payload.Request) history.End {
	f.g.requests.Add(1)
	encoded := request.Append(nil)
	sent := time.Now()
	err := f.withRetransmissions(func(deadline time.Time) error {
		if err := f.stream.Send(request.Sequence, encoded); err != nil {
			return err
		}
		return f.awaitAnswer(request, deadline)
	})
	if err == nil {
		f.g.recordLatency(time.Since(sent))
	}
	return endFromError(err)
}

// awaitAnswer receives until the answer to request arrives. It returns errRefused if the
// refusal payload arrives, and the error of the stream at the deadline or after a reset.
func (f *callerFlow) awaitAnswer(request *payload.Request, deadline time.Time) error {
	for {
		data, err := f.stream.Receive(deadline)
		if err != nil {
			return err
		}
		if len(f.g.cfg.Refusal) > 0 && bytes.Equal(data, f.g.cfg.Refusal) {
			return errRefused
		}
		if f.recordAnswer(data, request) {
			return nil
		}
	}
}

// recordAnswer records an answer and reports whether it completes request. A late copy
// of the answer to an earlier request of the flow is valid, but does not complete it.
func (f *callerFlow) recordAnswer(data []byte, request *payload.Request) bool {
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

// recordLateAnswers records the answers that arrive within lateAnswerWait after the end
// of the flow. They show whether a refused request, or both copies of a retransmitted
// one, were run.
func (f *callerFlow) recordLateAnswers() {
	lastRequest := f.request(uint32(f.g.cfg.Length - 1))
	deadline := time.Now().Add(lateAnswerWait)
	for {
		data, err := f.stream.Receive(deadline)
		if err != nil {
			return
		}
		if len(f.g.cfg.Refusal) == 0 || !bytes.Equal(data, f.g.cfg.Refusal) {
			f.recordAnswer(data, &lastRequest)
		}
	}
}
