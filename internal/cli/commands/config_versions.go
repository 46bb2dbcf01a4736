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

// storedVersions lists the live balancers by their leased keys.
func storedVersions(ctx context.Context, s store.Store) (versions []balancerVersion, err error) {
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

// movements compares the published tables with those that the holders would
// publish for a new configuration.
func movements(ctx context.Context, s store.Store, after *config.Document) (moves []movement, err error) {
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
		m, err := movementOf(stored.Spec, after)
		if err != nil {
			return nil, err
		}
		if m.buckets > 0 {
			moves = append(moves, m)
		}
	}
	return moves, nil
}

func movementOf(spec *controlpb.TableSpec, after *config.Document) (m movement, err error) {
	m.service = spec.GetService().GetName()
	planned := proto.Clone(spec).(*controlpb.TableSpec)
	if len(planned.GetVersions()) == 0 {
		return m, nil
	}
	overrides := after.HostsOf(m.service)
	for _, member := range planned.GetVersions()[0].GetMembers() {
		override(member, overrides[member.GetHost()])
	}
	move, err := table.Compare(spec, planned)
	if err != nil {
		return m, err
	}
	m.buckets = move.MovedBuckets
	for _, host := range move.Hosts {
		m.hosts = append(m.hosts, host.Host)
	}
	return m, nil
}

// override changes a member as the shard holder would. What was learned about
// the present base weight holds for the new one in proportion.
func override(member *controlpb.Member, host config.Host) {
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
