package shard

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
)

// Guards against one unreadable value among the table specs that keeps every balancer from
// holding a shard.
func TestUnreadableSpec(t *testing.T) {
	is := is.New(t)
	m, err := memory.New(memory.Config{})
	is.NoErr(err)
	good, err := proto.Marshal(&controlpb.TableSpec{ServiceId: 2, Versions: []*controlpb.TableVersion{{Version: 5}}})
	is.NoErr(err)
	_, err = m.Txn(t.Context(), nil, []store.Write{
		{Key: TableKey(1), Value: []byte("\xff\xff")},
		{Key: TableKey(2), Value: good},
		{Key: TablePrefix + "99999999999", Value: good},
		{Key: TablePrefix + "odd", Value: nil},
	})
	is.NoErr(err)
	stored, err := listStoredSpecs(t.Context(), m)
	is.NoErr(err)
	is.Equal(len(stored), 2)
	is.Equal(stored[0].Spec.GetServiceId(), uint32(1))
	is.Equal(NewestVersion(stored[0].Spec), uint64(0))
	is.True(stored[0].Revision != 0)
	is.Equal(NewestVersion(stored[1].Spec), uint64(5))
}
