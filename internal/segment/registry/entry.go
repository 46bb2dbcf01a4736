package registry

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
)

// KeyPrefix is the prefix of the store keys of all agent entries. The name of the agent's machine follows it.
const KeyPrefix = "agateramp/agent/"

// Entry is the record by which an agent announces itself in the store. Balancers request all other information about
// an agent from the agent itself.
type Entry struct {
	// Node names the agent's machine. Must be set.
	Node string `json:"node"`
	// Address is the IP address at which the agent receives packets and messages. Must be valid.
	Address netip.Addr `json:"address"`
	// Service is the service of the host beside the agent. Must be set.
	Service string `json:"service"`
}

// Key returns the store key of the entry.
func (e Entry) Key() string { return KeyPrefix + e.Node }

// Encode returns the entry as JSON, the form in which the store holds it.
func (e Entry) Encode() (value []byte, err error) { return json.Marshal(e) }

// DecodeEntry decodes the value of an entry in the store. It returns an error if a field is missing or invalid.
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
