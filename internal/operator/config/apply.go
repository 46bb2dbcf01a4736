package config

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/audit"
)

// attemptTimeout bounds one attempt, so that an endpoint that never answers
// does not use up the time of the whole change. An attempt makes about 7 calls.
const attemptTimeout = 30 * time.Second

var (
	// ErrChangeIDReused says that the change id was used for another content.
	ErrChangeIDReused = errors.New("change id was already used for another change")
	// ErrOutcomeUnknown says that the store did not tell whether the change took
	// effect. The same change id may be applied again and never takes effect twice.
	ErrOutcomeUnknown = errors.New("the store did not answer; whether the change took effect is unknown")
	// ErrInvalidChange says that the arguments of a change are wrong.
	ErrInvalidChange = errors.New("invalid change")

	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// Change is a change to apply.
type Change struct {
	// ID identifies the change over all retries. It must be set: up to 64
	// letters, digits, dots, dashes and underscores.
	ID string
	// Who applies the change. It must be set.
	Who string
	// From is the machine that the change comes from. It must be set.
	From string
	// Reason is free text. Empty means that none was given.
	Reason string
	// Base is the version that the change was diffed against. Empty means the
	// version that is current when the change is first tried.
	Base *uint64
	// Source is the new configuration. Empty means that RollbackTo is set.
	Source *Source
	// RollbackTo is the version to restore. Empty means that Source is set.
	RollbackTo uint64
	// KeepVersions is how many versions are kept, the new one included; the audit trail
	// and the change ids are always kept. Empty means 1,000.
	KeepVersions uint64
	// Now returns the time of the change. Empty means time.Now.
	Now func() time.Time
	// Backoff is waited between attempts while the store is unavailable.
	Backoff backoff.Policy
}

// Result is what a change has done.
type Result struct {
	// Version is the version that the change made, or the current one when Unchanged is set.
	Version uint64
	// AlreadyApplied says that an earlier attempt with this change id made the version.
	AlreadyApplied bool
	// Unchanged says that the configuration already was as the change wants it.
	Unchanged bool
}

// ConflictError says that another change came first.
type ConflictError struct {
	Base, Version uint64
	// Winner made the first version after Base.
	Winner   string
	Time     time.Time
	ChangeID string
	// Fields are changed by both; Others are the other fields changed since Base.
	Fields, Others []string
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict: the change was made to version %d, and %s applied change %s to it first at %s; "+
		"the current version is %d", e.Base, e.Winner, e.ChangeID, e.Time.Format(time.RFC3339), e.Version)
	if len(e.Fields) > 0 {
		return text + "; conflicting fields: " + strings.Join(e.Fields, ", ")
	}
	return text + "; no field is changed by both, other changed fields: " + strings.Join(e.Others, ", ")
}

func (c *Change) check() error {
	switch {
	case !changeIDPattern.MatchString(c.ID):
		return errors.WithMessagef(ErrInvalidChange, "change id %q: want 1 to 64 letters, digits, dots, dashes or underscores", c.ID)
	case c.Who == "" || c.From == "":
		return errors.WithMessage(ErrInvalidChange, "who and from must be set")
	case (c.Source == nil) == (c.RollbackTo == 0):
		return errors.WithMessage(ErrInvalidChange, "either a source or a version to roll back to must be set")
	}
	return nil
}

// Apply makes a new version by compare-and-swap against the base version. It
// retries while the store is unavailable, until ctx ends.
func Apply(ctx context.Context, s store.Store, c Change) (result Result, err error) {
	defer func() { err = errors.WithMessage(err, "apply configuration") }()
	if err = c.check(); err != nil {
		return result, err
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.KeepVersions == 0 {
		c.KeepVersions = defaultKeep
	}
	a := &applier{store: s, change: &c}
	failures := 0
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		done, err := a.attempt(attempt)
		cancel()
		switch {
		case err == nil && done:
			return a.result, nil
		case err == nil:
			// Another writer changed the audit trail in between.
			failures = 0
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded),
			errors.Is(err, context.Canceled):
			failures++
		default:
			return result, err
		}
		if stop := c.Backoff.Sleep(ctx, failures); stop != nil {
			if a.unknown {
				return result, errors.WithMessagef(ErrOutcomeUnknown, "change id %s", c.ID)
			}
			return result, errors.WithMessagef(store.ErrUnavailable, "this run sent no write: %v", stop)
		}
	}
}

// applier holds the state of one change over its attempts.
type applier struct {
	store  store.Store
	change *Change
	result Result
	// source and digest are set once the content is known.
	source *Source
	packed []byte
	digest string
	// unknown is set once a write was sent whose answer did not arrive.
	unknown bool
}

func (a *applier) attempt(ctx context.Context) (done bool, err error) {
	if err = a.prepare(ctx); err != nil {
		return false, err
	}
	if done, err = a.recognise(ctx); done || err != nil {
		return done, err
	}
	current, err := Load(ctx, a.store)
	if err != nil {
		return false, err
	}
	if a.change.Base == nil {
		base := current.Version()
		a.change.Base = &base
	}
	if current.Version() != *a.change.Base {
		return a.lost(ctx, current)
	}
	changes, err := Diff(current.source.raw, a.source.raw)
	if err != nil {
		return false, err
	}
	if len(changes) == 0 && sameOrigins(current.source, a.source) {
		a.result = Result{Version: current.Version(), Unchanged: true}
		return true, nil
	}
	return a.write(ctx, current, changes)
}

// prepare finds the content of the change.
func (a *applier) prepare(ctx context.Context) (err error) {
	if a.packed != nil {
		return nil
	}
	a.source = a.change.Source
	if a.source == nil {
		target, err := LoadVersion(ctx, a.store, a.change.RollbackTo)
		if err != nil {
			return err
		}
		if target == nil {
			return errors.WithMessagef(ErrInvalidChange, "version %d does not exist or is no longer kept", a.change.RollbackTo)
		}
		// The checks may have become stricter since the version was applied.
		if a.source, err = newSource(target.source.raw, target.source.origins); err != nil {
			return err
		}
	}
	a.packed, a.digest, err = pack(a.source)
	return err
}

// recognise finds out whether an earlier attempt took effect.
func (a *applier) recognise(ctx context.Context) (done bool, err error) {
	earlier, err := findChange(ctx, a.store, a.change.ID)
	if err != nil || earlier == nil {
		return false, err
	}
	if earlier.Digest != a.digest {
		return false, errors.WithMessagef(ErrChangeIDReused, "change id %s made version %d", a.change.ID, earlier.Version)
	}
	a.result = Result{Version: earlier.Version, AlreadyApplied: true}
	return true, nil
}

// lost explains that another change came first. The own change cannot take
// effect any more, unless it did before.
func (a *applier) lost(ctx context.Context, current *Snapshot) (done bool, err error) {
	if done, err = a.recognise(ctx); done || err != nil {
		return done, err
	}
	base := *a.change.Base
	if base > current.Version() {
		return false, errors.WithMessagef(ErrInvalidChange, "base version %d does not exist; the current version is %d",
			base, current.Version())
	}
	before, err := LoadVersion(ctx, a.store, base)
	if err != nil {
		return false, err
	}
	winner, err := LoadVersion(ctx, a.store, base+1)
	if err != nil {
		return false, err
	}
	if before == nil || winner == nil {
		return false, errors.WithMessagef(ErrInvalidChange, "base version %d is no longer kept; the current version is %d",
			base, current.Version())
	}
	theirs, err := Diff(before.source.raw, current.source.raw)
	if err != nil {
		return false, err
	}
	ours, err := Diff(before.source.raw, a.source.raw)
	if err != nil {
		return false, err
	}
	a.removeChunks(ctx, base+1)
	m := winner.manifest
	return false, &ConflictError{
		Base: base, Version: current.Version(), Winner: m.Who, Time: m.Time, ChangeID: m.ChangeID,
		Fields: overlap(ours, theirs), Others: fieldsOf(theirs),
	}
}

func fieldsOf(changes []audit.FieldChange) (fields []string) {
	for _, c := range changes {
		fields = append(fields, c.Field)
	}
	return fields
}
