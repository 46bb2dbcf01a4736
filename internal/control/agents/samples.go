package agents

const (
	// saturatedShare is the busy share, in thousandths, at and above which each heartbeat is
	// forwarded separately, because the weight learner counts consecutive saturated heartbeats.
	saturatedShare = 970
	// maxSamples is the largest number of heartbeats that are forwarded as one mean.
	maxSamples = 4
)

// busyShareAverager combines the busy shares of a host into means, to save traffic. The busy share
// is busy slots over slots of the host since its last heartbeat. A shard holder at design scale
// receives the heartbeats of 460 hosts; with one frame per second for each host it would receive
// 17 KB/s, but a process may use only 9 KB/s.
type busyShareAverager struct {
	sum, count uint32
	// wasSaturated is set if the last share was saturated.
	wasSaturated bool
}

// busyShareMean is the mean busy share, in thousandths, of count successive heartbeats.
type busyShareMean struct{ share, count uint32 }

// add records a busy share and returns the means that are due. Every share enters exactly one
// mean. A change to or from saturation is returned at once.
func (s *busyShareAverager) add(share uint32) (out []busyShareMean) {
	saturated := share >= saturatedShare
	if (saturated || s.wasSaturated) && s.count > 0 {
		out = append(out, s.flush())
	}
	s.sum, s.count = s.sum+share, s.count+1
	if saturated || s.wasSaturated || s.count == maxSamples {
		out = append(out, s.flush())
	}
	s.wasSaturated = saturated
	return out
}

// flush returns the mean of the recorded shares and starts anew. There must be at least one share.
func (s *busyShareAverager) flush() (out busyShareMean) {
	out = busyShareMean{s.sum / s.count, s.count}
	s.sum, s.count = 0, 0
	return out
}
