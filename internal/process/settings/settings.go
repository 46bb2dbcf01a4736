// Package settings reads and checks the JSON settings of a process.
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

// Error is a fault in a settings file.
type Error struct {
	file, field, reason string
}

// Error gives file, field and reason.
func (e *Error) Error() string {
	if e.field == "" {
		return fmt.Sprintf("%s: %s", e.file, e.reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.file, e.field, e.reason)
}

// File returns the path of the settings file.
func (e *Error) File() string { return e.file }

// Field returns the JSON name of the field, such as "tls.key_file", or "".
func (e *Error) Field() string { return e.field }

// Reason returns what is wrong with the field.
func (e *Error) Reason() string { return e.reason }

// Common holds the settings that every role has.
type Common struct {
	// Name is the name of the process, unique in the system. It must be set.
	Name string `json:"name"`
	// DataCentre is the data centre of the machine. It must be set.
	DataCentre string `json:"data_centre"`
	// DataAddress takes tunnelled packets over UDP. It must be set.
	DataAddress netip.AddrPort `json:"data_address"`
	// ControlAddress takes control streams over TCP. It must be set.
	ControlAddress netip.AddrPort `json:"control_address"`
	// HTTPAddress serves metrics, health and the admin API. Empty means none is served.
	HTTPAddress netip.AddrPort `json:"http_address"`
	// TLS holds the certificate files of control streams and the admin API.
	// Empty means plaintext.
	TLS TLS `json:"tls"`
	// AllowPlaintext permits plaintext on addresses other than loopback. Empty means false.
	AllowPlaintext bool `json:"allow_plaintext"`
	// Workers is how many sockets and workers handle packets. Empty means 1.
	Workers int `json:"workers"`
	// LogLevel is debug, info, warn or error. Empty means info.
	LogLevel string `json:"log_level"`
}

// TLS names PEM files. Either all or none must be set.
type TLS struct {
	// CertificateFile holds the certificate of this process and its intermediates.
	CertificateFile string `json:"certificate_file"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"key_file"`
	// AuthorityFile holds the authority that signs every certificate of the system.
	AuthorityFile string `json:"authority_file"`
}

// Enabled reports whether certificate files are set.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// DatagramBind binds a service's address on this balancer.
type DatagramBind struct {
	// ServiceAddress is the address that the configuration gives the service. It must be set.
	ServiceAddress netip.AddrPort `json:"service_address"`
	// BindAddress is the local UDP address. Empty means the service's address.
	BindAddress netip.AddrPort `json:"bind_address"`
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Common
	// StoreEndpoints are addresses of the platform's key-value service. It must be set.
	StoreEndpoints []netip.AddrPort `json:"store_endpoints"`
	// StoreTLS holds the certificate files for the key-value service. Empty means plaintext.
	StoreTLS TLS `json:"store_tls"`
	// Seeds are control addresses of other balancers, asked for table specs
	// while the key-value service is down. Empty means none.
	Seeds []netip.AddrPort `json:"seeds"`
	// FabricAddresses are the UDP addresses from which the fabric sends packets.
	// Empty means that only datagram_binds take packets of callers.
	FabricAddresses []netip.AddrPort `json:"fabric_addresses"`
	// DatagramBinds are service addresses taken as plain UDP. Empty means none.
	DatagramBinds []DatagramBind `json:"datagram_binds"`
}

// Backend describes the backend server beside an agent.
type Backend struct {
	// Mode is datagram (one local socket for each flow) or geneve (packets go
	// to the host's tunnel device). Empty means datagram.
	Mode string `json:"mode"`
	// Address is the UDP address of the backend server or tunnel device. It must be set.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests it works on at once. Empty means 1.
	Slots int `json:"slots"`
	// Connections is how many flows it holds at once. Empty means 2,000.
	Connections int `json:"connections"`
	// Weight is the announced weight in thousandths. Empty means 1,000 for each slot.
	Weight int `json:"weight"`
}

// The values of Backend.Mode.
const (
	ModeDatagram = "datagram"
	ModeGeneve   = "geneve"
)

// Agent is the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the service that the backend server serves. It must be set.
	Service string `json:"service"`
	// Backend describes the backend server. Its address must be set.
	Backend Backend `json:"backend"`
	// Balancers are control addresses of balancers, preferred first. It must be set.
	Balancers []netip.AddrPort `json:"balancers"`
	// AcceptFrom are the networks of balancers and agents, from which tunnelled
	// packets are taken. Empty means loopback; it must be set for any other data address.
	AcceptFrom []netip.Prefix `json:"accept_from"`
}

const (
	maxNameLength  = 63
	maxWorkers     = 256
	maxWeight      = 1_000_000
	maxConnections = 1_000_000
	maxSlots       = 100_000
	defaultSlots   = 1
	// defaultConnections is the connection limit of the users' hosts.
	defaultConnections = 2000
	// weightPerSlot is in thousandths.
	weightPerSlot = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// LoadBalancer reads the settings of a balancer.
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

// LoadAgent reads the settings of an agent.
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
		fault := decodeError(file, err)
		if fault.field == "" {
			fault.field = faultyField(data, "", reflect.TypeOf(into).Elem(), nil)
		}
		return fault
	}
	if decoder.More() {
		return &Error{file: file, reason: "has data after the settings object"}
	}
	return nil
}

// faultyField returns the first field of an object that cannot be decoded on its
// own, or "". The decoder does not name fields whose own type reports the error,
// such as addresses.
func faultyField(data []byte, name string, settings reflect.Type, path []string) string {
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
			return faultyField(fields[key], strings.Join(inner, "."), settings, inner)
		}
	}
	return name
}

func decodeError(file string, err error) *Error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &Error{file: file, field: strings.TrimPrefix(wrongType.Field, "Common."), reason: "has the wrong type " + wrongType.Value}
	}
	const unknownField = "json: unknown field "
	if field, found := strings.CutPrefix(err.Error(), unknownField); found {
		return &Error{file: file, field: strings.Trim(field, `"`), reason: "is not a known field"}
	}
	return &Error{file: file, reason: err.Error()}
}
