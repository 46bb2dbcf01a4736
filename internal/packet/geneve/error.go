package geneve

import (
	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
)

// Error is the error for a frame or packet that was rejected.
type Error struct {
	reason flow.Reason
	detail string
}

// Error implements error.
func (e *Error) Error() string { return "geneve: " + e.detail }

// Reason returns the reason under which metrics count the rejected packet.
func (e *Error) Reason() flow.Reason { return e.reason }

// ReasonOf returns the reason of an error of this package, and flow.ReasonMalformed for any other error.
func ReasonOf(err error) flow.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.reason
	}
	return flow.ReasonMalformed
}

func malformed(detail string) *Error { return &Error{reason: flow.ReasonMalformed, detail: detail} }

// The errors are variables so that rejecting a packet does not allocate.
var (
	errShortFrame        = malformed("frame is shorter than its header")
	errFrameVersion      = malformed("Geneve version is not 0")
	errControlFrame      = malformed("Geneve control frames are not supported")
	errCriticalOption    = malformed("unknown critical option")
	errOptionLength      = malformed("option is longer than the options field")
	errInnerProtocol     = malformed("inner protocol is neither IPv4 nor IPv6")
	errPacketHeader      = malformed("invalid packet header")
	errPacketHeaderValue = malformed("value in the packet header is out of range")
	errTruncated         = malformed("inner packet is truncated")
	errInnerPacket       = malformed("invalid inner packet")
	errFragment          = malformed("inner packet is a fragment")
	errTransportProtocol = malformed("inner transport is neither TCP nor UDP")
	errAddressFamilies   = malformed("source and destination are not addresses of one IP family")
	errTooLong           = malformed("packet is longer than its length field can hold")
	errNotTCP            = malformed("packet is not TCP")
	errResetOfReset      = malformed("packet is a TCP reset, which is never answered")
)
