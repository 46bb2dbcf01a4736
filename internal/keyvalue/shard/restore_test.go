package shard

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

// holderEntries returns a list in which one balancer holds all shards.
func holderEntries(t *testing.T, name string, fence int64) (entries []store.Entry) {
	t.Helper()
	value, err := json.Marshal(HolderRecord{Name: name, ControlAddress: name + ":1"})
	is.New(t).NoErr(err)
	for shard := range Count {
		entries = append(entries, store.Entry{Key: HolderKey(shard), Value: value, CreateRevision: fence, ModRevision: fence, Lease: 7})
	}
	return entries
}

// Guards against holders that are taken for later ones after the store was restored,
// because their fences are higher than those that the store gives out again; and against
// a process that goes on with a shard and a lease that it lost.
func TestHoldersAfterRestore(t *testing.T) {
	is := is.New(t)
	r := &Runner{
		config:  Config{Name: "self", HoldersChanged: func(map[int]HolderInfo) {}, Logger: log.NewNopLogger()},
		holders: map[int]HolderInfo{}, held: map[int]*heldShard{}, lease: newLazyLease(nil, shardLeaseSeconds),
	}
	r.lease.id = 8
	r.holdersListed(holderEntries(t, "first", 100), store.Revision{Number: 110})
	is.Equal(r.holders[3].Name, "first")
	holder, err := NewHolder(HolderConfig{Shard: 3, Fence: 105, Now: time.Now()})
	is.NoErr(err)
	h := &heldShard{holder: holder}
	h.ctx, h.stop = context.WithCancel(t.Context())
	r.held[3] = h

	r.holdersListed(holderEntries(t, "second", 20), store.Revision{Generation: 1, Number: 30})
	is.Equal(r.holders[3], HolderInfo{HolderRecord{"second", "second:1"}, 20})
	is.Equal(len(r.held), 0)
	is.True(h.ctx.Err() != nil)
	is.Equal(r.lease.current(), store.LeaseID(0))
}

// Guards against table versions that balancers ignore because they use a later one, which
// the store lost in a restore or which was overwritten.
func TestVersionAboveThoseInUse(t *testing.T) {
	for _, test := range []struct {
		name   string
		stored *controlpb.TableSpec
	}{
		{"older spec", &controlpb.TableSpec{ServiceId: 1, Versions: []*controlpb.TableVersion{{Version: 10}}}},
		{"unreadable spec", &controlpb.TableSpec{ServiceId: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, HolderConfig{
				Settings: settings(1, nil), Stored: []StoredSpec{{Spec: test.stored, Revision: 50}}, Balancers: []string{"b0"},
			})
			f.handle(AckReceived{"b0", &controlpb.Ack{Name: "b0", ServiceId: 1, Version: 12, Balancer: true}})
			f.attach("h1", 1, false)
			f.advance(3 * time.Second)
			is.Equal(f.listedHosts(), "h1")
			is.True(NewestVersion(f.holder.Spec(1)) > 12)
			for _, e := range f.effects {
				if p, ok := e.(*Publish); ok {
					spec := p.Changes[0].Spec
					is.Equal(NewestVersion(spec)-OldestVersion(spec)+1, uint64(len(spec.GetVersions()))) // readers refuse a spec with gaps
				}
			}
		})
	}
}
