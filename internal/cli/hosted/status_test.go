package hosted

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/metrics"
	"agateramp/internal/segment/registry"
	"agateramp/platform"
)

// Guards against a status that omits agents, evacuated data centres, routes that cannot
// be read, or entries that cannot be decoded.
func TestReadStatus(t *testing.T) {
	is := is.New(t)
	s, err := memory.New(memory.Config{})
	is.NoErr(err)
	e := registry.Entry{Node: "side-1", Address: netip.MustParseAddr("10.0.0.1"), Service: "studio"}
	value, err := e.Encode()
	is.NoErr(err)
	config := `{"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/443/","service":"studio"},{"hostname":"x","prefix":"/1/"}]}`
	_, err = s.Txn(t.Context(), nil, []store.Write{
		{Key: platform.ConfigKey, Value: []byte(config)},
		{Key: e.Key(), Value: value},
		{Key: platform.EvacuationPrefix + "north", Value: []byte("{}")},
		{Key: registry.KeyPrefix + "foreign", Value: []byte("?")},
	})
	is.NoErr(err)
	s.Restore(s.Snapshot())
	report, err := readStatus(t.Context(), s, platform.ConfigKey, platform.DecodeConfig)
	is.NoErr(err)
	is.Equal(report.ConfigVersion, uint64(7))
	is.Equal(report.StoreGeneration, uint64(1))
	is.Equal(report.Routes, 1)
	is.Equal(report.UnreadableRoutes, 1)
	is.Equal(len(report.Agents), 1)
	is.Equal(report.Agents[0].Entry, e)
	is.Equal(report.Unreadable, []string{registry.KeyPrefix + "foreign"})
	evacuated, err := readEvacuated(t.Context(), s, platform.EvacuationPrefix)
	is.NoErr(err)
	is.Equal(evacuated, []string{"north"})
}

// Guards against machines that are reported to have the newest configuration although
// they have an older one, do not answer, or serve something other than metrics.
func TestReadMachine(t *testing.T) {
	processMetrics := metrics.New()
	processMetrics.Gauge("config.version").Update(7)
	otherJSON := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	cases := []struct {
		name    string
		handler http.Handler
		newest  uint64
		behind  bool
	}{
		{"newest", processMetrics, 7, false},
		{"older", processMetrics, 8, true},
		{"not metrics of a process", otherJSON, 7, true},
		{"no answer", nil, 7, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			address := netip.MustParseAddrPort(listener.Addr().String())
			if c.handler == nil {
				listener.Close()
			} else {
				server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: c.handler}}
				server.Start()
				defer server.Close()
			}
			m := readMachine(context.Background(), address, c.newest)
			is.Equal(m.Behind, c.behind)
			is.Equal(m.Error == "", c.handler == http.Handler(processMetrics))
		})
	}
}

// Guards against an empty status, instead of an error, if the store does not answer.
func TestStatusWithoutStore(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	code := execute([]string{"status", "--settings", writeSettings(t, balancerSettings(t))}, &outputs{stdout: &stdout, stderr: &stderr})
	is.Equal(code, exitFailure)
	is.Equal(stdout.Len(), 0)
	is.True(strings.Contains(stderr.String(), "store unavailable"))
}
