package balancer

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
	"agateramp/internal/segment/evacuation"
)

// usesEvacuations reports whether data centres can be evacuated.
func (b *Balancer) usesEvacuations() bool { return b.config.EvacuationPrefix != "" }

// operatorPrefix returns the prefix of the store keys of the operator that are watched.
func (b *Balancer) operatorPrefix() string {
	if b.usesEvacuations() {
		return b.config.OperatorPrefix
	}
	return b.config.ConfigKey
}

// handleOperatorEntries applies the evacuations and the configuration that the store holds.
func (b *Balancer) handleOperatorEntries(entries map[string]store.Entry, revision store.Revision) {
	changed := b.usesEvacuations() && b.readEvacuations(entries, revision)
	if entry, ok := entries[b.config.ConfigKey]; ok && b.applyConfig(entry.Value, "store") {
		changed = true
	}
	if changed {
		b.wakeDigest()
	}
}

// readEvacuations applies the evacuations among the operator's entries at a revision, and reports whether they have
// changed. Entries without a configuration are incomplete if one is in force, because the operator never removes it.
func (b *Balancer) readEvacuations(entries map[string]store.Entry, revision store.Revision) (changed bool) {
	var dataCentres []string
	for key := range entries {
		if dataCentre, ok := strings.CutPrefix(key, b.config.EvacuationPrefix); ok && dataCentre != "" {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	state, omitted := evacuation.New(revision, dataCentres)
	if omitted > 0 {
		logging.Line(level.Error(b.config.Logger), "event", "evacuations_omitted", "count", omitted, "revision", revision.Number)
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := entries[b.config.ConfigKey]; !ok && b.core.Routes() != nil {
		logging.Line(level.Warn(b.config.Logger), "event", "evacuations_incomplete", "entries", len(entries), "revision", revision.Number)
		b.evacuations.AddIncomplete(revision, dataCentres)
		return b.updateEvacuated(now, "store")
	}
	return b.applyEvacuations(now, state, "store")
}

// applyEvacuations replaces the state of the evacuations by a later one, and reports whether the evacuated data centres
// have changed. The source is named in the log. b.mu must be held.
func (b *Balancer) applyEvacuations(now time.Time, s evacuation.State, source string) (changed bool) {
	if !b.usesEvacuations() || !b.evacuations.Merge(now, s) {
		return false
	}
	return b.updateEvacuated(now, source)
}

// exchangeEvacuations applies the state in a message of an agent. If the agent's state is earlier than that of the
// balancer, the agent is sent a Hello. b.mu must be held.
func (b *Balancer) exchangeEvacuations(now time.Time, from netip.Addr, s evacuation.State) {
	if !b.usesEvacuations() || !s.Known() {
		return
	}
	b.applyEvacuations(now, s, from.String())
	if b.evacuations.State().IsLater(s) {
		b.sendMessage(from, b.hello(from))
	}
}

// updateEvacuated passes the evacuated data centres to the dispatcher if they have changed, and reports whether they
// have. A balancer that watches the store sends a Hello to the agents concerned. b.mu must be held.
func (b *Balancer) updateEvacuated(now time.Time, source string) (changed bool) {
	evacuated := b.evacuations.Evacuated(now)
	if slices.Equal(evacuated, b.evacuated) {
		return false
	}
	previous := b.evacuated
	b.evacuated = evacuated
	b.core.SetEvacuated(evacuated)
	revision := b.evacuations.State().Revision()
	logging.Line(level.Info(b.config.Logger), "event", "evacuations_changed", "evacuated", strings.Join(evacuated, " "), "previous", strings.Join(previous, " "),
		"generation", revision.Generation, "revision", revision.Number, "source", source)
	if !b.watching {
		return true
	}
	for _, dataCentre := range slices.Concat(evacuated, previous) {
		if slices.Contains(evacuated, dataCentre) == slices.Contains(previous, dataCentre) {
			continue
		}
		for _, address := range b.core.AgentsIn(dataCentre) {
			b.sendMessage(address, b.hello(address))
		}
	}
	return true
}
