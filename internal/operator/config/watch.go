package config

import (
	"context"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
)

// WatchConfig configures a watch of the configuration.
type WatchConfig struct {
	// Store holds the configuration. It must be set.
	Store store.Store
	// After is a version that the process has seen already, for example from a
	// peer: only later versions are delivered. Empty means none.
	After uint64
	// Backoff is waited before the watch is opened again. Empty means backoff.Spread.
	Backoff backoff.Policy
	// OnError is called with each error that the watch survives. Empty means that
	// errors are not reported.
	OnError func(err error)
}

// Watch delivers each new version with its content, in order, until ctx ends.
// It outlives outages of the store and never delivers a version twice or an
// older one after a newer one. While the history of the store is compacted, it
// may skip versions that were replaced meanwhile. An error of deliver ends it.
func Watch(ctx context.Context, cfg WatchConfig, deliver func(*Snapshot) error) (err error) {
	return WatchManifests(ctx, cfg, func(m *Manifest) error {
		source, err := readBody(ctx, cfg.Store, m)
		if err != nil {
			return &readError{err}
		}
		return deliver(&Snapshot{manifest: m, source: source, modRevision: m.modRevision})
	})
}

// readError marks an error after which a version is delivered again.
type readError struct{ error }

func (e *readError) Unwrap() error { return e.error }

// WatchManifests is Watch without the content: it reads one key once, and then
// costs one waiting call.
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
		progress, err := w.follow(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var failed *deliverError
		if errors.As(err, &failed) {
			return failed.error
		}
		w.report(err)
		if errors.Is(err, store.ErrCompacted) {
			w.revision = 0
		}
		if progress {
			attempt = 0
		}
		if err = cfg.Backoff.Sleep(ctx, attempt); err != nil {
			return err
		}
	}
}

// deliverError marks an error of the receiver, which ends the watch.
type deliverError struct{ error }

type manifestWatch struct {
	cfg     WatchConfig
	deliver func(*Manifest) error
	// version is the last one that was delivered.
	version uint64
	// revision is the next one of the store to watch, or 0 to read the key first.
	revision int64
}

// follow reads and watches until an error. It reports whether the watch was open.
func (w *manifestWatch) follow(ctx context.Context) (progress bool, err error) {
	if w.revision == 0 {
		m, revision, err := Current(ctx, w.cfg.Store)
		if err != nil {
			return false, err
		}
		if err = w.skip(w.hand(m)); err != nil {
			return false, err
		}
		w.revision = revision + 1
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
				err = w.hand(m)
			}
			if err = w.skip(err); err != nil {
				return true, err
			}
			w.revision = e.Entry.ModRevision + 1
		}
		w.revision = max(w.revision, batch.Revision+1)
	}
}

func (w *manifestWatch) report(err error) {
	if w.cfg.OnError != nil {
		w.cfg.OnError(err)
	}
}

// skip passes over a version that cannot be read: the last good one stays in
// force, and the next one is not held up.
func (w *manifestWatch) skip(err error) error {
	if errors.Is(err, ErrCorrupt) {
		w.report(err)
		return nil
	}
	return err
}

func (w *manifestWatch) hand(m *Manifest) error {
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
