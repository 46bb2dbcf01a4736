// Package settings reads the JSON settings file of a balancer or an agent, fills in
// defaults and checks the values. An invalid file gives an *Error, which names the file
// and the field. Settings belong to one process; package config has the configuration
// that all processes share.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Error is an error in a settings file.
type Error struct {
	file, field, reason string
}

// Error returns the file, the field, if there is one, and the reason.
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %s", e.file, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.file, e.field, e.reason)
}

// File returns the path of the settings file.
func (e *Error) File() string { return e.file }

// Field returns the JSON name of the field, such as "tls.key_file", or "" if the error
// is about the whole file.
func (e *Error) Field() string { return e.field }

// Reason returns what is wrong with the field or file.
func (e *Error) Reason() string { return e.reason }

// Common holds the settings of every role.
type Common struct {
	// Name is the name of the process, unique in the system. It must be set.
	Name string `json:"name"`
	// DataCentre is the name of the data centre of the machine. It must be set.
	DataCentre string `json:"data_centre"`
	// DataAddress is the UDP address that receives tunnelled packets. It must be set.
	DataAddress netip.AddrPort `json:"data_address"`
	// ControlAddress is the TCP address that accepts control streams. It must be set.
	ControlAddress netip.AddrPort `json:"control_address"`
	// HTTPAddress is the TCP address that serves metrics, health and the admin API. If
	// empty, none of them is served.
	HTTPAddress netip.AddrPort `json:"http_address"`
	// TLS names the certificate files for control streams and the admin API. If empty,
	// they use plaintext.
	TLS TLS `json:"tls"`
	// AllowPlaintext permits plaintext on addresses other than loopback.
	AllowPlaintext bool `json:"allow_plaintext"`
	// Workers is how many sockets, each with a worker, handle packets; 0 means 1.
	Workers int `json:"workers"`
	// LogLevel is debug, info, warn or error; empty means info.
	LogLevel string `json:"log_level"`
}

// TLS names PEM files. Either all of them or none must be set.
type TLS struct {
	// CertificateFile holds the certificate of this process and its intermediates.
	CertificateFile string `json:"certificate_file"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"key_file"`
	// AuthorityFile holds the certificate of the authority that signs every certificate
	// of the system.
	AuthorityFile string `json:"authority_file"`
}

// Enabled reports whether certificate files are set.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// DatagramBind makes a balancer receive the packets of a service address as plain UDP.
type DatagramBind struct {
	// ServiceAddress is the address of the service in the configuration. It must be set.
	ServiceAddress netip.AddrPort `json:"service_address"`
	// BindAddress is the local UDP address; empty means ServiceAddress.
	BindAddress netip.AddrPort `json:"bind_address"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// StoreEndpoints are addresses of the store, which is the platform's key-value service.
	// At least one must be set.
	StoreEndpoints []netip.AddrPort `json:"store_endpoints"`
	// StoreTLS names the certificate files for the store. If empty, the connection uses
	// plaintext.
	StoreTLS TLS `json:"store_tls"`
	// Seeds are control addresses of other balancers, from which table specs, which list the
	// hosts of each service, are fetched while the store is down. It may be empty.
	Seeds []netip.AddrPort `json:"seeds"`
	// FabricAddresses are the UDP addresses from which the network fabric sends packets of
	// callers. If empty, such packets are only received on datagram_binds.
	FabricAddresses []netip.AddrPort `json:"fabric_addresses"`
	// DatagramBinds are service addresses whose packets are received as plain UDP. It may
	// be empty.
	DatagramBinds []DatagramBind `json:"datagram_binds"`
}

// Backend describes the backend server beside an agent.
type Backend struct {
	// Mode is datagram (one local socket for each flow) or geneve (packets go to the
	// host's tunnel device); empty means datagram.
	Mode string `json:"mode"`
	// Address is the UDP address of the backend server or tunnel device. It must be set.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests the backend server processes at once; 0 means 1.
	Slots int `json:"slots"`
	// Connections is how many flows the backend server holds at once; 0 means 2,000.
	Connections int `json:"connections"`
	// Weight is the announced weight in thousandths; 0 means 1,000 for each slot.
	Weight int `json:"weight"`
}

// The values of Backend.Mode.
const (
	ModeDatagram = "datagram"
	ModeGeneve   = "geneve"
)

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the service that the backend server serves. It must be set.
	Service string `json:"service"`
	// Backend describes the backend server. Its address must be set.
	Backend Backend `json:"backend"`
	// Balancers are control addresses of balancers in order of preference. At least one
	// must be set.
	Balancers []netip.AddrPort `json:"balancers"`
	// AcceptFrom are the networks of balancers and agents. Tunnelled packets from other
	// networks are rejected. It defaults to the loopback networks if the data address is a
	// loopback address, and must be set otherwise.
	AcceptFrom []netip.Prefix `json:"accept_from"`
}

const (
	maxNameLength  = 63
	maxWorkers     = 256
	maxWeight      = 1_000_000
	maxConnections = 1_000_000
	maxSlots       = 100_000
	defaultSlots   = 1
	// defaultConnections is the connection limit of the hosts that this system is built for.
	defaultConnections = 2000
	// weightPerSlot is in thousandths.
	weightPerSlot = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// LoadBalancer loads the settings of a balancer. Its error is an *Error.
func LoadBalancer(file string) (b *Balancer, err error) {
	b = &Balancer{}
	if err = load(file, b); err != nil {
		return nil, err
	}
	c := &checker{file: file}
	c.common(&b.Common)
	c.require("store_endpoints", len(b.StoreEndpoints) > 0, "at least one endpoint is needed")
	for i, address := range b.StoreEndpoints {
		c.address(fmt.Sprintf("store_endpoints[%d]", i), address)
	}
	for i, address := range b.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), address)
	}
	c.tlsFiles("store_tls", b.StoreTLS)
	for i, address := range b.FabricAddresses {
		c.address(fmt.Sprintf("fabric_addresses[%d]", i), address)
	}
	for i := range b.DatagramBinds {
		bind := &b.DatagramBinds[i]
		c.address(fmt.Sprintf("datagram_binds[%d].service_address", i), bind.ServiceAddress)
		if !bind.BindAddress.IsValid() {
			bind.BindAddress = bind.ServiceAddress
		}
	}
	if c.err != nil {
		return nil, c.err
	}
	return b, nil
}

// LoadAgent loads the settings of an agent. Its error is an *Error.
func LoadAgent(file string) (a *Agent, err error) {
	a = &Agent{}
	if err = load(file, a); err != nil {
		return nil, err
	}
	c := &checker{file: file}
	c.common(&a.Common)
	c.require("service", a.Service != "", "a service name is needed")
	c.require("balancers", len(a.Balancers) > 0, "at least one balancer is needed")
	for i, address := range a.Balancers {
		c.address(fmt.Sprintf("balancers[%d]", i), address)
	}
	c.backend(&a.Backend)
	c.acceptFrom(a)
	if c.err != nil {
		return nil, c.err
	}
	return a, nil
}

func load(file string, into any) (err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{file: file, reason: errors.Cause(err).Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(into); err != nil {
		settingsErr := decodeError(file, err)
		if settingsErr.field == "" {
			settingsErr.field = invalidField(data, "", reflect.TypeOf(into).Elem(), nil)
		}
		return settingsErr
	}
	if decoder.More() {
		return &Error{file: file, reason: "has data after the settings object"}
	}
	return nil
}

// invalidField returns the name of the first field that cannot be decoded on its own,
// or name if there is none; path is the path of the object in data. It is needed because
// the decoder does not name a field whose own type returns the error, such as an address.
func invalidField(data []byte, name string, settings reflect.Type, path []string) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return name
	}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		inner := append(slices.Clone(path), key)
		object := []byte(fields[key])
		for _, step := range slices.Backward(inner) {
			object, _ = json.Marshal(map[string]json.RawMessage{step: object})
		}
		if json.Unmarshal(object, reflect.New(settings).Interface()) != nil {
			return invalidField(fields[key], strings.Join(inner, "."), settings, inner)
		}
	}
	return name
}

func decodeError(file string, err error) *Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		// The decoder's field path includes the name of the embedded struct Common.
		return &Error{file: file, field: strings.TrimPrefix(wrongType.Field, "Common."), reason: "has the wrong type " + wrongType.Value}
	}
	const unknownField = "json: unknown field "
	if field, found := strings.CutPrefix(err.Error(), unknownField); found {
		return &Error{file: file, field: strings.Trim(field, `"`), reason: "is not a known field"}
	}
	return &Error{file: file, reason: err.Error()}
}
