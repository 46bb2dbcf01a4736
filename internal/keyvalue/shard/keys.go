// Package shard elects the balancer that holds each shard of the services. The holder of a
// shard tracks the members of its services and publishes their table specs.
//
// A service belongs to the shard given by its id modulo Count. A balancer holds a shard
// while the store has a holder key of the shard that is attached to the lease of that
// balancer. The create revision of the key is the fence of the holder, a fencing token:
// every write of a holder is conditional on it, so that a holder that lost the shard cannot
// write.
//
// The table of a service assigns the buckets of its flows to hosts (see package table). A
// table spec holds the definition of the service and the retained versions of its table,
// newest first. A version lists the members: the hosts with their addresses and weights. A
// version is retired, that is removed from the spec, once every live balancer and agent has
// acknowledged a newer one. A balancer acknowledges the version that it uses; an agent
// acknowledges a version once it has transferred its entries of the flow directory, which
// lists the agent that owns each flow, to the agents that keep them in that version.
//
// The holder suspects a host of a retained version when no balancer has a stream of its
// agent. It notifies all balancers when a suspicion begins or ends and, if it lasts, leaves
// the host out of the next version.
//
// Holder is the state machine of one shard: it does no I/O and reads no clock. Runner
// acquires the shards, passes events to the holders and carries out their effects.
// Registrar keeps the leased key by which a balancer is known to be live. The connections
// between balancers and agents are left to the caller.
package shard

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

// Count is the number of shards.
const Count = 16

// The keys and key prefixes of the store that this package reads or writes.
const (
	ConfigKey      = "/agateramp/config/current" // the manifest of the current configuration
	TablePrefix    = "/agateramp/table/"         // followed by a service id: a table spec
	HolderPrefix   = "/agateramp/shard/"         // followed by a shard: its holder key
	BalancerPrefix = "/agateramp/balancer/"      // followed by a balancer name: its leased key
)

// Of returns the shard of a service.
func Of(serviceID uint32) int { return int(serviceID % Count) }

// TableKey returns the key of the table spec of a service.
func TableKey(serviceID uint32) string { return fmt.Sprintf("%s%d", TablePrefix, serviceID) }

// HolderKey returns the holder key of a shard. Its value is the HolderRecord of the holder,
// and it is deleted when the lease of the holder ends.
func HolderKey(shard int) string { return fmt.Sprintf("%s%d", HolderPrefix, shard) }

// BalancerKey returns the leased key of a balancer: its value is the BalancerRecord, and it
// is deleted when the lease of the balancer ends.
func BalancerKey(name string) string { return BalancerPrefix + name }

// HolderRecord is the value of the holder key of a shard.
type HolderRecord struct {
	Name           string `json:"name"`
	ControlAddress string `json:"control_address"`
}

// BalancerRecord is the value of the leased key of a balancer.
type BalancerRecord struct {
	Name           string `json:"name"`
	ControlAddress string `json:"control_address"`
	DataAddress    string `json:"data_address"`
	DataCentre     string `json:"data_centre"`
	// Incarnation identifies the process of the balancer; it changes with a restart.
	Incarnation uint64 `json:"incarnation"`
	// ConfigVersion is the configuration version in force on the balancer.
	ConfigVersion uint64 `json:"config_version"`
	// ReportedAt is when ConfigVersion was reported.
	ReportedAt time.Time `json:"reported"`
}

// Settings is the part of the configuration that concerns the services of all shards.
type Settings struct {
	// Version is the configuration version; 0 means that none has been read yet.
	Version uint64
	// Revision is the mod revision of the manifest that Settings was read from.
	Revision int64
	Services []ServiceSettings
	// Hosts holds the overrides of weight and drain by host name.
	Hosts map[string]HostSettings
}

// ServiceSettings holds the definition of a service.
type ServiceSettings struct {
	Service *controlpb.Service
	// ConfigVersion is the configuration version in which Service last changed.
	ConfigVersion uint64
}

// HostSettings overrides what the agent of a host announces.
type HostSettings struct {
	// HasWeight means that Weight replaces the announced weight.
	HasWeight bool
	// Weight is in thousandths.
	Weight uint32
	// Drain stops new flows to the host.
	Drain bool
}

// StoredSpec is a table spec in the store.
type StoredSpec struct {
	Spec *controlpb.TableSpec
	// Revision is the mod revision of its key.
	Revision int64
}

// ParseTable decodes the entry of a table key. It returns an error if the spec has no
// versions or belongs to another key.
func ParseTable(e *store.Entry) (s StoredSpec, err error) {
	defer func() { err = errors.WithMessagef(err, "read table spec %q", e.Key) }()
	spec := &controlpb.TableSpec{}
	if err = proto.Unmarshal(e.Value, spec); err != nil {
		return s, err
	}
	if len(spec.GetVersions()) == 0 {
		return s, errors.New("spec has no versions")
	}
	if want := TableKey(spec.GetServiceId()); want != e.Key {
		return s, errors.Errorf("spec belongs under key %q", want)
	}
	return StoredSpec{Spec: spec, Revision: e.ModRevision}, nil
}

// ServiceOfTableKey returns the service id in a table key. It returns false if the key is
// not a table key.
func ServiceOfTableKey(key string) (id uint32, ok bool) {
	text, ok := strings.CutPrefix(key, TablePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), err == nil
}

// shardOfKey returns the shard of a holder key. It returns false if the key is not the
// holder key of a shard.
func shardOfKey(key string) (shard int, ok bool) {
	text, ok := strings.CutPrefix(key, HolderPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n < Count
}

// ParseBalancer decodes the value of the leased key of a balancer.
func ParseBalancer(raw []byte) (r BalancerRecord, err error) {
	err = json.Unmarshal(raw, &r)
	return r, errors.WithMessage(err, "read balancer record")
}

// Newer reports whether a is a later spec than b of the same service: its newest version is
// higher, or that version is the same and its oldest retained version is higher. Any spec
// is newer than a nil b.
func Newer(a, b *controlpb.TableSpec) bool {
	if b == nil {
		return true
	}
	if v, w := NewestVersion(a), NewestVersion(b); v != w {
		return v > w
	}
	return OldestVersion(a) > OldestVersion(b)
}

// NewestVersion returns the newest version of a spec, or 0 if it has none.
func NewestVersion(s *controlpb.TableSpec) uint64 {
	if len(s.GetVersions()) == 0 {
		return 0
	}
	return s.GetVersions()[0].GetVersion()
}

// OldestVersion returns the oldest retained version of a spec, or 0 if it has none.
func OldestVersion(s *controlpb.TableSpec) uint64 {
	if len(s.GetVersions()) == 0 {
		return 0
	}
	return s.GetVersions()[len(s.GetVersions())-1].GetVersion()
}
