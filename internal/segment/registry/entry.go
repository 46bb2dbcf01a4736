package registry

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
)

// KeyPrefix is the prefix of the store keys of all agent entries. The name of the agent's machine follows it.
const KeyPrefix = "agateramp/agent/"

// broadcastAddress reaches all machines of a network.
var broadcastAddress = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Entry is the record by which an agent announces itself in the store. Balancers request all other information about
// an agent from the agent itself.
type Entry struct {
	// Node names the agent's machine. Must be set.
	Node string `json:"node"`
	// Address is the IPv4 address at which the agent receives packets and messages. Must be that of one machine.
	Address netip.Addr `json:"address"`
	// Service is the service of the host beside the agent. Must be set.
	Service string `json:"service"`
}

// Key returns the store key of the entry.
func (e Entry) Key() string { return KeyPrefix + e.Node }

// Encode returns the entry as JSON, the form in which the store holds it.
func (e Entry) Encode() (value []byte, err error) { return json.Marshal(e) }

// DecodeEntry decodes an entry in the store. It returns an error if a field is missing or invalid, or if the entry is of
// another key.
func DecodeEntry(key string, value []byte) (e Entry, err error) {
	defer func() { err = errors.WithMessage(err, "agent entry") }()
	if err = json.Unmarshal(value, &e); err != nil {
		return Entry{}, err
	}
	switch {
	case e.Node == "" || e.Service == "":
		return Entry{}, errors.New("node and service must be set")
	case !e.Address.Is4() || e.Address.IsUnspecified() || e.Address.IsMulticast() || e.Address == broadcastAddress:
		return Entry{}, errors.Errorf("address %v is not the IPv4 address of a machine", e.Address)
	case e.Key() != key:
		return Entry{}, errors.Errorf("entry is of key %q", e.Key())
	}
	return e, nil
}
