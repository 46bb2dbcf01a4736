package table

import (
	"slices"
	"strings"

	"agateramp/internal/control/controlpb"
)

// Shift is the change of one host between two tables.
type Shift struct {
	Host string
	// Before and After count the buckets whose first choice is the host.
	Before, After int
}

// Move says what changes between the newest versions of two specs.
type Move struct {
	// Buckets counts the buckets whose first choice changes.
	Buckets int
	// Share is Buckets over all buckets.
	Share float64
	// Hosts holds the hosts that gain or lose buckets, by name.
	Hosts []Shift
}

// Compare says which buckets and hosts move from one spec to another. A nil spec
// stands for a service that does not exist.
func Compare(from, to *controlpb.TableSpec) (m *Move, err error) {
	before, err := firstHosts(from)
	if err != nil {
		return nil, err
	}
	after, err := firstHosts(to)
	if err != nil {
		return nil, err
	}
	m = &Move{}
	shifts := make(map[string]*Shift)
	shift := func(host string) *Shift {
		if shifts[host] == nil {
			shifts[host] = &Shift{Host: host}
		}
		return shifts[host]
	}
	for b := range before {
		if before[b] != after[b] {
			m.Buckets++
		}
		shift(before[b]).Before++
		shift(after[b]).After++
	}
	m.Share = float64(m.Buckets) / Buckets
	for host, s := range shifts {
		if host != "" && s.Before != s.After {
			m.Hosts = append(m.Hosts, *s)
		}
	}
	slices.SortFunc(m.Hosts, func(a, b Shift) int { return strings.Compare(a.Host, b.Host) })
	return m, nil
}

// firstHosts returns the first choice of every bucket in the newest version.
func firstHosts(spec *controlpb.TableSpec) (hosts [Buckets]string, err error) {
	if spec == nil {
		return hosts, nil
	}
	newest := &controlpb.TableSpec{ServiceId: spec.GetServiceId()}
	newest.Versions = spec.GetVersions()[:min(1, len(spec.GetVersions()))]
	t, err := Build(newest)
	if err != nil {
		return hosts, err
	}
	for b := range t.buckets {
		if hops := t.Route(uint64(b)).Hops; len(hops) > 0 {
			hosts[b] = t.Member(hops[0].Address).Host
		}
	}
	return hosts, nil
}
