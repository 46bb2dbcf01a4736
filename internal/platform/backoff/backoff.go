// Package backoff spreads retries, so that a fleet does not return to a store
// at once after an outage.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Policy says how long to wait between attempts. The zero value is the default.
type Policy struct {
	// First bounds the first wait. Empty means 100 ms.
	First time.Duration
	// Max bounds every wait. Empty means 5 s.
	Max time.Duration
}

// Spread is for the long-lived watches of a fleet. One retry of each of 720
// balancers and two calls per retry, spread over 10 s, are 144 calls/s, below
// the bound of 200 calls/s after an outage.
var Spread = Policy{First: 10 * time.Second, Max: 10 * time.Second}

// Sleep waits a random time between 0 and a bound that doubles with each
// attempt, counted from 0. It returns the error of ctx when that ends first.
func (p Policy) Sleep(ctx context.Context, attempt int) error {
	if p.First <= 0 {
		p.First = 100 * time.Millisecond
	}
	if p.Max <= 0 {
		p.Max = 5 * time.Second
	}
	bound := p.Max
	if attempt < 30 {
		bound = min(p.Max, p.First<<attempt)
	}
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
