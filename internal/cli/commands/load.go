package commands

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/load/generator"
	"agateramp/internal/process/group"
)

const adapterDatagram = "datagram"

type loadCommand struct {
	Adapter string         `default:"datagram" enum:"datagram,geneve" help:"Packet adapter: datagram or geneve."`
	Target  netip.AddrPort `required:"" help:"Where datagrams are sent; with geneve, the service address inside the tunnel."`
	Service uint32         `required:"" help:"Id of the service at the target."`

	Fabric   netip.AddrPort `help:"Geneve address of the fabric (geneve only)."`
	Listen   netip.AddrPort `default:"127.0.0.1:0" help:"Local Geneve address (geneve only)."`
	Caller   netip.Addr     `default:"198.51.100.1" help:"IP address of the callers inside the tunnel (geneve only)."`
	Protocol string         `default:"udp" enum:"udp,tcp" help:"Protocol of the flows inside the tunnel: udp or tcp (geneve only)."`

	Flows           int     `help:"Number of flows to open; without it, flows are opened until the duration ends."`
	DurationMS      int     `default:"10000" help:"Time until the run ends, in milliseconds; open flows then stop after their current request."`
	Rate            float64 `help:"Flows opened per second; without it, as many as the concurrency allows."`
	Concurrency     int     `default:"100" help:"Maximum number of flows open at once."`
	Length          int     `default:"1" help:"Requests per flow."`
	IntervalMS      int     `help:"Minimum time between requests of a flow, in milliseconds."`
	WorkUS          uint32  `help:"Work of a flow's first request at speed 1, in microseconds."`
	NextWorkUS      uint32  `help:"Work of the other requests, in microseconds."`
	Body            int     `default:"64" help:"Size of a request's body in bytes."`
	Idempotent      bool    `help:"Requests may run more than once."`
	RefusalHex      string  `help:"Payload, in hex, of the answer that refuses a request without running it."`
	RetransmitMS    int     `default:"300" help:"Time before the first retransmission, in milliseconds; it doubles with each retransmission, up to 8 times this value."`
	Retransmissions int     `default:"8" help:"Maximum number of retransmissions of a packet; 0 for none."`
	Seed            uint64  `help:"Seed of the flow ids; without it they are random."`
}

// Run sends flows to a running system and prints the summary. It fails if an
// invariant was violated.
func (c *loadCommand) Run(env *environment) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	refusal, err := hex.DecodeString(c.RefusalHex)
	if err != nil {
		return errors.WithMessagef(errUsage, "--refusal-hex: %v", err)
	}
	tasks := group.New(context.Background())
	defer tasks.Stop()
	transport, err := c.transport(tasks)
	if err != nil {
		return err
	}
	retransmissions := c.Retransmissions
	if retransmissions == 0 {
		retransmissions = -1
	}
	g, err := generator.New(generator.Config{
		Transport: transport, Service: c.Service, Idempotent: c.Idempotent,
		Flows: c.Flows, Until: time.Now().Add(time.Duration(c.DurationMS) * time.Millisecond),
		Rate: c.Rate, Concurrency: c.Concurrency, Length: c.Length, IntervalMS: c.IntervalMS,
		WorkMicros: c.WorkUS, NextWorkMicros: c.NextWorkUS, BodySize: c.Body,
		RetransmitMS: c.RetransmitMS, Retransmissions: retransmissions, Refusal: refusal, Seed: c.Seed,
	})
	if err != nil {
		return asUsageError(err)
	}
	summary, err := g.Run(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(env.stdout)
	encoder.SetIndent("", "  ")
	if err = encoder.Encode(summary); err != nil {
		return errors.WithStack(err)
	}
	if n := len(summary.Violations); n > 0 {
		return errors.Errorf("load: invariants were violated, first: %s", summary.Violations[0])
	}
	return nil
}

// transport returns the packet adapter that --adapter selects.
func (c *loadCommand) transport(tasks *group.Group) (transport generator.Transport, err error) {
	if c.Adapter == adapterDatagram {
		return generator.NewDatagram(c.Target)
	}
	if !c.Fabric.IsValid() {
		return nil, errors.WithMessage(errUsage, "--fabric is required with the geneve adapter")
	}
	return generator.NewGeneve(generator.GeneveConfig{
		Listen: c.Listen, Fabric: c.Fabric, Service: c.Target, TCP: c.Protocol == "tcp", Caller: c.Caller, Group: tasks,
	})
}
