package config

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

// Snapshot is one version of the configuration as the store holds it.
type Snapshot struct {
	manifest *Manifest
	source   *Source
	// modRevision is the mod revision of the key from which the manifest was read, or 0
	// if the snapshot is the empty version 0.
	modRevision int64
}

// ServiceState is the part of a version that applies to one service.
type ServiceState struct {
	Definition *controlpb.Service
	// ConfigVersion is the version in which any of the other fields last changed.
	ConfigVersion uint64
	Sharing       Sharing
	// Hosts holds the overrides of the hosts of the service, by host name.
	Hosts map[string]Host
}

// Version returns the number of the version, or 0 if nothing was applied yet.
func (s *Snapshot) Version() uint64 { return s.manifest.Version }

// ModRevision returns the mod revision of the key from which the manifest was read:
// CurrentKey for Load and Watch, or the key of the version for LoadVersion. It is 0 for
// the empty version 0.
func (s *Snapshot) ModRevision() int64 { return s.modRevision }

// Manifest returns the manifest. The caller must not modify it.
func (s *Snapshot) Manifest() *Manifest { return s.manifest }

// Source returns the merged document and its origins.
func (s *Snapshot) Source() *Source { return s.source }

// Services returns the state of every service, ordered by id.
func (s *Snapshot) Services() (states []ServiceState) {
	d := s.source.document
	for _, m := range s.manifest.Services {
		states = append(states, ServiceState{
			Definition: d.Definition(m.Name, m.ID), ConfigVersion: m.Version,
			Sharing: d.Sharing(m.Name), Hosts: d.HostsOf(m.Name),
		})
	}
	return states
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		manifest: &Manifest{NextServiceID: 1},
		source:   &Source{raw: []byte("{}"), origins: map[string]string{}, document: emptyDocument()},
	}
}

func emptyDocument() *Document {
	return &Document{
		Services: map[string]Service{}, Hosts: map[string]Host{},
		LoadSharing: LoadSharing{Default: defaultSharing(), Services: map[string]Sharing{}},
	}
}

// Load returns the current version, which is empty if nothing was applied yet. It makes
// one attempt and does not retry if the store fails.
func Load(ctx context.Context, s store.Store) (snapshot *Snapshot, err error) {
	defer func() { err = errors.WithMessage(err, "load configuration") }()
	entry, _, err := s.Get(ctx, CurrentKey)
	if err != nil {
		return nil, err
	}
	if entry == nil {
		return emptySnapshot(), nil
	}
	return snapshotOf(ctx, s, entry)
}

// LoadVersion returns the version with the given number, or nil if it does not exist or is no
// longer kept. Version 0 is the empty configuration.
func LoadVersion(ctx context.Context, s store.Store, version uint64) (snapshot *Snapshot, err error) {
	defer func() { err = errors.WithMessagef(err, "load configuration version %d", version) }()
	if version == 0 {
		return emptySnapshot(), nil
	}
	entry, _, err := s.Get(ctx, versionKey(version))
	if err != nil || entry == nil {
		return nil, err
	}
	return snapshotOf(ctx, s, entry)
}

func snapshotOf(ctx context.Context, s store.Store, entry *store.Entry) (snapshot *Snapshot, err error) {
	m, err := DecodeManifest(entry.Value)
	if err != nil {
		return nil, err
	}
	source, err := readBody(ctx, s, m)
	if err != nil {
		return nil, err
	}
	return &Snapshot{manifest: m, source: source, modRevision: entry.ModRevision}, nil
}

// LoadHistory returns the manifests of up to limit versions, newest first.
func LoadHistory(ctx context.Context, s store.Store, limit int) (manifests []*Manifest, err error) {
	defer func() { err = errors.WithMessage(err, "load configuration history") }()
	entry, _, err := s.Get(ctx, CurrentKey)
	if err != nil || entry == nil {
		return nil, err
	}
	current, err := DecodeManifest(entry.Value)
	if err != nil {
		return nil, err
	}
	for v := current.Version; v > 0 && len(manifests) < limit; v-- {
		if entry, _, err = s.Get(ctx, versionKey(v)); err != nil {
			return nil, err
		}
		if entry == nil {
			// Older versions are no longer kept.
			return manifests, nil
		}
		m, err := DecodeManifest(entry.Value)
		if err != nil {
			return nil, err
		}
		manifests = append(manifests, m)
	}
	return manifests, nil
}

// findChange returns the entry of a change id, or nil if no change with this id took
// effect.
func findChange(ctx context.Context, s store.Store, id string) (c *changeEntry, err error) {
	entry, _, err := s.Get(ctx, changeKey(id))
	if err != nil || entry == nil {
		return nil, err
	}
	c = &changeEntry{}
	if err = json.Unmarshal(entry.Value, c); err != nil {
		return nil, errors.WithMessagef(ErrCorrupt, "change %s: %v", id, err)
	}
	return c, nil
}
