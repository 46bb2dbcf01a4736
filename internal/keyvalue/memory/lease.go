package memory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

type lease struct {
	ttlSeconds int64
	deadline   time.Time
	keys       map[string]struct{}
}

// renew moves the deadline to a full time to live from now.
func (l *lease) renew(now time.Time) {
	l.deadline = now.Add(time.Duration(l.ttlSeconds) * time.Second)
}

// Grant returns a new lease.
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
	s.schedule()
	return s.lastLease, nil
}

// KeepAlive renews a lease once.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (err error) {
	if err = ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return errors.WithMessagef(store.ErrLeaseNotFound, "lease %x", int64(id))
	}
	l.renew(s.now())
	return nil
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
	s.end(id)
	return nil
}

// TTL returns the granted time of a lease in seconds, or 0 when there is no such lease.
func (s *Store) TTL(id store.LeaseID) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		return l.ttlSeconds
	}
	return 0
}

// ExpireLeases expires the leases whose deadline has passed. Only a store with an
// injected clock needs it, so that watches see an expiry without another call.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

// expire ends every lease that is past its deadline.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.end(id)
		}
	}
}

func (s *Store) end(id store.LeaseID) {
	var writes []store.Write
	for _, key := range sortedKeys(s.leases[id].keys) {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	delete(s.leases, id)
	s.commit(writes)
}

// schedule sets the timer to the earliest deadline. A renewal leaves the timer
// as it is: it then fires early and is set again.
func (s *Store) schedule() {
	if !s.realTime || len(s.leases) == 0 {
		return
	}
	var first time.Time
	for _, l := range s.leases {
		if first.IsZero() || l.deadline.Before(first) {
			first = l.deadline
		}
	}
	if s.timer != nil {
		if !first.Before(s.timerAt) {
			return
		}
		s.timer.Stop()
	}
	s.timerAt = first
	s.timer = time.AfterFunc(time.Until(first), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.expire()
		s.schedule()
	})
}
