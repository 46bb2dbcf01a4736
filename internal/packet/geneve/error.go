package geneve

import (
	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
)

// Error says why a frame or packet was rejected.
type Error struct {
	reason flow.Reason
	detail string
}

// Error returns the detail.
func (e *Error) Error() string { return "geneve: " + e.detail }

// Reason returns the reason under which the rejection is counted.
func (e *Error) Reason() flow.Reason { return e.reason }

// ReasonOf returns the reason of an error of this package, and
// flow.ReasonMalformed for any other error.
func ReasonOf(err error) flow.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.reason
	}
	return flow.ReasonMalformed
}

func malformed(detail string) *Error { return &Error{reason: flow.ReasonMalformed, detail: detail} }

// The errors are values so that rejecting a packet does not allocate.
var (
	errShortFrame     = malformed("frame is shorter than its header")
	errFrameVersion   = malformed("unknown Geneve version")
	errControlFrame   = malformed("control frame")
	errCriticalOption = malformed("unknown critical option")
	errOption         = malformed("option exceeds the options length")
	errProtocol       = malformed("inner protocol is neither IPv4 nor IPv6")
	errHeader         = malformed("invalid packet header")
	errHeaderValue    = malformed("packet header value out of range")
	errTruncated      = malformed("inner packet is truncated")
	errInner          = malformed("invalid inner packet")
	errFragment       = malformed("inner packet is a fragment")
	errTransport      = malformed("inner transport is neither TCP nor UDP")
	errFamilies       = malformed("addresses of different families")
	errTooLong        = malformed("packet is too long")
	errNotTCP         = malformed("packet is not TCP")
	errResetOfReset   = malformed("a reset is not answered")
)
