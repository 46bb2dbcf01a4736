package config

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

const (
	firstPacketSyn    = "syn"
	firstPacketAny    = "any"
	firstPacketPrefix = "prefix"
)

//go:embed schema.json
var schemaJSON []byte

// Problem is one error or warning about the configuration.
type Problem struct {
	// File is the file that set the value, or empty if no file did.
	File string
	// Field is the JSON pointer of the value, or empty if the problem is the file itself.
	Field   string
	Message string
}

func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "file %s: ", p.File)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "field %s: ", p.Field)
	}
	return b.String() + p.Message
}

// Problems lists every error of a configuration. As an error it prints them all.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

var compiledSchema = sync.OnceValues(func() (schema *jsonschema.Schema, err error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err = compiler.AddResource("configuration.json", document); err != nil {
		return nil, err
	}
	return compiler.Compile("configuration.json")
})

func checkSchema(raw []byte, origins map[string]string) (err error) {
	schema, err := compiledSchema()
	if err != nil {
		return errors.WithMessage(err, "configuration schema")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return errors.WithMessage(err, "merged configuration")
	}
	err = schema.Validate(value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return errors.WithMessage(err, "merged configuration")
	}
	return sortUnique(appendLeafErrors(nil, invalid.DetailedOutput(), origins))
}

// appendLeafErrors appends the errors of a schema validation that have no further
// cause.
func appendLeafErrors(problems Problems, unit *jsonschema.OutputUnit, origins map[string]string) Problems {
	if len(unit.Errors) == 0 && unit.Error != nil {
		field := unit.InstanceLocation
		return append(problems, Problem{File: originOf(origins, field), Field: field, Message: unit.Error.String()})
	}
	for i := range unit.Errors {
		problems = appendLeafErrors(problems, &unit.Errors[i], origins)
	}
	return problems
}

// checkSemantics returns the errors that the schema cannot express, such as an address
// of two services.
func (s *Source) checkSemantics() (problems Problems) {
	d := s.document
	add := func(field, format string, args ...any) {
		problems = append(problems, Problem{
			File: originOf(s.origins, field), Field: field, Message: fmt.Sprintf(format, args...),
		})
	}
	owners := map[string]string{}
	for _, name := range d.ServiceNames() {
		service, at := d.Services[name], "/services/"+name
		for i, a := range service.Addresses {
			field := fmt.Sprintf("%s/addresses/%d/address", at, i)
			address, err := parseAddress(a.Address)
			if err != nil {
				add(field, "%v", err)
				continue
			}
			key := a.Protocol + " " + address.String()
			if owner, taken := owners[key]; taken {
				add(field, "%s is already an address of service %s", key, owner)
			}
			owners[key] = name
			if (a.Protocol == "tcp") != (service.FirstPacket == firstPacketSyn) {
				add(at+"/first_packet", "%q does not fit an address of protocol %s: syn is for tcp, any and prefix are for udp",
					service.FirstPacket, a.Protocol)
			}
			if a.Protocol == "tcp" && service.RefusalHex != "" {
				add(at+"/refusal_hex", "a refusal datagram cannot be sent to a tcp caller")
			}
		}
		if (service.PrefixHex != "") != (service.FirstPacket == firstPacketPrefix) {
			add(at+"/prefix_hex", "must be set if and only if first_packet is \"prefix\"")
		}
		if service.QueueDeadlineMS >= service.IdleTimeoutMS {
			add(at+"/queue_deadline_ms", "%d must be below idle_timeout_ms, which is %d",
				service.QueueDeadlineMS, service.IdleTimeoutMS)
		}
	}
	for name := range d.LoadSharing.Services {
		if _, ok := d.Services[name]; !ok {
			add("/load_sharing/services/"+name, "service %s does not exist", name)
		}
	}
	for name, h := range d.Hosts {
		if _, ok := d.Services[h.Service]; !ok {
			add("/hosts/"+escapePointer(name)+"/service", "service %s does not exist", h.Service)
		}
	}
	return sortUnique(problems)
}

// Warnings returns settings that are valid but probably unintended.
func (s *Source) Warnings() (problems Problems) {
	for _, name := range s.document.ServiceNames() {
		service := s.document.Services[name]
		if service.FirstPacket == firstPacketAny && !service.Idempotent {
			field := "/services/" + name + "/first_packet"
			problems = append(problems, Problem{
				File: originOf(s.origins, field), Field: field,
				Message: "with \"any\", a late datagram of an ended flow starts a new flow although the service is not idempotent",
			})
		}
	}
	return problems
}

func parseAddress(text string) (address netip.AddrPort, err error) {
	address, err = netip.ParseAddrPort(text)
	if err != nil {
		return address, errors.Errorf("%q is not an IP address and port", text)
	}
	ip := address.Addr().Unmap()
	switch {
	case ip.Zone() != "":
		return address, errors.Errorf("%q has a zone", text)
	case ip.IsUnspecified() || ip.IsMulticast():
		return address, errors.Errorf("%q is not the address of a single machine", text)
	case address.Port() == 0:
		return address, errors.Errorf("%q has port 0", text)
	}
	return netip.AddrPortFrom(ip, address.Port()), nil
}

func decodeHex(text string) []byte {
	// The schema accepts pairs of hexadecimal digits only.
	b, _ := hex.DecodeString(text)
	return b
}
