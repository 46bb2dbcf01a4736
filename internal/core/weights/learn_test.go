package weights

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for seed := range uint64(4) {
		c := modelConfig{seed: seed, rules: defaultRules(), speeds: []float64{8, 1, 4, 2, 6, 1, 3}, work: 16 * time.Millisecond, load: 0.7, wrong: 2}
		start := time.Now()
		m := newModel(c)
		m.runUntil(120 * time.Second)
		early, moves := m.published, m.moved
		m.reset()
		m.runUntil(300 * time.Second)
		c.placing = hashing
		took := time.Since(start)
		b := newModel(c)
		b.runUntil(120 * time.Second)
		b.reset()
		b.runUntil(300 * time.Second)
		t.Logf("seed %d: imbalance %.3f, baseline %.3f; p99 %v, baseline %v, ratio %.2f; p50 %v %v; versions %d, moved %d by 120 s, then %d, %d, last %v; refused %d; flows %d took %v", seed,
			m.imbalance(), b.imbalance(), m.wait(0.99), b.wait(0.99), float64(m.wait(0.99))/float64(b.wait(0.99)), m.wait(0.5), b.wait(0.5),
			early, moves, m.published-early, m.moved-moves, m.lastMove, m.refused, len(m.waits), took)
	}
}
