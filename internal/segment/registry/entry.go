package registry

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
)

// KeyPrefix is where the entries of agents lie in the store.
const KeyPrefix = "agateramp/agent/"

// Entry announces an agent. Everything else about it comes from the agent itself.
type Entry struct {
	// Node names the machine.
	Node string `json:"node"`
	// Address is where the agent takes packets and messages.
	Address netip.Addr `json:"address"`
	// Service is the service of the host beside the agent.
	Service string `json:"service"`
}

// Key returns the key of the entry.
func (e Entry) Key() string { return KeyPrefix + e.Node }

// Encode returns the value of the entry.
func (e Entry) Encode() (value []byte, err error) { return json.Marshal(e) }

// DecodeEntry reads the value of an entry.
func DecodeEntry(value []byte) (e Entry, err error) {
	defer func() { err = errors.WithMessage(err, "agent entry") }()
	if err = json.Unmarshal(value, &e); err != nil {
		return Entry{}, err
	}
	if e.Node == "" || e.Service == "" || !e.Address.IsValid() {
		return Entry{}, errors.New("node, address and service must be set")
	}
	return e, nil
}
