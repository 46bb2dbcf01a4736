package weights

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, work := range []time.Duration{16, 50, 160, 1000} {
		t.Run(fmt.Sprint("work ", work), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				r := defaultRules()
				c := modelConfig{seed: seed, rules: r, speeds: []float64{8, 1, 4, 2, 6, 1, 3}, work: work * time.Millisecond, load: 0.7, wrong: 2}
				m := newModel(c)
				m.runUntil(120 * time.Second)
				early, moves := m.published, m.moved
				m.reset()
				m.runUntil(300 * time.Second)
				im := m.imbalance()
				e2, m2 := m.published, m.moved
				if work > 16 {
					m.runUntil(900 * time.Second)
				}
				t.Logf("work %v seed %d: imbalance %.3f p99 %v; versions %d, moved %d by 120 s, then %d, %d, from 300 to 900 s %d, %d, last %v", work, seed,
					im, m.wait(0.99), early, moves, e2-early, m2-moves, m.published-e2, m.moved-m2, m.lastMove)
			}
		})
	}
}
