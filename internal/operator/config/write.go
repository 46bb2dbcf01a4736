package config

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/audit"
)

// write commits the change as the version after current. It returns false if the
// compare-and-swap failed; the next attempt determines the cause.
func (a *applier) write(ctx context.Context, current *Snapshot, changes []audit.FieldChange) (done bool, err error) {
	next := a.newManifest(current)
	value, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	changeValue, err := json.Marshal(changeEntry{Version: next.Version, Digest: a.digest})
	if err != nil {
		return false, err
	}
	kind := audit.KindApply
	if next.RollbackTo != 0 {
		kind = audit.KindRollback
	}
	compares, writes, err := audit.Prepare(ctx, a.store, audit.Record{
		Time: next.Time, Kind: kind, Who: next.Who, From: next.From, Reason: next.Reason,
		ChangeID: next.ChangeID, Base: next.Base, Version: next.Version, Diff: changes,
	})
	if err != nil {
		return false, err
	}
	removals, err := a.removals(ctx, next.Version)
	if err != nil {
		return false, err
	}
	writes = append(writes, removals...)
	parts := splitChunks(a.packed)
	for i, key := range next.Chunks {
		chunk := store.Write{Key: key, Value: parts[i]}
		if len(parts) == 1 {
			writes = append(writes, chunk)
			break
		}
		if _, err = a.store.Txn(ctx, nil, []store.Write{chunk}); err != nil {
			return false, err
		}
	}
	compares = append(compares,
		store.Compare{Key: CurrentKey, Revision: current.modRevision},
		store.Compare{Key: versionKey(next.Version)}, store.Compare{Key: changeKey(next.ChangeID)})
	writes = append(writes,
		store.Write{Key: CurrentKey, Value: value}, store.Write{Key: versionKey(next.Version), Value: value},
		store.Write{Key: changeKey(next.ChangeID), Value: changeValue})
	result, err := a.store.Txn(ctx, compares, writes)
	if err != nil {
		a.outcomeUnknown = true
		return false, err
	}
	if !result.Succeeded {
		return false, nil
	}
	a.result = Result{Version: next.Version}
	return true, nil
}

// removals returns the writes that delete the oldest version, which exceeds
// KeepVersions once the new version is written.
func (a *applier) removals(ctx context.Context, version uint64) (writes []store.Write, err error) {
	if version <= a.change.KeepVersions {
		return nil, nil
	}
	key := versionKey(version - a.change.KeepVersions)
	entry, _, err := a.store.Get(ctx, key)
	if err != nil || entry == nil {
		return nil, err
	}
	old, err := DecodeManifest(entry.Value)
	if err != nil {
		// A corrupt old version must not prevent new ones.
		return nil, nil
	}
	writes = append(writes, store.Write{Key: key, Delete: true})
	for _, chunk := range old.Chunks[:min(len(old.Chunks), maxRemovedChunks)] {
		writes = append(writes, store.Write{Key: chunk, Delete: true})
	}
	return writes, nil
}

func (a *applier) newManifest(current *Snapshot) *Manifest {
	c, old := a.change, current.manifest
	next := &Manifest{
		Version: old.Version + 1, ChangeID: c.ID, Base: old.Version, RollbackTo: c.RollbackTo, Who: c.Who,
		From: c.From, Time: c.Now().UTC(), Reason: c.Reason, NextServiceID: old.NextServiceID, Digest: a.digest,
	}
	for i := range splitChunks(a.packed) {
		next.Chunks = append(next.Chunks, chunkKey(next.Version, c.ID, a.digest, i))
	}
	known := map[string]ManifestService{}
	for _, s := range old.Services {
		known[s.Name] = s
	}
	for _, name := range a.source.document.ServiceNames() {
		s, ok := known[name]
		if !ok {
			s = ManifestService{ID: next.NextServiceID, Name: name}
			next.NextServiceID++
		}
		if !ok || !sameService(current.source.document, a.source.document, name) {
			s.Version = next.Version
		}
		next.Services = append(next.Services, s)
	}
	slices.SortFunc(next.Services, func(x, y ManifestService) int { return cmp.Compare(x.ID, y.ID) })
	return next
}

// removeChunks deletes the chunks that a change wrote before another change took its
// version number. If a deletion fails, the remaining chunks stay in the store, where
// they use space but are never read.
func (a *applier) removeChunks(ctx context.Context, version uint64) {
	parts := splitChunks(a.packed)
	if len(parts) == 1 {
		return
	}
	for i := range parts {
		key := chunkKey(version, a.change.ID, a.digest, i)
		if _, err := a.store.Txn(ctx, nil, []store.Write{{Key: key, Delete: true}}); err != nil {
			return
		}
	}
}

func splitChunks(packed []byte) [][]byte { return slices.Collect(slices.Chunk(packed, chunkBytes)) }

func sameOrigins(a, b *Source) bool { return maps.Equal(a.origins, b.origins) }

// Current returns the manifest of the current version, or nil if nothing was applied
// yet, and the revision of the store at the read.
func Current(ctx context.Context, s store.Store) (m *Manifest, revision store.Revision, err error) {
	defer func() { err = errors.WithMessage(err, "read configuration manifest") }()
	entry, revision, err := s.Get(ctx, CurrentKey)
	if err != nil || entry == nil {
		return nil, revision, err
	}
	if m, err = decodeEntry(entry); err != nil {
		return nil, revision, err
	}
	return m, revision, nil
}

func decodeEntry(entry *store.Entry) (m *Manifest, err error) {
	if m, err = DecodeManifest(entry.Value); err != nil {
		return nil, err
	}
	m.modRevision = entry.ModRevision
	return m, nil
}
