// Package shard decides which balancer holds each shard of the services, keeps
// the membership of the held services, and publishes their table specs.
//
// Holder is the core: it does no I/O and reads no clock. Runner takes the leases
// in the store, feeds the cores and writes what they publish.
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

// The keys of the store that this package reads or writes.
const (
	ConfigKey      = "/agateramp/config/current"
	TablePrefix    = "/agateramp/table/"
	HolderPrefix   = "/agateramp/shard/"
	BalancerPrefix = "/agateramp/balancer/"
)

// Of returns the shard of a service.
func Of(serviceID uint32) int { return int(serviceID % Count) }

// TableKey returns the key of the table spec of a service.
func TableKey(serviceID uint32) string { return fmt.Sprintf("%s%d", TablePrefix, serviceID) }

// HolderKey returns the key of the lease of a shard.
func HolderKey(shard int) string { return fmt.Sprintf("%s%d", HolderPrefix, shard) }

// BalancerKey returns the leased key of a balancer.
func BalancerKey(name string) string { return BalancerPrefix + name }

// HolderRecord is the value of the lease key of a shard.
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
	Incarnation    uint64 `json:"incarnation"`
	// ConfigVersion is the configuration version in force on the balancer.
	ConfigVersion uint64 `json:"config_version"`
	// ReportedAt is when ConfigVersion was reported.
	ReportedAt time.Time `json:"reported"`
}

// Settings is what the configuration says about the services of all shards.
type Settings struct {
	// Version is the configuration version; 0 means that none was read yet.
	Version uint64
	// Revision is the mod revision of the manifest from which Settings was read.
	Revision int64
	Services []ServiceSettings
	// Hosts holds the weight and drain overrides by host name.
	Hosts map[string]HostSettings
}

// ServiceSettings is the definition of a service.
type ServiceSettings struct {
	Service *controlpb.Service
	// ConfigVersion is the configuration version in which Service last changed.
	ConfigVersion uint64
}

// HostSettings overrides what a host announces.
type HostSettings struct {
	// HasWeight says that Weight replaces the announced weight.
	HasWeight bool
	// Weight is in thousandths.
	Weight uint32
	Drain  bool
}

// StoredSpec is a table spec as the store holds it.
type StoredSpec struct {
	Spec *controlpb.TableSpec
	// Revision is the mod revision of its key.
	Revision int64
}

// ParseTable reads the entry of a table key.
func ParseTable(e *store.Entry) (s StoredSpec, err error) {
	defer func() { err = errors.WithMessagef(err, "read table spec %q", e.Key) }()
	spec := &controlpb.TableSpec{}
	if err = proto.Unmarshal(e.Value, spec); err != nil {
		return s, err
	}
	if len(spec.GetVersions()) == 0 {
		return s, errors.New("it has no versions")
	}
	if want := TableKey(spec.GetServiceId()); want != e.Key {
		return s, errors.Errorf("it belongs to %q", want)
	}
	return StoredSpec{Spec: spec, Revision: e.ModRevision}, nil
}

// ServiceOfTableKey returns the service id in the key of a table spec.
func ServiceOfTableKey(key string) (id uint32, ok bool) {
	text, ok := strings.CutPrefix(key, TablePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), err == nil
}

func shardOfKey(key string) (shard int, ok bool) {
	text, ok := strings.CutPrefix(key, HolderPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n < Count
}

// ParseBalancer reads the value of the leased key of a balancer.
func ParseBalancer(raw []byte) (r BalancerRecord, err error) {
	err = json.Unmarshal(raw, &r)
	return r, errors.WithMessage(err, "read balancer record")
}

// Newer reports whether a is a later spec of the same service than b: it has a
// higher version, or the same version and fewer retained ones. A nil b is older
// than any spec.
func Newer(a, b *controlpb.TableSpec) bool {
	if b == nil {
		return true
	}
	if v, w := NewestVersion(a), NewestVersion(b); v != w {
		return v > w
	}
	return OldestVersion(a) > OldestVersion(b)
}

// NewestVersion returns the newest version of a spec, or 0.
func NewestVersion(s *controlpb.TableSpec) uint64 {
	if len(s.GetVersions()) == 0 {
		return 0
	}
	return s.GetVersions()[0].GetVersion()
}

// OldestVersion returns the oldest retained version of a spec, or 0.
func OldestVersion(s *controlpb.TableSpec) uint64 {
	if len(s.GetVersions()) == 0 {
		return 0
	}
	return s.GetVersions()[len(s.GetVersions())-1].GetVersion()
}
