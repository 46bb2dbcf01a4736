package balancer

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/process/logging"
	"agateramp/internal/segment/paths"
)

// newPaths returns the set of data centres that a balancer reaches, or nil if it does not relay packets.
func newPaths(c Config) (s *paths.Set, err error) {
	if !c.RelayPackets || c.DataCentre == "" {
		return nil, nil
	}
	return paths.New(paths.Config{DataCentre: c.DataCentre})
}

// pollPartInterval returns the interval between two parts of a poll.
func (b *Balancer) pollPartInterval() time.Duration {
	if b.paths != nil {
		return relayPollPartInterval
	}
	return pollPartInterval
}

// updatePaths removes old digests, and logs which data centres are cut off if that has changed. b.mu must be held.
func (b *Balancer) updatePaths(now time.Time) {
	b.paths.Expire(now)
	cutOff := b.paths.CutOff()
	if slices.Equal(cutOff, b.loggedCutOff) {
		return
	}
	b.loggedCutOff = cutOff
	relays := 0
	for _, name := range cutOff {
		relays += len(b.paths.Relays(name))
	}
	logging.Line(level.Info(b.config.Logger), "event", "data_centres_cut_off", "cut_off", strings.Join(cutOff, ","), "relays", relays)
}
