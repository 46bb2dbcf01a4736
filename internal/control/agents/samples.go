package agents

const (
	// saturated is the busy share, in thousandths, from which each heartbeat is
	// passed on by itself: the learner counts successive saturated ones.
	saturated = 970
	// maxSamples is the most heartbeats that are passed on as one.
	maxSamples = 4
)

// samples gathers the busy shares of a host. A shard holder at design scale
// hears of 460 hosts; at one frame a second for each it would receive 17 KB/s of
// the 9 KB/s that a process may use.
type samples struct {
	sum, count uint32
	// hot is set when the last share was saturated.
	hot bool
}

// sample is the mean busy share of some heartbeats.
type sample struct{ share, count uint32 }

// add takes a busy share and returns what is to be passed on now. The mean over
// all samples is kept; a change between saturated and not is passed on at once.
func (s *samples) add(share uint32) (out []sample) {
	hot := share >= saturated
	if (hot || s.hot) && s.count > 0 {
		out = append(out, s.take())
	}
	s.sum, s.count = s.sum+share, s.count+1
	if hot || s.hot || s.count == maxSamples {
		out = append(out, s.take())
	}
	s.hot = hot
	return out
}

func (s *samples) take() (out sample) {
	out = sample{s.sum / s.count, s.count}
	s.sum, s.count = 0, 0
	return out
}
