package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// checker keeps the first fault of a settings file.
type checker struct {
	file string
	err  error
}

func (c *checker) require(field string, ok bool, reason string) {
	if !ok && c.err == nil {
		c.err = &Error{file: c.file, field: field, reason: reason}
	}
}

func (c *checker) address(field string, address netip.AddrPort) {
	c.require(field, address.IsValid() && address.Port() != 0, "an IP address with a port is needed")
}

func (c *checker) count(field string, value *int, fallback, limit int) {
	if *value == 0 {
		*value = fallback
	}
	c.require(field, *value > 0 && *value <= limit, fmt.Sprintf("must be from 1 to %d", limit))
}

func (c *checker) common(s *Common) {
	c.require("name", len(s.Name) <= maxNameLength && namePattern.MatchString(s.Name),
		fmt.Sprintf("%q is not a name of lower-case letters, digits, dots and hyphens", s.Name))
	c.require("data_centre", s.DataCentre != "", "a data centre is needed")
	c.address("data_address", s.DataAddress)
	c.address("control_address", s.ControlAddress)
	c.count("workers", &s.Workers, 1, maxWorkers)
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	c.require("log_level", slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel),
		"must be debug, info, warn or error")
	c.tls(s)
}

func (c *checker) tlsFiles(field string, t TLS) {
	missing := slices.Contains([]string{t.CertificateFile, t.KeyFile, t.AuthorityFile}, "")
	c.require(field, !missing || t == TLS{}, "certificate_file, key_file and authority_file go together")
}

func (c *checker) tls(s *Common) {
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
	c.count("backend.slots", &b.Slots, defaultSlots, maxSlots)
	c.count("backend.connections", &b.Connections, defaultConnections, maxConnections)
	c.count("backend.weight", &b.Weight, b.Slots*weightPerSlot, maxWeight)
}

func (c *checker) acceptFrom(a *Agent) {
	if len(a.AcceptFrom) > 0 {
		return
	}
	c.require("accept_from", a.DataAddress.Addr().IsLoopback(), "the networks of balancers and agents are needed")
	a.AcceptFrom = Loopback()
}

// Loopback returns the loopback networks.
func Loopback() []netip.Prefix {
	return []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}
}
