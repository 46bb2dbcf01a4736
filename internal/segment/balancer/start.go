package balancer

import (
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/process/logging"
)

// isStarting reports whether the balancer started less than entryReturnDelay ago. Agents without an entry may not have
// reported to it yet, and it cannot tell whether entries lapsed or were lost just before. b.mu must be held.
func (b *Balancer) isStarting(now time.Time) bool { return now.Sub(b.startedAt) <= entryReturnDelay }

// mayMissAgents reports whether agents may hold flows that neither the list nor a message has shown to this balancer,
// because it is starting. That cannot be if it has the agents of an established balancer and the watchers have a complete
// list. If no balancer is established, it cannot be if all hosts have just started too: then nothing has survived, and
// callers would wait for resets in vain. b.mu must be held.
func (b *Balancer) mayMissAgents(now time.Time) bool {
	switch {
	case !b.isStarting(now):
		return false
	case b.peers.AnyEstablished():
		return !b.agentsCompared || !b.peers.ListIsComplete(now, b.list.revision)
	}
	return !b.nothingSurvived(now)
}

// nothingSurvived reports whether everything has lost power just before, so that no flow from before is left: the balancer
// is starting, no balancer is established, and all hosts have just started. b.mu must be held.
func (b *Balancer) nothingSurvived(now time.Time) bool {
	return b.isStarting(now) && !b.peers.AnyEstablished() && b.core.HostsJustStarted()
}

// updateStart decides on the circumstances of the balancer's start, and logs them if they have changed. b.mu must be held.
func (b *Balancer) updateStart(now time.Time) {
	established := b.peers.AnyEstablished()
	state := b.core.UpdateStart(b.isStarting(now), established)
	if state == b.startState {
		return
	}
	b.startState = state
	logging.Line(level.Info(b.config.Logger), "event", "start_judged", "state", state, "balancer_ran_before", established,
		"agents_answering", b.core.AnsweringCount(now), "agents_known", len(b.core.Agents()))
}
