package memory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// lease is a granted lease with the keys that it deletes when it ends.
type lease struct {
	ttlSeconds int64
	deadline   time.Time
	keys       map[string]struct{}
}

// renew sets the deadline to the full time to live from now.
func (l *lease) renew(now time.Time) {
	l.deadline = now.Add(time.Duration(l.ttlSeconds) * time.Second)
}

// Grant returns a new lease that expires ttlSeconds after its last renewal.
func (s *Store) Grant(ctx context.Context, ttlSeconds int64) (id store.LeaseID, err error) {
	if err = ctx.Err(); err != nil {
		return 0, err
	}
	if ttlSeconds <= 0 {
		return 0, errors.WithMessagef(store.ErrRejected, "lease of %d s", ttlSeconds)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.lastLease++
	l := &lease{ttlSeconds: ttlSeconds, keys: map[string]struct{}{}}
	l.renew(s.now())
	s.leases[s.lastLease] = l
	s.scheduleExpiry()
	return s.lastLease, nil
}

// KeepAlive renews a lease once, and returns the generation of the store. It returns
// store.ErrLeaseNotFound if the lease has ended.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (generation uint64, err error) {
	if err = ctx.Err(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return s.generation, errors.WithMessagef(store.ErrLeaseNotFound, "lease %x", int64(id))
	}
	l.renew(s.now())
	return s.generation, nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) (err error) {
	if err = ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return errors.WithMessagef(store.ErrLeaseNotFound, "lease %x", int64(id))
	}
	s.endLease(id)
	return nil
}

// TTL returns the granted time to live of a lease in seconds, or 0 if the lease does not
// exist.
func (s *Store) TTL(id store.LeaseID) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		return l.ttlSeconds
	}
	return 0
}

// ExpireLeases expires the leases whose deadline has passed, so that watches see the expiry
// without another call. Only a store with an injected clock needs it.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends every lease whose deadline has passed. The caller holds mu.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys in one revision. The caller holds mu.
func (s *Store) endLease(id store.LeaseID) {
	var writes []store.Write
	for _, key := range sortedKeys(s.leases[id].keys) {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	delete(s.leases, id)
	s.commit(writes)
}

// scheduleExpiry sets the timer to the earliest deadline. A renewal does not move the
// timer: it then fires early and is set again. The caller holds mu.
func (s *Store) scheduleExpiry() {
	if !s.realTime || len(s.leases) == 0 {
		return
	}
	var earliest time.Time
	for _, l := range s.leases {
		if earliest.IsZero() || l.deadline.Before(earliest) {
			earliest = l.deadline
		}
	}
	if s.timer != nil {
		if !earliest.Before(s.timerAt) {
			return
		}
		s.timer.Stop()
	}
	s.timerAt = earliest
	s.timer = time.AfterFunc(time.Until(earliest), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.expire()
		s.scheduleExpiry()
	})
}
