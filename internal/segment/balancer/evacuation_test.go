package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/routes"
)

// newEvacuationBalancer returns a balancer that reads evacuations, without goroutines.
func newEvacuationBalancer(t *testing.T) *Balancer {
	t.Helper()
	b := newTestBalancer(t)
	b.config.OperatorPrefix, b.config.ConfigKey, b.config.EvacuationPrefix = "op/", "op/config", "op/evacuate/"
	b.config.DecodeConfig = func([]byte) (*routes.Set, error) { return routes.New(routes.Config{Version: 1}) }
	return b
}

// Guards against an evacuation that ends because the list of the operator's keys is incomplete or of an older revision.
func TestEvacuationsStayWithIncompleteList(t *testing.T) {
	is := is.New(t)
	b := newEvacuationBalancer(t)
	config, north, south := store.Entry{Key: "op/config"}, store.Entry{Key: "op/evacuate/north"}, store.Entry{Key: "op/evacuate/south"}
	read := func(revision int64, list ...store.Entry) []string {
		entries := make(map[string]store.Entry)
		for _, e := range list {
			entries[e.Key] = e
		}
		b.handleOperatorEntries(entries, store.Revision{Number: revision})
		return b.evacuated
	}
	is.Equal(read(10, config, north), []string{"north"})
	is.Equal(read(11), []string{"north"})                 // without the configuration
	is.Equal(read(12, south), []string{"north", "south"}) // without the configuration
	is.Equal(read(9, config), []string{"north", "south"}) // of an older revision
	is.Equal(read(13, config, south), []string{"south"})
	is.Equal(read(14, config), nil)
}

// Guards against flows to an evacuated data centre from a balancer that has a configuration and does not know the
// evacuations yet.
func TestConfigWaitsForEvacuations(t *testing.T) {
	is := is.New(t)
	b := newEvacuationBalancer(t)
	is.True(!b.applyConfig(nil, "127.0.0.2"))
	state, _ := evacuation.New(store.Revision{Number: 10}, nil)
	b.applyEvacuations(time.Now(), state, "127.0.0.2")
	is.True(b.applyConfig(nil, "127.0.0.2"))
}
