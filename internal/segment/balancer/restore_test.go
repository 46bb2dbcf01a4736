package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
)

// Guards against resets of flows whose agents lost their entries: the first list of a
// restored store lacks them, and the agents need some time to write them again.
func TestListIsIncompleteAfterRestore(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	b.updateWatching()
	b.handleStoreReachable(true)
	b.applyList(testList(20, 1, 2), "store")
	is.True(b.agentsComplete(time.Now()))
	restored := testList(10, 1)
	restored.revision = store.Revision{Generation: 1, Number: 10}
	b.applyList(restored, "store")
	is.Equal(b.list.addresses(), restored.addresses())
	is.Equal(b.agentsComplete(time.Now().Add(time.Second)), false)
	is.True(b.agentsComplete(time.Now().Add(2 * time.Second)))
}
