package owner

import (
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Config configures an Owner.
type Config struct {
	// Self is the data address of this agent. It must be set.
	Self netip.AddrPort
	// Slots is how many requests the backend server works on at once. Empty means 1.
	Slots int
	// Connections is the most open flows. Empty means 2,000.
	Connections int
	// AnswersSeen is set when the adapter reports answers, so that slots are
	// counted by requests. Empty means that open flows stand for load.
	AnswersSeen bool
	// MaxFlows bounds the flow map, directory entries included. Empty means 200,000.
	MaxFlows int
	// Started is when the process started; recovery ends 2 s later at most. It must be set.
	Started time.Time
}

// Owner holds the flow map of an agent. Its methods are safe for concurrent use.
type Owner struct{}

// New returns an Owner without a table; it passes and takes nothing until the
// first SpecReceived event.
func New(_ Config) (o *Owner, err error) { return &Owner{}, nil }

// HandlePacket decides on a packet and appends what is to be done to effects.
func (o *Owner) HandlePacket(_ time.Time, _ *flow.Header, _ *flow.Packet, effects []Effect) []Effect {
	return effects
}

// HandleEvent takes an event and appends what is to be done to effects.
func (o *Owner) HandleEvent(_ time.Time, _ Event, effects []Effect) []Effect { return effects }

// Load returns the present load as a heartbeat without host and incarnation.
func (o *Owner) Load(_ time.Time) *controlpb.Heartbeat { return &controlpb.Heartbeat{} }
