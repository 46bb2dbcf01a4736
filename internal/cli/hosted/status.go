package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/registry"
	"agateramp/internal/segment/routes"
	"agateramp/platform"
)

// statusTimeout limits all requests of the status command together.
const statusTimeout = 3 * time.Second

// statusCommand prints the configuration and the agents in the store, and whether
// machines have the newest configuration.
type statusCommand struct {
	Settings    string       `help:"YAML file with the platform's settings of any balancer or agent. If empty, the environment variable of the platform holds its path."`
	MetricsPort uint16       `default:"9464" help:"Port that serves metrics."`
	Machines    []netip.Addr `help:"Addresses of machines whose configuration version is compared with the store's."`
}

// status is the output of the status command.
type status struct {
	// ConfigVersion is the version of the operator's configuration in the store, or 0 if
	// the store holds none.
	ConfigVersion uint64 `json:"config_version"`
	// StoreGeneration rises each time the store is restored from a copy. The revisions of
	// agents are of this generation.
	StoreGeneration uint64 `json:"store_generation"`
	// Evacuated holds the evacuated data centres in the store.
	Evacuated        []string      `json:"evacuated,omitempty"`
	Routes           int           `json:"routes"`
	UnreadableRoutes int           `json:"unreadable_routes"`
	Agents           []agentStatus `json:"agents"`
	// Unreadable holds the keys of entries that cannot be decoded.
	Unreadable []string        `json:"unreadable_entries,omitempty"`
	Machines   []machineStatus `json:"machines,omitempty"`
}

// agentStatus is the entry of an agent in the store.
type agentStatus struct {
	registry.Entry
	// Revision is the store's revision at the last write of the entry.
	Revision int64 `json:"revision"`
}

// machineStatus is the configuration version of the process on a machine: for a
// balancer the version in force, for an agent the newest that a balancer has reported.
type machineStatus struct {
	Address       netip.Addr `json:"address"`
	ConfigVersion uint64     `json:"config_version"`
	// Behind is set if the version is older than that in the store, or is unknown.
	Behind bool   `json:"behind"`
	Error  string `json:"error,omitempty"`
}

// errBehind is the error of the status command if Behind is set for any machine.
var errBehind = errors.New("a machine does not have the newest configuration or does not answer")

// Run prints the status as JSON. It returns errBehind, after printing, if a machine does
// not have the newest configuration.
func (c *statusCommand) Run(out *outputs) (err error) {
	s, err := platform.LoadSettings(settingsPath(c.Settings), false)
	if err != nil {
		return errors.WithMessage(errUsage, err.Error())
	}
	client := platform.NewStore(s.StoreAddress, func(string, time.Duration, error) {})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	report, err := readStatus(ctx, client, platform.ConfigKey, platform.DecodeConfig)
	if err != nil {
		return err
	}
	if s.EvacuationBound > 0 {
		if report.Evacuated, err = readEvacuated(ctx, client, platform.EvacuationPrefix); err != nil {
			return err
		}
	}
	behind := false
	for _, address := range c.Machines {
		m := readMachine(ctx, netip.AddrPortFrom(address, c.MetricsPort), report.ConfigVersion)
		behind = behind || m.Behind
		report.Machines = append(report.Machines, m)
	}
	encoder := json.NewEncoder(out.stdout)
	encoder.SetIndent("", "  ")
	if err = encoder.Encode(report); err != nil {
		return err
	}
	if behind {
		return errBehind
	}
	return nil
}

// readStatus reads the operator's configuration and the entries of agents from the store.
func readStatus(ctx context.Context, s store.Store, configKey string, decode func([]byte) (*routes.Set, error)) (report status, err error) {
	defer func() { err = errors.WithMessage(err, "status") }()
	config, _, err := s.Get(ctx, configKey)
	if err != nil {
		return report, err
	}
	if config != nil {
		set, err := decode(config.Value)
		if err != nil {
			return report, err
		}
		report.ConfigVersion, report.Routes, report.UnreadableRoutes = set.Version(), set.Len(), set.UnreadableRoutes()
	}
	entries, revision, err := s.List(ctx, registry.KeyPrefix)
	if err != nil {
		return report, err
	}
	report.StoreGeneration = revision.Generation
	for _, entry := range entries {
		e, err := registry.DecodeEntry(entry.Key, entry.Value)
		if err != nil {
			report.Unreadable = append(report.Unreadable, entry.Key)
			continue
		}
		report.Agents = append(report.Agents, agentStatus{Entry: e, Revision: entry.ModRevision})
	}
	return report, nil
}

// readEvacuated reads the data centres that are evacuated by the keys with a prefix.
func readEvacuated(ctx context.Context, s store.Store, prefix string) (dataCentres []string, err error) {
	defer func() { err = errors.WithMessage(err, "evacuated data centres") }()
	entries, _, err := s.List(ctx, prefix)
	for _, entry := range entries {
		dataCentres = append(dataCentres, strings.TrimPrefix(entry.Key, prefix))
	}
	return dataCentres, err
}

// readMachine reads the configuration version from the metrics of the process at address
// and compares it with newest.
func readMachine(ctx context.Context, address netip.AddrPort, newest uint64) (m machineStatus) {
	m.Address = address.Addr()
	version, err := fetchConfigVersion(ctx, address)
	if err != nil {
		m.Error = err.Error()
	}
	m.ConfigVersion, m.Behind = version, err != nil || version < newest
	return m
}

// fetchConfigVersion returns the configuration version from the metrics at address.
func fetchConfigVersion(ctx context.Context, address netip.AddrPort) (version uint64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var metrics map[string]struct {
		Value json.Number `json:"value"`
	}
	if err = json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return 0, errors.WithMessage(err, "metrics")
	}
	return strconv.ParseUint(metrics["config.version"].Value.String(), 10, 64)
}
