package config

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
)

// watchRestored applies the first changes, restores the store to its state after the
// first one while a watch is open, and applies another change. It returns the ids of the
// changes that the watch delivers until it has delivered the last one or 2 s have passed.
func watchRestored(t *testing.T, first []string, last string) (delivered []string) {
	t.Helper()
	is := is.New(t)
	m := newStore(t)
	apply := func(id string) {
		_, err := Apply(t.Context(), m, newChange(id, "a", readSource(t, studioConfig, `{"hosts":{"`+id+`":{"service":"studio"}}}`)))
		is.NoErr(err)
	}
	apply(first[0])
	snapshot := m.Snapshot()
	for _, id := range first[1:] {
		apply(id)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	done := errors.New("done")
	err := Watch(ctx, WatchConfig{Store: m, Backoff: backoff.Policy{First: 10 * time.Millisecond, Max: 10 * time.Millisecond}}, func(s *Snapshot) error {
		id := s.Manifest().ChangeID
		delivered = append(delivered, id)
		if id == last {
			return done
		}
		m.Restore(snapshot)
		apply(last)
		return nil
	})
	is.True(errors.Is(err, done) || errors.Is(err, context.DeadlineExceeded))
	return delivered
}

// Guards against a version that a watch misses because it was written at a revision that
// the watch had passed before the store was restored.
func TestVersionAtReusedRevision(t *testing.T) {
	is.New(t).Equal(watchRestored(t, []string{"one"}, "two"), []string{"one", "two"})
}

// Guards against a change that is never in force because its version number was given to
// another change before the store was restored.
func TestReusedVersion(t *testing.T) {
	is.New(t).Equal(watchRestored(t, []string{"one", "lost"}, "two"), []string{"lost", "two"})
}
