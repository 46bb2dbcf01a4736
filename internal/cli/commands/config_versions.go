package commands

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/table"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/config"
)

// listBalancerVersions lists the live balancers, whose leased keys in the store hold their versions.
func listBalancerVersions(ctx context.Context, s store.Store) (versions []balancerVersion, err error) {
	defer func() { err = errors.WithMessage(err, "list balancers") }()
	entries, _, err := s.List(ctx, shard.BalancerPrefix)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		record, err := shard.ParseBalancer(entry.Value)
		if err != nil {
			return nil, err
		}
		versions = append(versions, balancerVersion{name: record.Name, version: record.ConfigVersion, reported: record.ReportedAt})
	}
	return versions, nil
}

// diffTables compares the published tables with those that the shard holders would
// publish for a new configuration. A shard holder is the balancer that publishes the
// tables of one group of services, a shard. Services without moved buckets are left out.
func diffTables(ctx context.Context, s store.Store, after *config.Document) (diffs []tableDiff, err error) {
	defer func() { err = errors.WithMessage(err, "compare tables") }()
	entries, _, err := s.List(ctx, shard.TablePrefix)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		stored, err := shard.ParseTable(&entries[i])
		if err != nil {
			return nil, err
		}
		d, err := diffTable(stored.Spec, after)
		if err != nil {
			return nil, err
		}
		if d.movedBuckets > 0 {
			diffs = append(diffs, d)
		}
	}
	return diffs, nil
}

// diffTable compares spec with the table that its shard holder would publish for after.
// The result has no moved buckets if spec has no versions.
func diffTable(spec *controlpb.TableSpec, after *config.Document) (d tableDiff, err error) {
	d.service = spec.GetService().GetName()
	planned := proto.Clone(spec).(*controlpb.TableSpec)
	if len(planned.GetVersions()) == 0 {
		return d, nil
	}
	overrides := after.HostsOf(d.service)
	for _, member := range planned.GetVersions()[0].GetMembers() {
		applyOverride(member, overrides[member.GetHost()])
	}
	move, err := table.Compare(spec, planned)
	if err != nil {
		return d, err
	}
	d.movedBuckets = move.MovedBuckets
	for _, host := range move.Hosts {
		d.hosts = append(d.hosts, host.Host)
	}
	return d, nil
}

// applyOverride changes a member as the shard holder would. The effective weight, which
// the shard holder learns from measurements, is scaled by the ratio of the new base
// weight to the present one. Without a base weight, the new weight is used as it is.
func applyOverride(member *controlpb.Member, host config.Host) {
	member.Draining = member.GetDraining() || host.Drain
	if host.Weight == nil {
		return
	}
	if base := member.GetBaseWeight(); base > 0 {
		member.Weight = uint32(uint64(member.GetWeight()) * uint64(*host.Weight) / uint64(base))
		return
	}
	member.Weight = *host.Weight
}
