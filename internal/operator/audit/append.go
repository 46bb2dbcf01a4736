package audit

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
)

// Append adds a record in a transaction of its own, for events that change nothing else
// in the store. The change id must be set: after a lost answer it identifies a record
// that was already written, which is then not appended twice. Append blocks and retries,
// with the delays of wait, until ctx ends.
func Append(ctx context.Context, s store.Store, r Record, wait backoff.Policy) (err error) {
	if r.ChangeID == "" {
		return errors.New("audit trail: record without a change id")
	}
	baseSequence, baseKnown := uint64(0), false
	for attempt := 0; ; attempt++ {
		done, err := appendOnce(ctx, s, r, &baseSequence, &baseKnown)
		if done || err != nil && !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		if sleepErr := wait.Sleep(ctx, attempt); sleepErr != nil {
			return errors.WithMessage(sleepErr, "audit trail")
		}
	}
}

// appendOnce makes one attempt. The first attempt sets baseSequence to the sequence of
// the last record and baseKnown to true. Later attempts search only newer records for one
// that an earlier attempt may have written.
func appendOnce(ctx context.Context, s store.Store, r Record, baseSequence *uint64, baseKnown *bool) (done bool, err error) {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return false, err
	}
	if !*baseKnown {
		*baseSequence, *baseKnown = h.Sequence, true
	}
	for n := h.Segment; n > 0 && h.Sequence > *baseSequence; n-- {
		g, _, err := readSegment(ctx, s, n)
		if err != nil {
			return false, err
		}
		for i := range g.Records {
			if g.Records[i].ChangeID == r.ChangeID && g.Records[i].Kind == r.Kind {
				return true, nil
			}
		}
		if g.Records[0].Sequence <= *baseSequence+1 {
			break
		}
	}
	compares, writes, err := Prepare(ctx, s, r)
	if err != nil {
		return false, err
	}
	result, err := s.Txn(ctx, compares, writes)
	return err == nil && result.Succeeded, err
}

// Query selects records. Its zero value selects all.
type Query struct {
	// Last is the number of newest records to return, or 0 for all.
	Last int
	// Since excludes older records. Its zero value excludes none.
	Since time.Time
}

// Read returns records from the oldest to the newest and verifies the hash chain of the
// records that it read. If q.Last is 0, that is the whole trail. Read cannot detect a
// rewrite of all records, which anyone with write access to the store could do.
func Read(ctx context.Context, s store.Store, q Query) (records []Record, err error) {
	defer func() { err = errors.WithMessage(err, "audit trail") }()
	h, _, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	expected := h.Hash
	sequence := h.Sequence
	for n := h.Segment; n > 0 && (q.Last == 0 || len(records) < q.Last); n-- {
		g, _, err := readSegment(ctx, s, n)
		if err != nil {
			return nil, err
		}
		// Records after the head were appended after the head was read.
		for i := len(g.Records) - 1; i >= 0; i-- {
			r := g.Records[i]
			if r.Sequence > h.Sequence && n == h.Segment {
				continue
			}
			hash, err := r.hash()
			if err != nil {
				return nil, err
			}
			if r.Sequence != sequence || r.Hash != expected || hash != r.Hash {
				return nil, errors.WithMessagef(ErrBroken, "segment %d: record %d does not fit the chain", n, r.Sequence)
			}
			expected, sequence = r.Previous, sequence-1
			records = append(records, r)
		}
	}
	if (q.Last == 0 || len(records) < q.Last) && (sequence != 0 || expected != "") {
		return nil, errors.WithMessagef(ErrBroken, "record %d is missing", sequence)
	}
	if q.Last > 0 && len(records) > q.Last {
		records = records[:q.Last]
	}
	kept := make([]Record, 0, len(records))
	for i := len(records) - 1; i >= 0; i-- {
		if !records[i].Time.Before(q.Since) {
			kept = append(kept, records[i])
		}
	}
	return kept, nil
}
