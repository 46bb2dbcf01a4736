// Package store is the port to the platform's key-value service.
package store

import (
	"context"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

var (
	// ErrUnavailable says that the service did not answer; a write may have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrCompacted says that the history from the asked revision is gone; list again.
	ErrCompacted = errors.New("store revision compacted")
	// ErrLeaseNotFound says that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("store lease not found")
	// ErrTooLarge says that a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("store value too large")
	// ErrRejected says that the service did not accept the request as it stands; nothing was written
	// and a retry cannot succeed.
	ErrRejected = errors.New("store request rejected")
)

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Entry is a key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is a condition of a transaction: the key's mod revision (or, when
// Create is set, its create revision) equals Revision. Revision 0 means that the
// key does not exist.
type Compare struct {
	Key              string
	ByCreateRevision bool
	Revision         int64
}

// Write is a put, or a delete when Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// TxnResult tells whether the conditions held and the revision of the store.
type TxnResult struct {
	Succeeded bool
	Revision  int64
}

// Event is a change of a key. Entry.Value is empty when Deleted is set.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch is the events of one or more revisions, in order.
type WatchBatch struct {
	Events   []Event
	Revision int64
}

// Watcher delivers the events of a watch.
type Watcher interface {
	// Next waits for the next batch. It returns ErrCompacted or ErrUnavailable
	// when the watch has ended and must be opened again.
	Next(ctx context.Context) (batch WatchBatch, err error)
	Close()
}

// Store is the platform's key-value service. Every error matches one of the
// errors of this package by errors.Is, or is the error of the context.
type Store interface {
	// Get returns the entry of a key, or nil when there is none, and the store's revision.
	Get(ctx context.Context, key string) (entry *Entry, revision int64, err error)
	// List returns the entries whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Txn applies all writes if all compares hold, and none otherwise. A key may
	// be written only once in a transaction.
	Txn(ctx context.Context, compares []Compare, writes []Write) (result TxnResult, err error)
	// Grant returns a new lease that expires ttlSeconds after its last renewal.
	Grant(ctx context.Context, ttlSeconds int64) (id LeaseID, err error)
	// KeepAlive renews a lease once.
	KeepAlive(ctx context.Context, id LeaseID) (err error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) (err error)
	// Watch follows the keys that begin with prefix, from revision on. Revision 0
	// means from the next change on.
	Watch(ctx context.Context, prefix string, revision int64) (w Watcher, err error)
}

// CheckWrites returns the error for writes that no service takes: values over
// MaxValueBytes, empty keys, and keys written twice in one transaction.
func CheckWrites(writes []Write) (err error) {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		switch {
		case len(w.Value) > MaxValueBytes:
			return errors.WithMessagef(ErrTooLarge, "key %q: %d bytes", w.Key, len(w.Value))
		case w.Key == "":
			return errors.WithMessage(ErrRejected, "empty key")
		case seen[w.Key]:
			return errors.WithMessagef(ErrRejected, "key %q is written twice in one transaction", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}
