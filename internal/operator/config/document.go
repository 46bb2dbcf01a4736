// Package config merges, checks and versions the configuration of the fleet: the
// services, their load-sharing rules, and the overrides of single hosts.
//
// ReadFolder merges the JSON files of a folder into a Source and checks it against
// the embedded schema. Apply stores a Source as the next version by compare-and-swap,
// in one transaction with its audit record. Load, LoadVersion and LoadHistory read
// versions, and Watch delivers each new one. The store holds a version as a manifest,
// which describes it, and as compressed chunks, which hold its content. Apply deletes
// the oldest version once more than Change.KeepVersions are stored.
package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Document is a complete configuration, with defaults filled in. It is read from
// a folder or from the store and must not be modified.
type Document struct {
	Services    map[string]Service `json:"services"`
	LoadSharing LoadSharing        `json:"load_sharing"`
	Hosts       map[string]Host    `json:"hosts"`

	// hostsOf holds the entries of Hosts by service and host name.
	hostsOf map[string]map[string]Host
}

// Service is the definition of a service. docs/configuration.md describes the fields
// and their defaults.
type Service struct {
	Addresses       []Address `json:"addresses"`
	Idempotent      bool      `json:"idempotent"`
	FirstPacket     string    `json:"first_packet"`
	PrefixHex       string    `json:"prefix_hex"`
	RefusalHex      string    `json:"refusal_hex"`
	QueueDeadlineMS uint32    `json:"queue_deadline_ms"`
	IdleTimeoutMS   uint32    `json:"idle_timeout_ms"`
	DrainTimeMS     uint32    `json:"drain_time_ms"`
}

// Address is an address to which callers send. Protocol is "tcp" or "udp".
type Address struct {
	Address  string `json:"address"`
	Protocol string `json:"protocol"`
}

// LoadSharing holds the rules by which the load of a service is shared between its
// hosts. Services overrides Default for single services.
type LoadSharing struct {
	Default  Sharing            `json:"default"`
	Services map[string]Sharing `json:"services"`
}

// Sharing holds the load-sharing rules of a service. docs/configuration.md describes the
// fields and their defaults.
type Sharing struct {
	LearnWeights        bool   `json:"learn_weights"`
	WeightIntervalMS    uint32 `json:"weight_interval_ms"`
	StepPercent         uint32 `json:"step_percent"`
	DeadBandPercent     uint32 `json:"dead_band_percent"`
	MaxWeightFactor     uint32 `json:"max_weight_factor"`
	OutlierStepPercent  uint32 `json:"outlier_step_percent"`
	OutlierSharePercent uint32 `json:"outlier_share_percent"`
	SlowStartMS         uint32 `json:"slow_start_ms"`
	SlowStartPercent    uint32 `json:"slow_start_percent"`
	RetryBudgetPercent  uint32 `json:"retry_budget_percent"`
}

// Host overrides what the agent of a host announces. Nil fields keep the announced
// value.
type Host struct {
	Service     string  `json:"service"`
	Weight      *uint32 `json:"weight,omitempty"`
	Slots       *uint32 `json:"slots,omitempty"`
	Connections *uint32 `json:"connections,omitempty"`
	Drain       bool    `json:"drain"`
}

func defaultService() Service {
	return Service{FirstPacket: firstPacketSyn, IdleTimeoutMS: 300_000, DrainTimeMS: 30_000}
}

func defaultSharing() Sharing {
	return Sharing{
		LearnWeights: true, WeightIntervalMS: 5_000, StepPercent: 25, DeadBandPercent: 5, MaxWeightFactor: 8,
		OutlierStepPercent: 50, OutlierSharePercent: 33, SlowStartMS: 30_000, SlowStartPercent: 10,
		RetryBudgetPercent: 10,
	}
}

// decodeDocument decodes a merged document that is valid under the schema, and fills
// in defaults. The rules of a service default to load_sharing.default.
func decodeDocument(raw []byte) (d *Document, err error) {
	defer func() { err = errors.WithMessage(err, "decode configuration") }()
	var parts struct {
		Services    map[string]json.RawMessage `json:"services"`
		LoadSharing struct {
			Default  json.RawMessage            `json:"default"`
			Services map[string]json.RawMessage `json:"services"`
		} `json:"load_sharing"`
		Hosts map[string]Host `json:"hosts"`
	}
	if err = json.Unmarshal(raw, &parts); err != nil {
		return nil, err
	}
	d = &Document{Services: map[string]Service{}, Hosts: parts.Hosts}
	d.LoadSharing.Default = defaultSharing()
	d.LoadSharing.Services = map[string]Sharing{}
	if d.Hosts == nil {
		d.Hosts = map[string]Host{}
	}
	d.hostsOf = map[string]map[string]Host{}
	for name, h := range d.Hosts {
		if d.hostsOf[h.Service] == nil {
			d.hostsOf[h.Service] = map[string]Host{}
		}
		d.hostsOf[h.Service][name] = h
	}
	for name, part := range parts.Services {
		s := defaultService()
		if err = json.Unmarshal(part, &s); err != nil {
			return nil, err
		}
		d.Services[name] = s
	}
	if len(parts.LoadSharing.Default) > 0 {
		if err = json.Unmarshal(parts.LoadSharing.Default, &d.LoadSharing.Default); err != nil {
			return nil, err
		}
	}
	for name, part := range parts.LoadSharing.Services {
		rules := d.LoadSharing.Default
		if err = json.Unmarshal(part, &rules); err != nil {
			return nil, err
		}
		d.LoadSharing.Services[name] = rules
	}
	return d, nil
}

// ServiceNames returns the names of the services in alphabetical order.
func (d *Document) ServiceNames() []string { return slices.Sorted(maps.Keys(d.Services)) }

// Sharing returns the load-sharing rules of a service, which are the default rules if
// it has none of its own.
func (d *Document) Sharing(service string) Sharing {
	if rules, ok := d.LoadSharing.Services[service]; ok {
		return rules
	}
	return d.LoadSharing.Default
}

// HostsOf returns the overrides of the hosts of a service by host name. The caller
// must not modify the map.
func (d *Document) HostsOf(service string) map[string]Host { return d.hostsOf[service] }

// sameService reports whether the definition, load-sharing rules and host overrides
// of a service are equal in two documents. If they differ, the balancer that holds the
// shard of the service publishes a new table spec, which lists the hosts of the service.
func sameService(a, b *Document, name string) bool {
	x, err := json.Marshal([]any{a.Services[name], a.Sharing(name), a.HostsOf(name)})
	if err != nil {
		return false
	}
	y, err := json.Marshal([]any{b.Services[name], b.Sharing(name), b.HostsOf(name)})
	_, inA := a.Services[name]
	_, inB := b.Services[name]
	return err == nil && inA == inB && string(x) == string(y)
}
