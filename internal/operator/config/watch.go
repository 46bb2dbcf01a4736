package config

import (
	"context"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
)

// WatchConfig configures Watch and WatchManifests.
type WatchConfig struct {
	// Store holds the configuration. It must be set.
	Store store.Store
	// After is the version that the process already has, for example from a peer, or
	// 0 if it has none. Only later versions are delivered.
	After uint64
	// Backoff is the delay before the watch is opened again. Its zero value means
	// backoff.WatchPolicy.
	Backoff backoff.Policy
	// OnError is called with each error after which the watch continues. If nil,
	// errors are dropped.
	OnError func(err error)
}

// Watch calls deliver with each new version and its content, in order, and blocks until
// ctx ends or deliver returns an error, which it then returns. It continues after
// outages of the store, and delivers no version twice and no older version after a newer
// one. If the store compacts its history, versions that were replaced before the watch
// received them may be skipped.
func Watch(ctx context.Context, cfg WatchConfig, deliver func(*Snapshot) error) (err error) {
	return WatchManifests(ctx, cfg, func(m *Manifest) error {
		source, err := readBody(ctx, cfg.Store, m)
		if err != nil {
			return &readError{err}
		}
		return deliver(&Snapshot{manifest: m, source: source, modRevision: m.modRevision})
	})
}

// readError marks a failure to read the content of a version. Unless the content is
// corrupt, the version is read again.
type readError struct{ error }

func (e *readError) Unwrap() error { return e.error }

// WatchManifests is like Watch without the content of versions. It reads one key once
// and then keeps one watch open.
func WatchManifests(ctx context.Context, cfg WatchConfig, deliver func(*Manifest) error) (err error) {
	defer func() { err = errors.WithMessage(err, "watch configuration") }()
	if cfg.Store == nil {
		return errors.New("Store is not set")
	}
	if cfg.Backoff == (backoff.Policy{}) {
		cfg.Backoff = backoff.WatchPolicy
	}
	w := &manifestWatch{cfg: cfg, version: cfg.After, deliver: deliver}
	for attempt := 0; ; attempt++ {
		opened, err := w.watchUntilError(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var failed *deliverError
		if errors.As(err, &failed) {
			return failed.error
		}
		w.report(err)
		if errors.Is(err, store.ErrCompacted) {
			w.revision = store.Revision{}
		}
		if opened {
			attempt = 0
		}
		if err = cfg.Backoff.Sleep(ctx, attempt); err != nil {
			return err
		}
	}
}

// deliverError marks an error that deliver returned, which ends the watch.
type deliverError struct{ error }

type manifestWatch struct {
	cfg     WatchConfig
	deliver func(*Manifest) error
	// version is the last version that was delivered.
	version uint64
	// revision is the store revision from which to watch, or zero to read the key first.
	revision store.Revision
}

// watchUntilError reads the current manifest if needed, and watches until an error.
// opened is set if the watch was opened.
func (w *manifestWatch) watchUntilError(ctx context.Context) (opened bool, err error) {
	if w.revision == (store.Revision{}) {
		m, revision, err := Current(ctx, w.cfg.Store)
		if err != nil {
			return false, err
		}
		if err = w.skipCorrupt(w.deliverNewer(m)); err != nil {
			return false, err
		}
		w.revision = revision.Next()
	}
	watcher, err := w.cfg.Store.Watch(ctx, CurrentKey, w.revision)
	if err != nil {
		return false, err
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next(ctx)
		if err != nil {
			return true, err
		}
		for _, e := range batch.Events {
			if e.Deleted || e.Entry.Key != CurrentKey {
				continue
			}
			m, err := decodeEntry(&e.Entry)
			if err == nil {
				err = w.deliverNewer(m)
			}
			if err = w.skipCorrupt(err); err != nil {
				return true, err
			}
			w.revision.Number = e.Entry.ModRevision + 1
		}
		w.revision.Number = max(w.revision.Number, batch.Revision.Number+1)
	}
}

func (w *manifestWatch) report(err error) {
	if w.cfg.OnError != nil {
		w.cfg.OnError(err)
	}
}

// skipCorrupt reports and drops the error of a corrupt version. The last good version
// stays in force, and the watch goes on to the next one.
func (w *manifestWatch) skipCorrupt(err error) error {
	if errors.Is(err, ErrCorrupt) {
		w.report(err)
		return nil
	}
	return err
}

// deliverNewer delivers a manifest if it is newer than the last one delivered.
func (w *manifestWatch) deliverNewer(m *Manifest) error {
	if m == nil || m.Version <= w.version {
		return nil
	}
	err := w.deliver(m)
	var unread *readError
	if errors.As(err, &unread) {
		return unread
	}
	if err != nil {
		return &deliverError{err}
	}
	w.version = m.Version
	return nil
}
