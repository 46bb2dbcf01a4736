// Package payload encodes and decodes the requests that the load tool sends and
// the answers that the backend servers of a load run return. Numbers are big endian.
//
//	request                        answer
//	 0  magic AGLF or AGLN          0  magic AGLA
//	 4  kind 1                      4  kind 2
//	 5  flags: 1 idempotent         5  flags: 1 idempotent, 2 first
//	 6  0                           6  length of the host's name
//	 7  0                           7  0
//	 8  service        (4 bytes)    8-39 as in the request
//	12  sequence       (4)         40  service of the host (4)
//	16  flow id        (8)         44  slots of the host   (4)
//	24  request id     (8)         48  run                 (8)
//	32  work, µs       (4)         56  busy time, µs       (4)
//	36  length of body (4)         60  name of the host
//	40  body                           body
//	    CRC-32C of all above (4)       CRC-32C of all above (4)
//
// The magic AGLF marks the first packet of a flow, so that it can be the
// first-packet prefix of a service; AGLN marks the packets after it. The body of a
// request is generated from its id, and the answer repeats the body.
package payload

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// FirstPrefix is the prefix of the first packet of each flow, the magic AGLF.
const FirstPrefix = "AGLF"

// MaxBody is the largest size of a request's body in bytes. This package does not
// enforce it.
const MaxBody = 8 << 10

const (
	nextMagic   = "AGLN"
	answerMagic = "AGLA"

	kindRequest = 1
	kindAnswer  = 2

	flagIdempotent = 1
	flagFirst      = 2

	requestHeaderSize = 40
	answerHeaderSize  = 60
	checksumSize      = 4
)

// ErrInvalid is returned if a payload is not a complete, well-formed request or answer.
var ErrInvalid = errors.New("invalid load payload")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Request is one request of a caller.
type Request struct {
	// First marks the first request of a flow.
	First bool
	// Idempotent permits the request to run more than once.
	Idempotent bool
	// Service is the id of the service that the caller sent the request to.
	Service uint32
	// Sequence is the position of the request in its flow, counted from 0.
	Sequence uint32
	// Flow and ID are the ids of the flow and of the request.
	Flow uint64
	ID   uint64
	// WorkMicros is how long a host of speed 1, the default, works on the request, in
	// microseconds.
	WorkMicros uint32
	// BodySize is the size of the body in bytes.
	BodySize int
}

// Answer is the answer of a backend server to a request.
type Answer struct {
	Request Request
	// Host is the name of the backend server, truncated to 255 bytes when encoded.
	Host string
	// HostService is the id of the service that the backend server belongs to.
	HostService uint32
	// Slots is how many requests the backend server can run at a time.
	Slots uint32
	// Run is the number of this run (one execution of a request) on the backend server.
	Run uint64
	// BusyMicros is how long the run occupied a slot, in microseconds.
	BusyMicros uint32

	body []byte
}

// AppendBody appends a body of size bytes, generated from the request id, to dst.
func AppendBody(dst []byte, id uint64, size int) []byte {
	state := id
	for size > 0 {
		// The increment and the multiplier are those of splitmix64.
		state += 0x9e3779b97f4a7c15
		word := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], word^word>>27)
		n := min(size, len(b))
		dst = append(dst, b[:n]...)
		size -= n
	}
	return dst
}

// Append appends the encoded request, with the body that belongs to its id, to dst.
func (r *Request) Append(dst []byte) []byte {
	start := len(dst)
	if r.First {
		dst = append(dst, FirstPrefix...)
	} else {
		dst = append(dst, nextMagic...)
	}
	dst = append(dst, kindRequest, r.flags()&flagIdempotent, 0, 0)
	dst = r.appendFields(dst)
	dst = AppendBody(dst, r.ID, r.BodySize)
	return binary.BigEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
}

// Append appends the encoded answer with body, the body of the request, to dst.
func (a *Answer) Append(dst, body []byte) []byte {
	start := len(dst)
	name := a.Host[:min(len(a.Host), 255)]
	dst = append(dst, answerMagic...)
	dst = append(dst, kindAnswer, a.Request.flags(), byte(len(name)), 0)
	dst = a.Request.appendFields(dst)
	dst = binary.BigEndian.AppendUint32(dst, a.HostService)
	dst = binary.BigEndian.AppendUint32(dst, a.Slots)
	dst = binary.BigEndian.AppendUint64(dst, a.Run)
	dst = binary.BigEndian.AppendUint32(dst, a.BusyMicros)
	dst = append(dst, name...)
	dst = append(dst, body...)
	return binary.BigEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
}

func (r *Request) flags() (flags byte) {
	if r.Idempotent {
		flags |= flagIdempotent
	}
	if r.First {
		flags |= flagFirst
	}
	return flags
}

func (r *Request) appendFields(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, r.Service)
	dst = binary.BigEndian.AppendUint32(dst, r.Sequence)
	dst = binary.BigEndian.AppendUint64(dst, r.Flow)
	dst = binary.BigEndian.AppendUint64(dst, r.ID)
	dst = binary.BigEndian.AppendUint32(dst, r.WorkMicros)
	return binary.BigEndian.AppendUint32(dst, uint32(r.BodySize))
}

// parseFields decodes the fields that requests and answers have in common, that is all
// but First. b must have at least requestHeaderSize bytes.
func parseFields(b []byte) Request {
	return Request{
		Idempotent: b[5]&flagIdempotent != 0,
		Service:    binary.BigEndian.Uint32(b[8:]),
		Sequence:   binary.BigEndian.Uint32(b[12:]),
		Flow:       binary.BigEndian.Uint64(b[16:]),
		ID:         binary.BigEndian.Uint64(b[24:]),
		WorkMicros: binary.BigEndian.Uint32(b[32:]),
		BodySize:   int(binary.BigEndian.Uint32(b[36:])),
	}
}

// ParseRequest decodes a request and returns it with its body, which aliases b. It
// returns ErrInvalid if b is not a complete request. It does not compare the body
// with the one that belongs to the id.
func ParseRequest(b []byte) (r Request, body []byte, err error) {
	if len(b) < requestHeaderSize+checksumSize || b[4] != kindRequest || !checksumValid(b) {
		return r, nil, ErrInvalid
	}
	r = parseFields(b)
	body = b[requestHeaderSize : len(b)-checksumSize]
	magic := string(b[:4])
	r.First = magic == FirstPrefix
	if len(body) != r.BodySize || !r.First && magic != nextMagic {
		return r, nil, ErrInvalid
	}
	return r, body, nil
}

// ParseAnswer decodes an answer, whose body aliases b: b must not change before the
// last call of Completes. ParseAnswer returns ErrInvalid if b is not a well-formed
// answer; Completes checks the answer against its request.
func ParseAnswer(b []byte) (a Answer, err error) {
	if len(b) < answerHeaderSize+checksumSize || string(b[:4]) != answerMagic || b[4] != kindAnswer || !checksumValid(b) {
		return a, ErrInvalid
	}
	nameSize := int(b[6])
	if len(b) < answerHeaderSize+nameSize+checksumSize {
		return a, ErrInvalid
	}
	a.Request = parseFields(b)
	a.Request.First = b[5]&flagFirst != 0
	a.HostService = binary.BigEndian.Uint32(b[40:])
	a.Slots = binary.BigEndian.Uint32(b[44:])
	a.Run = binary.BigEndian.Uint64(b[48:])
	a.BusyMicros = binary.BigEndian.Uint32(b[56:])
	a.Host = string(b[answerHeaderSize : answerHeaderSize+nameSize])
	a.body = b[answerHeaderSize+nameSize : len(b)-checksumSize]
	return a, nil
}

// Completes reports whether a is the complete answer to r: it repeats every field of
// r and the whole body.
func (a *Answer) Completes(r *Request) bool {
	return a.Request == *r && bytes.Equal(a.body, AppendBody(nil, r.ID, r.BodySize))
}

func checksumValid(b []byte) bool {
	end := len(b) - checksumSize
	return binary.BigEndian.Uint32(b[end:]) == crc32.Checksum(b[:end], castagnoli)
}
