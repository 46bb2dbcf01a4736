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

// attemptTimeout bounds one attempt, so that an endpoint that never answers does not
// use up the time of the whole change. An attempt makes about 7 store calls.
const attemptTimeout = 30 * time.Second

var (
	// ErrChangeIDReused is returned if the change id was already used for different content.
	ErrChangeIDReused = errors.New("change id was already used for another change")
	// ErrOutcomeUnknown is returned if a write was sent and the store did not answer
	// whether it took effect. Applying the same change id again is safe: it never takes
	// effect twice.
	ErrOutcomeUnknown = errors.New("the store did not answer; whether the change took effect is unknown")
	// ErrInvalidChange is returned if the arguments of a change are invalid.
	ErrInvalidChange = errors.New("invalid change")

	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// Change is a change of the configuration. Exactly one of Source and RollbackTo must
// be set.
type Change struct {
	// ID identifies the change over all retries. It must have 1 to 64 letters, digits,
	// dots, dashes or underscores.
	ID string
	// Who is the operator who applies the change. It must be set.
	Who string
	// From is the name of the machine on which the change is made. It must be set.
	From string
	// Reason is free text for the audit trail. It may be empty.
	Reason string
	// Base is the version that the change was made against. If nil, it is the version
	// that is current at the first attempt.
	Base *uint64
	// Source is the new configuration. It is nil for a rollback.
	Source *Source
	// RollbackTo is the version to restore, or 0 if Source is set.
	RollbackTo uint64
	// KeepVersions is how many versions are kept, including the new one; 0 means 1,000.
	// The audit trail and the change ids are always kept.
	KeepVersions uint64
	// Now returns the time of the change. If nil, time.Now is used.
	Now func() time.Time
	// Backoff is the delay between attempts.
	Backoff backoff.Policy
}

// Result is the outcome of a successful Apply.
type Result struct {
	// Version is the version that the change created, or the current one if Unchanged is set.
	Version uint64
	// AlreadyApplied is set if an earlier attempt with this change id created the version.
	AlreadyApplied bool
	// Unchanged is set if the current version already has the content of the change. No
	// version was created then.
	Unchanged bool
}

// ConflictError is returned if another change was applied after the base version.
type ConflictError struct {
	// Base is the version that the change was made against, and Version the current one.
	Base, Version uint64
	// AppliedBy, Time and ChangeID describe the first version after Base.
	AppliedBy string
	Time      time.Time
	ChangeID  string
	// Fields are the fields of the change that other changes also changed since Base, and
	// OtherFields all fields that other changes changed since Base, including Fields.
	Fields, OtherFields []string
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict: the change was made to version %d, and %s applied change %s to it first at %s; "+
		"the current version is %d", e.Base, e.AppliedBy, e.ChangeID, e.Time.Format(time.RFC3339), e.Version)
	if len(e.Fields) > 0 {
		return text + "; conflicting fields: " + strings.Join(e.Fields, ", ")
	}
	return text + "; no field is changed by both, other changed fields: " + strings.Join(e.OtherFields, ", ")
}

func (c *Change) validate() error {
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

// Apply stores a new version by compare-and-swap against the base version. It blocks
// and retries while the store is unavailable, until ctx ends. Then it returns
// ErrOutcomeUnknown if the transaction that stores the version was sent and not
// answered, or else store.ErrUnavailable.
func Apply(ctx context.Context, s store.Store, c Change) (result Result, err error) {
	defer func() { err = errors.WithMessage(err, "apply configuration") }()
	if err = c.validate(); err != nil {
		return result, err
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.KeepVersions == 0 {
		c.KeepVersions = defaultKeepVersions
	}
	a := &applier{store: s, change: &c}
	failures := 0
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		done, err := a.tryOnce(attempt)
		cancel()
		switch {
		case err == nil && done:
			return a.result, nil
		case err == nil:
			// Another writer changed the configuration or the audit trail during the attempt.
			failures = 0
		case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded),
			errors.Is(err, context.Canceled):
			failures++
		default:
			return result, err
		}
		if sleepErr := c.Backoff.Sleep(ctx, failures); sleepErr != nil {
			if a.outcomeUnknown {
				return result, errors.WithMessagef(ErrOutcomeUnknown, "change id %s", c.ID)
			}
			return result, errors.WithMessagef(store.ErrUnavailable, "this run sent no write: %v", sleepErr)
		}
	}
}

// applier holds the state of one change across its attempts.
type applier struct {
	store  store.Store
	change *Change
	result Result
	// source, packed and digest are set by loadContent.
	source *Source
	packed []byte
	digest string
	// outcomeUnknown is set once the transaction that stores the version was sent and its
	// answer did not arrive.
	outcomeUnknown bool
}

func (a *applier) tryOnce(ctx context.Context) (done bool, err error) {
	if err = a.loadContent(ctx); err != nil {
		return false, err
	}
	if done, err = a.findEarlierAttempt(ctx); done || err != nil {
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
		return a.explainConflict(ctx, current)
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

// loadContent loads and packs the content of the change, unless an earlier attempt did.
func (a *applier) loadContent(ctx context.Context) (err error) {
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

// findEarlierAttempt looks for the entry of the change id. If there is one, an earlier
// attempt took effect, and its version is the result.
func (a *applier) findEarlierAttempt(ctx context.Context) (done bool, err error) {
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

// explainConflict returns a ConflictError for a change whose base version is no longer
// current. Such a change can no longer take effect, unless an earlier attempt already
// did; then its version is the result.
func (a *applier) explainConflict(ctx context.Context, current *Snapshot) (done bool, err error) {
	if done, err = a.findEarlierAttempt(ctx); done || err != nil {
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
	next, err := LoadVersion(ctx, a.store, base+1)
	if err != nil {
		return false, err
	}
	if before == nil || next == nil {
		return false, errors.WithMessagef(ErrInvalidChange, "base version %d is no longer kept; the current version is %d",
			base, current.Version())
	}
	changesSinceBase, err := Diff(before.source.raw, current.source.raw)
	if err != nil {
		return false, err
	}
	ownChanges, err := Diff(before.source.raw, a.source.raw)
	if err != nil {
		return false, err
	}
	a.removeChunks(ctx, base+1)
	m := next.manifest
	return false, &ConflictError{
		Base: base, Version: current.Version(), AppliedBy: m.Who, Time: m.Time, ChangeID: m.ChangeID,
		Fields: overlap(ownChanges, changesSinceBase), OtherFields: fieldsOf(changesSinceBase),
	}
}

func fieldsOf(changes []audit.FieldChange) (fields []string) {
	for _, c := range changes {
		fields = append(fields, c.Field)
	}
	return fields
}
