// Package audit keeps the trail of changes in bounded segments with a hash chain.
package audit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// Keys of the trail in the store.
const (
	Prefix  = "/agateramp/audit/"
	headKey = Prefix + "head"
)

const (
	// maxSegmentBytes keeps the rewrite of the last segment small; a segment may
	// exceed it by one record.
	maxSegmentBytes = 128 << 10
	// maxRecordBytes bounds a record; the fields of its diff that do not fit are counted.
	maxRecordBytes = 64 << 10
	maxValueText   = 512
)

// ErrBroken says that the trail was changed after it was written.
var ErrBroken = errors.New("audit trail is broken")

// Kind says what a record is about.
type Kind string

// The kinds of records.
const (
	KindApply    Kind = "apply"
	KindRollback Kind = "rollback"
	KindDrain    Kind = "drain"
	KindUndrain  Kind = "undrain"
	KindOverride Kind = "override"
	KindEject    Kind = "eject"
)

// FieldChange is the change of one value. Old or New is empty when the value was not set.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Record is one entry of the trail. Sequence, Previous and Hash are filled in
// when it is appended.
type Record struct {
	Sequence uint64        `json:"sequence"`
	Time     time.Time     `json:"time"`
	Kind     Kind          `json:"kind"`
	Who      string        `json:"who"`
	From     string        `json:"from"`
	Reason   string        `json:"reason,omitempty"`
	Subject  string        `json:"subject,omitempty"`
	ChangeID string        `json:"change_id"`
	Base     uint64        `json:"base,omitempty"`
	Version  uint64        `json:"version,omitempty"`
	Diff     []FieldChange `json:"diff,omitempty"`
	// Omitted is how many fields of the diff did not fit.
	Omitted  int    `json:"omitted,omitempty"`
	Previous string `json:"previous"`
	Hash     string `json:"hash"`
}

// head names the last record. It makes an append two reads and one write.
type head struct {
	Segment  uint64 `json:"segment"`
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

type segment struct {
	Records []Record `json:"records"`
}

// Key returns the key of a segment; segments count from 1.
func Key(segment uint64) string { return fmt.Sprintf("%s%010d", Prefix, segment) }

// hash covers every field of the record but Hash itself.
func (r Record) hash() (text string, err error) {
	r.Hash = ""
	b, err := json.Marshal(r)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), err
}

// fit shortens the diff until the record is within its bound.
func (r *Record) fit() (err error) {
	for i := range r.Diff {
		r.Diff[i].Old, r.Diff[i].New = short(r.Diff[i].Old), short(r.Diff[i].New)
	}
	for {
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if len(b) <= maxRecordBytes {
			return nil
		}
		if len(r.Diff) == 0 {
			return errors.Errorf("audit record has %d bytes, at most %d are allowed", len(b), maxRecordBytes)
		}
		keep := len(r.Diff) / 2
		r.Omitted += len(r.Diff) - keep
		r.Diff = r.Diff[:keep]
	}
}

func short(value json.RawMessage) json.RawMessage {
	if len(value) <= maxValueText {
		return value
	}
	// A string can always be encoded.
	b, _ := json.Marshal(string(value[:maxValueText]) + " (shortened)")
	return b
}

// Prepare returns the conditions and writes that append a record, so that a
// caller can make them part of the transaction of the change itself.
func Prepare(ctx context.Context, s store.Store, r Record) (compares []store.Compare, writes []store.Write, err error) {
	defer func() { err = errors.WithMessage(err, "audit trail") }()
	h, headRevision, err := readHead(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	var last segment
	var lastRevision int64
	if h.Segment > 0 {
		if last, lastRevision, err = readSegment(ctx, s, h.Segment); err != nil {
			return nil, nil, err
		}
	}
	r.Diff = append([]FieldChange(nil), r.Diff...)
	r.Sequence, r.Previous, r.Time = h.Sequence+1, h.Hash, r.Time.UTC()
	if err = r.fit(); err != nil {
		return nil, nil, err
	}
	if r.Hash, err = r.hash(); err != nil {
		return nil, nil, err
	}
	last.Records = append(last.Records, r)
	value, err := json.Marshal(last)
	if err != nil {
		return nil, nil, err
	}
	if h.Segment == 0 || len(value) > maxSegmentBytes && len(last.Records) > 1 {
		h.Segment, lastRevision = h.Segment+1, 0
		if err = checkFree(ctx, s, h.Segment, headRevision); err != nil {
			return nil, nil, err
		}
		if value, err = json.Marshal(segment{Records: []Record{r}}); err != nil {
			return nil, nil, err
		}
	}
	h.Sequence, h.Hash = r.Sequence, r.Hash
	headValue, err := json.Marshal(h)
	if err != nil {
		return nil, nil, err
	}
	compares = []store.Compare{
		{Key: headKey, Revision: headRevision}, {Key: Key(h.Segment), Revision: lastRevision},
	}
	return compares, []store.Write{
		{Key: headKey, Value: headValue}, {Key: Key(h.Segment), Value: value},
	}, nil
}

// checkFree returns ErrBroken when a segment exists that the head does not
// count. Every append would fail its conditions then, without saying why.
func checkFree(ctx context.Context, s store.Store, number uint64, headRevision int64) (err error) {
	entry, _, err := s.Get(ctx, Key(number))
	if err != nil || entry == nil {
		return err
	}
	_, revision, err := readHead(ctx, s)
	if err != nil || revision != headRevision {
		return err
	}
	return errors.WithMessagef(ErrBroken, "segment %d exists and the head does not count it", number)
}

func readHead(ctx context.Context, s store.Store) (h head, revision int64, err error) {
	entry, _, err := s.Get(ctx, headKey)
	if err != nil || entry == nil {
		return h, 0, err
	}
	if err = json.Unmarshal(entry.Value, &h); err != nil {
		return h, 0, errors.WithMessagef(ErrBroken, "head: %v", err)
	}
	return h, entry.ModRevision, nil
}

func readSegment(ctx context.Context, s store.Store, number uint64) (g segment, revision int64, err error) {
	entry, _, err := s.Get(ctx, Key(number))
	if err != nil {
		return g, 0, err
	}
	if entry == nil {
		return g, 0, errors.WithMessagef(ErrBroken, "segment %d is missing", number)
	}
	if err = json.Unmarshal(entry.Value, &g); err != nil {
		return g, 0, errors.WithMessagef(ErrBroken, "segment %d: %v", number, err)
	}
	if len(g.Records) == 0 {
		return g, 0, errors.WithMessagef(ErrBroken, "segment %d is empty", number)
	}
	return g, entry.ModRevision, nil
}
