// Package audit keeps the audit trail of the system in the store: one record for each
// change of the configuration and for each drain and ejection of a host.
//
// Records are stored in segments of bounded size. Each record holds the hash of the
// one before it, so that Read detects records that were altered or removed. Prepare
// adds a record to the transaction of a change, and Append adds one on its own.
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

// Keys of the audit trail in the store.
const (
	// Prefix is the beginning of every key of the audit trail.
	Prefix  = "/agateramp/audit/"
	headKey = Prefix + "head"
)

const (
	// maxSegmentBytes limits the size of a segment, because each append rewrites the last
	// segment. A segment may exceed it by one record.
	maxSegmentBytes = 128 << 10
	// maxRecordBytes limits the size of a record. Fields of its diff that do not fit are
	// omitted and counted.
	maxRecordBytes = 64 << 10
	// maxValueBytes limits each old and new value of a diff.
	maxValueBytes = 512
)

// ErrBroken is returned if the trail cannot be decoded, or its records, segments and head
// do not fit together, which shows that it was altered after it was written.
var ErrBroken = errors.New("audit trail is broken")

// Kind is the kind of event that a record describes.
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

// FieldChange is the change of one value, whose JSON pointer is Field. Old is empty if
// the value was not set before, and New if it is not set after.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Record is one entry of the audit trail. Sequence, Previous and Hash are set when it
// is appended; Previous is the hash of the record before it.
type Record struct {
	// Sequence numbers the records of the trail from 1.
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	// Who is the operator or the part of the system that caused the event, and From the
	// machine or process on which it was caused.
	Who    string `json:"who"`
	From   string `json:"from"`
	Reason string `json:"reason,omitempty"`
	// Subject is the host of the event. It is empty for changes of the configuration.
	Subject  string `json:"subject,omitempty"`
	ChangeID string `json:"change_id"`
	// Base and Version are the versions of the configuration before and after the change.
	// They are 0 for other events.
	Base    uint64        `json:"base,omitempty"`
	Version uint64        `json:"version,omitempty"`
	Diff    []FieldChange `json:"diff,omitempty"`
	// Omitted is the number of fields of the diff that did not fit.
	Omitted  int    `json:"omitted,omitempty"`
	Previous string `json:"previous"`
	Hash     string `json:"hash"`
}

// head refers to the last record, so that an append needs two reads and one write.
type head struct {
	Segment  uint64 `json:"segment"`
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

type segment struct {
	Records []Record `json:"records"`
}

// SegmentKey returns the store key of a segment. Segments are numbered from 1.
func SegmentKey(segment uint64) string { return fmt.Sprintf("%s%010d", Prefix, segment) }

// hash returns the SHA-256 of every field of the record except Hash, in hexadecimal.
func (r Record) hash() (text string, err error) {
	r.Hash = ""
	b, err := json.Marshal(r)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), err
}

// truncate shortens the diff until the record fits into maxRecordBytes.
func (r *Record) truncate() (err error) {
	for i := range r.Diff {
		r.Diff[i].Old, r.Diff[i].New = truncateValue(r.Diff[i].Old), truncateValue(r.Diff[i].New)
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

func truncateValue(value json.RawMessage) json.RawMessage {
	if len(value) <= maxValueBytes {
		return value
	}
	// Encoding a string cannot fail.
	b, _ := json.Marshal(string(value[:maxValueBytes]) + " (shortened)")
	return b
}

// Prepare returns the compares and writes that append a record, which the caller adds
// to the transaction of the change itself. The transaction fails if another record was
// appended meanwhile; the caller then calls Prepare again.
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
	if err = r.truncate(); err != nil {
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
		if err = checkSegmentUnused(ctx, s, h.Segment, headRevision); err != nil {
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
		{Key: headKey, Revision: headRevision}, {Key: SegmentKey(h.Segment), Revision: lastRevision},
	}
	return compares, []store.Write{
		{Key: headKey, Value: headValue}, {Key: SegmentKey(h.Segment), Value: value},
	}, nil
}

// checkSegmentUnused returns ErrBroken if the next segment exists although the head still
// refers to the one before it. Without this check, the compares of every append would
// fail and no error would give the reason.
func checkSegmentUnused(ctx context.Context, s store.Store, number uint64, headRevision int64) (err error) {
	entry, _, err := s.Get(ctx, SegmentKey(number))
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
	entry, _, err := s.Get(ctx, SegmentKey(number))
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
