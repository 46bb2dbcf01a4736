package table

import (
	"slices"
	"strings"

	"agateramp/internal/control/controlpb"
)

// HostDiff is the change of one host between two tables.
type HostDiff struct {
	Host string
	// BucketsBefore and BucketsAfter count the buckets whose first choice is the host.
	BucketsBefore, BucketsAfter int
}

// Diff says what changes between the newest versions of two specs.
type Diff struct {
	// MovedBuckets counts the buckets whose first choice changes.
	MovedBuckets int
	// MovedShare is Buckets over all buckets.
	MovedShare float64
	// Hosts holds the hosts that gain or lose buckets, by name.
	Hosts []HostDiff
}

// Compare says which buckets and hosts move from one spec to another. A nil spec
// stands for a service that does not exist.
func Compare(from, to *controlpb.TableSpec) (m *Diff, err error) {
	before, err := firstHosts(from)
	if err != nil {
		return nil, err
	}
	after, err := firstHosts(to)
	if err != nil {
		return nil, err
	}
	m = &Diff{}
	shifts := make(map[string]*HostDiff)
	shift := func(host string) *HostDiff {
		if shifts[host] == nil {
			shifts[host] = &HostDiff{Host: host}
		}
		return shifts[host]
	}
	for b := range before {
		if before[b] != after[b] {
			m.MovedBuckets++
		}
		shift(before[b]).BucketsBefore++
		shift(after[b]).BucketsAfter++
	}
	m.MovedShare = float64(m.MovedBuckets) / Buckets
	for host, s := range shifts {
		if host != "" && s.BucketsBefore != s.BucketsAfter {
			m.Hosts = append(m.Hosts, *s)
		}
	}
	slices.SortFunc(m.Hosts, func(a, b HostDiff) int { return strings.Compare(a.Host, b.Host) })
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
