package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is a request of a play. Its work is the time in seconds that it takes alone at the host.
type request struct {
	arrivedAt time.Time
	token     Token
	class     uint32
	work      float64
}

// play plays requests against a host of a known curve, behind an agent that holds back requests beyond the limit.
type play struct {
	*Estimator
	random *rand.Rand
	now    time.Time
	// The host processes slots requests at once and queues the others. It has a speed and slows down with more than slowFrom
	// requests at once, by their ratio to the power of exponent. It fails a share failFast of the requests at once.
	slots                               int
	speed, slowFrom, exponent, failFast float64
	failure                             Outcome
	// Each of callers sends its next request once it has an answer; if there are none, rate requests arrive a second. The
	// work of requests is heavy-tailed if tail is set; a share slowMix of them is of class 1 and takes three times as long.
	callers       int
	rate, slowMix float64
	tail          bool
	fixedLimit    int
	nextAt        time.Time
	atHost, held  []*request
	// times are the times until callers had their answers.
	times                    []float64
	medianLimit, lowestLimit int
}

func newPlay(seed uint64, slots int, change func(p *play)) *play {
	e, err := New(Config{Slots: slots})
	if err != nil {
		panic(err)
	}
	p := &play{Estimator: e, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), slots: slots, speed: 1, slowFrom: 1e9}
	change(p)
	return p
}

func (p *play) arrive() {
	r := &request{arrivedAt: p.now, work: 0.03}
	if p.random.Float64() < p.slowMix {
		r.class, r.work = 1, 3*r.work
	}
	if p.tail {
		r.work *= math.Exp(p.random.NormFloat64()*0.5 - 0.125)
		if p.random.Float64() < 0.03 {
			r.work *= 7
		}
	}
	if p.random.Float64() < p.failFast {
		r.work = 0.001
	}
	p.held = append(p.held, r)
}

// run plays for a time, to which times and the limits then refer.
func (p *play) run(d time.Duration) *play {
	var limits []int
	p.times = nil
	for end := p.now.Add(d); p.now.Before(end); {
		for p.callers > len(p.atHost)+len(p.held) {
			p.arrive()
		}
		limit := p.Limit(p.now)
		limits = append(limits, limit)
		if p.fixedLimit > 0 {
			limit = p.fixedLimit
		}
		for len(p.held) > 0 && p.InProgress() < limit {
			p.held[0].token = p.Begin(p.now)
			p.atHost, p.held = append(p.atHost, p.held[0]), p.held[1:]
		}
		p.advance(end)
	}
	slices.Sort(limits)
	p.lowestLimit, p.medianLimit = limits[0], limits[len(limits)/2]
	return p
}

// advance goes on to the next answer or arrival.
func (p *play) advance(end time.Time) {
	active := p.atHost[:min(len(p.atHost), p.slots)]
	speed := p.speed / math.Pow(max(1, float64(len(active))/p.slowFrom), p.exponent)
	elapsed, first := end.Sub(p.now).Seconds(), -1
	if p.rate > 0 {
		elapsed = max(p.nextAt.Sub(p.now).Seconds(), 0)
	}
	for i, r := range active {
		if r.work/speed < elapsed {
			elapsed, first = r.work/speed, i
		}
	}
	for _, r := range active {
		r.work -= elapsed * speed
	}
	p.now = p.now.Add(time.Duration(math.Ceil(elapsed * 1e9)))
	if first >= 0 {
		r := p.atHost[first]
		p.atHost = slices.Delete(p.atHost, first, first+1)
		sample := Sample{Token: r.token, Class: r.class}
		if p.now.Sub(r.token.begunAt) < 2*time.Millisecond {
			sample.Outcome = p.failure
		}
		p.Observe(p.now, sample)
		p.times = append(p.times, p.now.Sub(r.arrivedAt).Seconds())
	} else if p.rate > 0 {
		p.arrive()
		p.nextAt = p.now.Add(time.Duration(p.random.ExpFloat64() / p.rate * 1e9))
	}
}

// mean returns the mean time in seconds until callers had their answers.
func (p *play) mean() (mean float64) {
	for _, t := range p.times {
		mean += t / float64(len(p.times))
	}
	return mean
}
