package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const validAgent = `{"name":"agent-1","data_centre":"sapporo-a","data_address":"127.0.0.1:6001",
"control_address":"127.0.0.1:7001","service":"studio","backend":{"address":"127.0.0.1:5001","slots":2},
"balancers":["127.0.0.1:7101"]}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against defaults that differ from the documentation.
func TestAgentDefaults(t *testing.T) {
	is := is.New(t)
	a, err := LoadAgent(writeSettings(t, validAgent))
	is.NoErr(err)
	is.Equal(a.Workers, 1)
	is.Equal(a.Backend.Mode, ModeDatagram)
	is.Equal(a.Backend.Connections, 2000)
	is.Equal(a.Backend.Weight, 2000)
}

// Guards against a process that starts with invalid settings, and against an error that
// does not name the invalid field.
func TestErrorsNameTheField(t *testing.T) {
	const common = `"name":"b","data_centre":"sapporo-a","data_address":"127.0.0.1:1","store_endpoints":["127.0.0.1:2"]`
	tests := []struct {
		name, text, field string
		load              func(string) error
	}{
		{"unknown field", `{"nam":"b"}`, "nam", loadBalancer},
		{"wrong type", `{"workers":"two"}`, "workers", loadBalancer},
		{"not an address", `{"control_address":"nowhere"}`, "control_address", loadBalancer},
		{"not an address in a list", `{"store_endpoints":["127.0.0.1:2","nowhere"]}`, "store_endpoints", loadBalancer},
		{"not an address in an object", `{"backend":{"slots":2,"address":"nowhere"}}`, "backend.address", loadAgent},
		{"no data centre", `{"name":"b"}`, "data_centre", loadBalancer},
		{"bad name", `{"name":"B 1"}`, "name", loadBalancer},
		{"no control address", `{` + common + `}`, "control_address", loadBalancer},
		{"plaintext", `{` + common + `,"control_address":"192.0.2.1:3"}`, "control_address", loadBalancer},
		{"incomplete tls files", `{` + common + `,"control_address":"127.0.0.1:3","tls":{"key_file":"k"}}`, "tls", loadBalancer},
		{"log level", `{` + common + `,"control_address":"127.0.0.1:3","log_level":"loud"}`, "log_level", loadBalancer},
		{"bind", `{` + common + `,"control_address":"127.0.0.1:3","datagram_binds":[{}]}`, "datagram_binds[0].service_address", loadBalancer},
		{"open to every network", `{"name":"a","data_centre":"d","data_address":"192.0.2.1:1","control_address":"127.0.0.1:2","service":"s","balancers":["127.0.0.1:3"],"backend":{"address":"127.0.0.1:4"}}`, "accept_from", loadAgent},
		{"no service", `{"name":"a","data_centre":"d","data_address":"127.0.0.1:1","control_address":"127.0.0.1:2"}`, "service", loadAgent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var settingsErr *Error
			is.True(errors.As(test.load(writeSettings(t, test.text)), &settingsErr))
			is.Equal(settingsErr.Field(), test.field)
		})
	}
}

func loadBalancer(file string) error {
	_, err := LoadBalancer(file)
	return err
}

func loadAgent(file string) error {
	_, err := LoadAgent(file)
	return err
}
