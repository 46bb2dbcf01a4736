package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/registry"
)

const (
	// operatorBatchInterval and agentsBatchInterval are the least times between two reads of changes from the store, so
	// that changes close together are applied at once.
	operatorBatchInterval = 150 * time.Millisecond
	agentsBatchInterval   = 200 * time.Millisecond
	// watchCheckInterval is how often a balancer checks whether it has to watch the store.
	watchCheckInterval = 200 * time.Millisecond
	// entryReturnDelay is how long after the store's return its list of agents may lack agents that run. An agent that
	// no balancer asks for its status sends it to all that it knows every 500 ms; this is the time for two of them.
	entryReturnDelay = 1200 * time.Millisecond
)

// listedAgent is an agent in the store's list, with the revision of the last change of its entry.
type listedAgent struct {
	address  netip.Addr
	revision int64
}

// agentList is a copy of the store's list of agents.
type agentList struct {
	// agents are sorted by address. They are nil before the first read.
	agents []listedAgent
	// revision is the revision of the store that the list is of, and zero before the first read.
	revision store.Revision
}

// addresses returns the addresses of the agents.
func (l agentList) addresses() (addresses []netip.Addr) {
	for _, a := range l.agents {
		addresses = append(addresses, a.address)
	}
	return addresses
}

// revisions returns the revision of the entry of each agent.
func (l agentList) revisions() (revisions map[netip.Addr]int64) {
	revisions = make(map[netip.Addr]int64, len(l.agents))
	for _, a := range l.agents {
		revisions[a.address] = max(revisions[a.address], a.revision)
	}
	return revisions
}

// watchStore watches the store until ctx ends, whenever it is the turn of this balancer.
func (b *Balancer) watchStore(ctx context.Context) (err error) {
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	var mirrors *group.Group
	for {
		switch should := b.updateWatching(); {
		case should && mirrors == nil:
			if mirrors, err = b.startMirrors(ctx); err != nil {
				return err
			}
		case !should && mirrors != nil:
			mirrors.Stop()
			if err = mirrors.Wait(); err != nil {
				return err
			}
			mirrors = nil
		}
		select {
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		if mirrors == nil {
			return nil
		}
		return mirrors.Wait()
	}
}

// startMirrors begins to copy the operator's keys and the list of agents from the store.
func (b *Balancer) startMirrors(ctx context.Context) (mirrors *group.Group, err error) {
	retries := registry.NewRetryBudget()
	agentsMirror, err := registry.NewMirror(registry.MirrorConfig{
		Store: b.config.Store, Prefix: registry.KeyPrefix, BatchInterval: agentsBatchInterval, OnChange: b.handleAgentEntries, RetryBudget: retries, Logger: b.config.Logger,
	})
	if err != nil {
		return nil, err
	}
	// The store holds watches of the operator's keys for a shorter time, so that they show a restore first.
	operatorMirror, err := registry.NewMirror(registry.MirrorConfig{
		Store: b.config.Store, Prefix: b.operatorPrefix(), BatchInterval: operatorBatchInterval, OnChange: b.handleOperatorEntries, OnReachable: b.handleStoreReachable,
		OnGeneration: agentsMirror.Refresh, RetryBudget: retries, Logger: b.config.Logger,
	})
	if err != nil {
		return nil, err
	}
	mirrors = group.New(ctx)
	mirrors.Go("mirror operator's keys", operatorMirror.Run)
	mirrors.Go("mirror agents", agentsMirror.Run)
	return mirrors, nil
}

// updateWatching decides whether this balancer watches the store and records it.
func (b *Balancer) updateWatching() (watching bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	watching = b.peers.ShouldWatch(now)
	if watching != b.watching {
		b.watching, b.storeDown, b.storeReturnedAt = watching, false, time.Time{}
		b.peers.SetWatching(watching)
		logging.Line(level.Info(b.config.Logger), "event", "store_watch_changed", "self", b.config.Address, "watching", watching,
			"balancers_known", len(b.peers.Addresses()), "list_revision", b.list.revision.Number, "config_version", b.core.Routes().Version())
	}
	return watching
}

// handleStoreReachable records a response of the store, or a failed call.
func (b *Balancer) handleStoreReachable(reachable bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if reachable && b.storeDown {
		b.storeReturnedAt = now
	}
	b.storeDown = !reachable
	b.peers.RecordStore(now, reachable)
	b.updateListComplete(now)
}

// agentsComplete reports whether the known agents are all that exist. The list is incomplete before the first read,
// during an outage of the store, until entryReturnDelay after an outage or a restore unless everything lost power, and while
// mayMissAgents holds. A balancer that does not watch the store relies on the watchers. b.mu must be held.
func (b *Balancer) agentsComplete(now time.Time) bool {
	switch {
	case b.list.revision.Number == 0 || b.mayMissAgents(now):
		return false
	case !b.watching:
		return b.peers.ListIsComplete(now, b.list.revision)
	}
	_, reachable := b.storeAge(now)
	return reachable && (b.nothingSurvived(now) || now.Sub(b.storeReturnedAt) > entryReturnDelay)
}

// updateListComplete passes agentsComplete to the dispatcher, which may have flows that wait for it. b.mu must be held.
func (b *Balancer) updateListComplete(now time.Time) {
	b.updateStart(now)
	b.core.SetAgentListComplete(b.agentsComplete(now))
	b.wakeTimer()
}

// storeAge returns the time since the last response of the store, and whether this balancer watches the store and
// reaches it. b.mu must be held.
func (b *Balancer) storeAge(now time.Time) (age time.Duration, reachable bool) {
	age, watching := b.peers.StoreAge(now)
	return age, watching && age < message.UnknownAge
}

// handleAgentEntries applies the list of agents that the store holds. Entries that cannot be decoded are logged and
// skipped.
func (b *Balancer) handleAgentEntries(entries map[string]store.Entry, revision store.Revision) {
	list := agentList{revision: revision}
	for key, entry := range entries {
		e, err := registry.DecodeEntry(key, entry.Value)
		if err != nil {
			logging.Line(level.Warn(b.config.Logger), "event", "entry_unreadable", "key", key, "revision", entry.ModRevision, "err", err)
			continue
		}
		list.agents = append(list.agents, listedAgent{address: e.Address, revision: entry.ModRevision})
	}
	slices.SortFunc(list.agents, func(a, b listedAgent) int { return a.address.Compare(b.address) })
	b.applyList(list, "store")
	b.wakeDigest()
}

// wakeDigest makes exchangeStatus send digests at once.
func (b *Balancer) wakeDigest() {
	select {
	case b.digestWake <- struct{}{}:
	default:
	}
}

// applyList replaces the list of agents unless the current one is of a later revision of the store. It sends a Hello to
// the agents whose entries are new: they have started. The first list after a restore of the store may lack agents that
// run. The source is named in the log.
func (b *Balancer) applyList(list agentList, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if list.revision.Compare(b.list.revision) < 0 {
		b.decisions.Log(now, "agents_list_outdated", "", "source", source, "generation", list.revision.Generation,
			"revision", list.revision.Number, "current", b.list.revision.Number)
		return
	}
	if b.list.revision.Number != 0 && list.revision.Generation != b.list.revision.Generation {
		b.storeReturnedAt = now
	}
	known, listed := b.list.revisions(), list.revisions()
	b.list = list
	b.core.SetListedAgents(now, list.addresses())
	b.updateListComplete(now)
	logging.Line(level.Info(b.config.Logger), "event", "agents_listed", "count", len(listed), "generation", list.revision.Generation,
		"revision", list.revision.Number, "source", source)
	for address, revision := range listed {
		if revision != known[address] {
			b.sendMessage(address, message.Hello{})
		}
	}
	if !b.watching {
		return
	}
	for _, address := range b.core.AnsweringAgents(now) {
		if _, wasListed := known[address]; wasListed && listed[address] == 0 {
			b.sendMessage(address, message.Hello{Unlisted: true})
		}
	}
}
