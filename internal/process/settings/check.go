package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// checker checks the settings of a file and keeps the first error.
type checker struct {
	file string
	err  error
}

// require records an error for a field unless ok is set.
func (c *checker) require(field string, ok bool, reason string) {
	if !ok && c.err == nil {
		c.err = &Error{file: c.file, field: field, reason: reason}
	}
}

func (c *checker) address(field string, address netip.AddrPort) {
	c.require(field, address.IsValid() && address.Port() != 0, "an IP address with a port is needed")
}

// countOrDefault sets a value of 0 to its default and checks that it is from 1 to limit.
func (c *checker) countOrDefault(field string, value *int, defaultValue, limit int) {
	if *value == 0 {
		*value = defaultValue
	}
	c.require(field, *value > 0 && *value <= limit, fmt.Sprintf("must be from 1 to %d", limit))
}

// common fills in the defaults of the settings of every role and checks them.
func (c *checker) common(s *Common) {
	c.require("name", len(s.Name) <= maxNameLength && namePattern.MatchString(s.Name),
		fmt.Sprintf("%q is not a name of lower-case letters, digits, dots and hyphens", s.Name))
	c.require("data_centre", s.DataCentre != "", "a data centre is needed")
	c.address("data_address", s.DataAddress)
	c.address("control_address", s.ControlAddress)
	c.countOrDefault("workers", &s.Workers, 1, maxWorkers)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	c.require("log_level", slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel),
		"must be debug, info, warn or error")
	c.tlsOrLoopback(s)
}

// tlsFiles requires that all files or none are set.
func (c *checker) tlsFiles(field string, t TLS) {
	missing := slices.Contains([]string{t.CertificateFile, t.KeyFile, t.AuthorityFile}, "")
	c.require(field, !missing || t == TLS{}, "set all of certificate_file, key_file and authority_file, or none")
}

// tlsOrLoopback requires loopback addresses unless TLS is set or plaintext is allowed.
func (c *checker) tlsOrLoopback(s *Common) {
	c.tlsFiles("tls", s.TLS)
	if s.TLS.Enabled() || s.AllowPlaintext {
		return
	}
	const reason = "plaintext is served on loopback only; set tls or allow_plaintext"
	c.require("control_address", s.ControlAddress.Addr().IsLoopback(), reason)
	c.require("http_address", !s.HTTPAddress.IsValid() || s.HTTPAddress.Addr().IsLoopback(), reason)
}

func (c *checker) backend(b *Backend) {
	if b.Mode == "" {
		b.Mode = ModeDatagram
	}
	c.require("backend.mode", b.Mode == ModeDatagram || b.Mode == ModeGeneve, "must be datagram or geneve")
	c.address("backend.address", b.Address)
	c.countOrDefault("backend.slots", &b.Slots, defaultSlots, maxSlots)
	c.countOrDefault("backend.connections", &b.Connections, defaultConnections, maxConnections)
	c.countOrDefault("backend.weight", &b.Weight, b.Slots*weightPerSlot, maxWeight)
}

// acceptFrom defaults to the loopback networks if the data address is a loopback address.
func (c *checker) acceptFrom(a *Agent) {
	if len(a.AcceptFrom) > 0 {
		return
	}
	c.require("accept_from", a.DataAddress.Addr().IsLoopback(), "the networks of balancers and agents are needed")
	a.AcceptFrom = Loopback()
}

// Loopback returns the loopback networks of IPv4 and IPv6.
func Loopback() []netip.Prefix {
	return []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}
}
