package table

import (
	"slices"
	"strings"

	"agateramp/internal/control/controlpb"
)

// HostDiff is the change in the number of buckets of one host.
type HostDiff struct {
	Host string
	// BucketsBefore and BucketsAfter are the numbers of buckets whose first choice is
	// the host.
	BucketsBefore, BucketsAfter int
}

// Diff is the difference between the newest versions of two table specs.
type Diff struct {
	// MovedBuckets is the number of buckets whose first choice changes.
	MovedBuckets int
	// MovedShare is MovedBuckets divided by Buckets, from 0 to 1.
	MovedShare float64
	// Hosts holds the hosts that gain or lose buckets, in the order of their names.
	Hosts []HostDiff
}

// Compare returns the difference between the newest versions of two table specs. A nil
// spec is that of a service that does not exist, whose buckets have no first choice.
func Compare(from, to *controlpb.TableSpec) (d *Diff, err error) {
	before, err := firstChoiceHosts(from)
	if err != nil {
		return nil, err
	}
	after, err := firstChoiceHosts(to)
	if err != nil {
		return nil, err
	}
	d = &Diff{}
	diffs := make(map[string]*HostDiff)
	hostDiff := func(host string) *HostDiff {
		if diffs[host] == nil {
			diffs[host] = &HostDiff{Host: host}
		}
		return diffs[host]
	}
	for b := range before {
		if before[b] != after[b] {
			d.MovedBuckets++
		}
		hostDiff(before[b]).BucketsBefore++
		hostDiff(after[b]).BucketsAfter++
	}
	d.MovedShare = float64(d.MovedBuckets) / Buckets
	for host, h := range diffs {
		if host != "" && h.BucketsBefore != h.BucketsAfter {
			d.Hosts = append(d.Hosts, *h)
		}
	}
	slices.SortFunc(d.Hosts, func(a, b HostDiff) int { return strings.Compare(a.Host, b.Host) })
	return d, nil
}

// firstChoiceHosts returns, by bucket, the name of the host that is the first choice in
// the newest version, or an empty name when there is none.
func firstChoiceHosts(spec *controlpb.TableSpec) (hosts [Buckets]string, err error) {
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
