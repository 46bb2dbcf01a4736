// Package store defines the interface to the key-value service that holds the
// configuration, the leases of the processes and the table specs (see package shard).
//
// The service has transactions with compare-and-swap, leases that delete their keys
// when they expire, and watches on key prefixes. Its revision is a counter of the whole
// store that increases with every transaction that changes a key. Package etcd is a
// client of the etcd API, and package memory keeps a store within the process.
//
// A service may be restored from a copy. It then loses the latest changes and leases, and
// gives out their revisions again for others. A Revision therefore carries the generation
// of the store, which rises with each restore. Data that was read in one generation need
// not hold in the next one.
package store

import (
	"cmp"
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrUnavailable means that the service did not answer or could not serve the request. A
	// write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrCompacted means that the history from the requested revision on is no longer
	// complete, because it was compacted or the store was restored from a copy. The caller
	// must list the keys again.
	ErrCompacted = errors.New("store revision compacted")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store lease not found")
	// ErrTooLarge means that a value is larger than MaxValueBytes, or that the whole request
	// is larger than the service accepts.
	ErrTooLarge = errors.New("store value too large")
	// ErrRejected means that the request is invalid or not permitted. Nothing was written,
	// and a retry of the same request cannot succeed.
	ErrRejected = errors.New("store request rejected")
)

// LeaseID identifies a lease. 0 means no lease. After a restore of the store, the id of a
// lease that was lost may be given to another lease.
type LeaseID int64

// Revision is a point in the history of the store. The zero value is none.
type Revision struct {
	// Generation rises each time the store is restored from a copy.
	Generation uint64
	// Number counts the transactions that changed a key. It orders only revisions of one
	// generation.
	Number int64
}

// Compare returns a negative number if r is earlier than other, 0 if they are equal, and
// a positive number if r is later.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Generation, other.Generation), cmp.Compare(r.Number, other.Number))
}

// Next returns the revision after r in the same generation.
func (r Revision) Next() Revision { return Revision{r.Generation, r.Number + 1} }

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// CreateRevision is the revision that created the key. A key that is deleted and put
	// again gets a new one.
	CreateRevision int64
	// ModRevision is the revision that last wrote the key.
	ModRevision int64
	// Lease is the lease whose end deletes the key, or 0.
	Lease LeaseID
}

// Compare is a condition of a transaction: the mod revision of the key, or its create
// revision when ByCreateRevision is set, equals Revision. Revision 0 means that the key
// does not exist.
type Compare struct {
	Key              string
	ByCreateRevision bool
	Revision         int64
}

// Write puts a value under a key. If Delete is set, it deletes the key instead, and Lease
// is ignored.
type Write struct {
	Key   string
	Value []byte
	// Lease is the lease whose end deletes the key, or 0.
	Lease  LeaseID
	Delete bool
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	// Succeeded is set when all compares held and the writes were applied.
	Succeeded bool
	// Revision is the revision of the store after the transaction.
	Revision Revision
}

// Event is a change of a key. If Deleted is set, only Key and ModRevision of Entry are valid.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch holds the events of one or more whole revisions, in order.
type WatchBatch struct {
	Events []Event
	// Revision is the revision up to which the watch has delivered all events.
	Revision Revision
}

// Watcher delivers the events of a watch.
type Watcher interface {
	// Next blocks until the next batch arrives or ctx ends. If ctx ends, the watch remains
	// open. After any other error the watch has ended, and the caller must open a new one.
	Next(ctx context.Context) (batch WatchBatch, err error)
	// Close ends the watch and releases its resources.
	Close()
}

// Store is a client of the key-value service. Its methods are safe for concurrent use.
// Every error that they return matches, under errors.Is, an error of this package or the
// error of the context. The caller owns the entries that are returned.
type Store interface {
	// Get returns the entry of a key, or nil if the key does not exist, and the revision
	// of the store.
	Get(ctx context.Context, key string) (entry *Entry, revision Revision, err error)
	// List returns the entries whose keys begin with prefix, ordered by key, and the
	// revision of the store.
	List(ctx context.Context, prefix string) (entries []Entry, revision Revision, err error)
	// Txn applies all writes if all compares hold, and none otherwise. A transaction may
	// write a key only once. Txn returns ErrLeaseNotFound if the lease of a write has ended.
	Txn(ctx context.Context, compares []Compare, writes []Write) (result TxnResult, err error)
	// Grant returns a new lease that expires ttlSeconds after its last renewal.
	Grant(ctx context.Context, ttlSeconds int64) (id LeaseID, err error)
	// KeepAlive renews a lease once, and returns the generation of the store. It returns
	// ErrLeaseNotFound if the lease has ended.
	KeepAlive(ctx context.Context, id LeaseID) (generation uint64, err error)
	// Revoke ends a lease and deletes its keys. It returns ErrLeaseNotFound if the lease has
	// already ended.
	Revoke(ctx context.Context, id LeaseID) (err error)
	// Watch opens a watch of the keys that begin with prefix. The watch delivers the changes
	// from revision on, that revision included. The zero revision means from the next change
	// on. If changes since revision are no longer in the history, or the store is no longer
	// of that generation, Watch or a later Next returns ErrCompacted. ctx applies only until
	// Watch returns.
	Watch(ctx context.Context, prefix string, revision Revision) (w Watcher, err error)
}

// CheckWrites returns an error for writes that every Store rejects: ErrTooLarge for a
// value larger than MaxValueBytes, and ErrRejected for an empty key or a key that is
// written twice in one transaction.
func CheckWrites(writes []Write) (err error) {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		switch {
		case len(w.Value) > MaxValueBytes:
			return errors.WithMessagef(ErrTooLarge, "key %q: %d bytes, limit is %d", w.Key, len(w.Value), MaxValueBytes)
		case w.Key == "":
			return errors.WithMessage(ErrRejected, "empty key")
		case seen[w.Key]:
			return errors.WithMessagef(ErrRejected, "key %q is written twice in one transaction", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}
