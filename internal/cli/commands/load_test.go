package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/process/group"
	"agateramp/internal/standin/backend"
)

// Guards against a load command that prints anything but one JSON summary,
// or that succeeds although an invariant was violated.
func TestLoad(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	server, err := backend.New(backend.Config{Name: "host", Service: 4, Group: tasks})
	is.NoErr(err)
	address, err := server.ServeUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	tests := []struct {
		name         string
		service      string
		misdelivered float64
		exit         int
	}{
		{"own service", "4", 0, exitOK},
		{"another service", "5", 10, exitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			exit := execute([]string{
				"load", "--target", address.String(), "--service", test.service, "--flows", "5", "--length", "2",
			}, &environment{stdout: &stdout, stderr: &stderr})
			is.Equal(exit, test.exit)
			var summary map[string]any
			is.NoErr(json.Unmarshal(stdout.Bytes(), &summary))
			is.Equal(summary["flows_completed"], 5.0)
			is.Equal(summary["packets_misdelivered"], test.misdelivered)
		})
	}
	var stderr bytes.Buffer
	exit := execute([]string{"load", "--adapter", "geneve", "--target", "192.0.2.1:9", "--service", "1"}, &environment{stdout: &stderr, stderr: &stderr})
	is.Equal(exit, exitUsage) // no fabric address
}
