// Package payload is the format of the load tool's requests and answers. All
// numbers are big endian.
//
//	request                        answer
//	 0  magic AGLF or AGLN          0  magic AGLA
//	 4  kind 1                      4  kind 2
//	 5  flags: 1 idempotent         5  flags of the request, 2 first
//	 6  0                           6  length of the host's name
//	 7  0                           7  0
//	 8  service        (4 bytes)    8-39 as in the request
//	12  sequence       (4)         40  service of the host (4)
//	16  flow id        (8)         44  slots of the host   (4)
//	24  request id     (8)         48  run                 (8)
//	32  work, µs       (4)         56  busy time, µs       (4)
//	36  length of body (4)         60  name of the host
//	40  body                           body
//	    CRC-32C of all before (4)      CRC-32C of all before (4)
//
// The magic AGLF marks the first packet of a flow, so that it can be the
// first-packet prefix of a service; AGLN marks the packets after it. The body of a
// request follows from its id, and the answer returns it.
package payload

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// FirstPrefix is the prefix of the first packet of each flow.
const FirstPrefix = "AGLF"

// MaxBody is the longest body of a request.
const MaxBody = 8 << 10

const (
	nextMagic   = "AGLN"
	answerMagic = "AGLA"

	kindRequest = 1
	kindAnswer  = 2

	flagIdempotent = 1
	flagFirst      = 2

	requestHead = 40
	answerHead  = 60
	sumSize     = 4
)

// ErrInvalid says that bytes are not a complete request or answer.
var ErrInvalid = errors.New("invalid load payload")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Request is what a caller asks for.
type Request struct {
	First      bool
	Idempotent bool
	Service    uint32
	Sequence   uint32
	Flow       uint64
	ID         uint64
	// WorkMicros is how long a host of speed 1 works on the request.
	WorkMicros uint32
	BodySize   int
}

// Answer is what a backend server answers.
type Answer struct {
	Request Request
	// Host is the name of the backend server and HostService its service.
	Host        string
	HostService uint32
	Slots       uint32
	// Run numbers the runs of the host.
	Run uint64
	// BusyMicros is how long a slot was in use.
	BusyMicros uint32

	body []byte
}

// AppendBody appends the body of the request with an id.
func AppendBody(dst []byte, id uint64, size int) []byte {
	state := id
	for size > 0 {
		// The step and the multiplier are those of splitmix64.
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

// Append appends the encoded request.
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

// Append appends the encoded answer with the body of the request.
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

// ParseRequest reads a request and returns its body, which refers to b.
func ParseRequest(b []byte) (r Request, body []byte, err error) {
	if len(b) < requestHead+sumSize || b[4] != kindRequest || !sumHolds(b) {
		return r, nil, ErrInvalid
	}
	r = parseFields(b)
	body = b[requestHead : len(b)-sumSize]
	magic := string(b[:4])
	r.First = magic == FirstPrefix
	if len(body) != r.BodySize || !r.First && magic != nextMagic {
		return r, nil, ErrInvalid
	}
	return r, body, nil
}

// ParseAnswer reads an answer, which refers to b.
func ParseAnswer(b []byte) (a Answer, err error) {
	if len(b) < answerHead+sumSize || string(b[:4]) != answerMagic || b[4] != kindAnswer || !sumHolds(b) {
		return a, ErrInvalid
	}
	name := int(b[6])
	if len(b) < answerHead+name+sumSize {
		return a, ErrInvalid
	}
	a.Request = parseFields(b)
	a.Request.First = b[5]&flagFirst != 0
	a.HostService = binary.BigEndian.Uint32(b[40:])
	a.Slots = binary.BigEndian.Uint32(b[44:])
	a.Run = binary.BigEndian.Uint64(b[48:])
	a.BusyMicros = binary.BigEndian.Uint32(b[56:])
	a.Host = string(b[answerHead : answerHead+name])
	a.body = b[answerHead+name : len(b)-sumSize]
	return a, nil
}

// Completes reports whether a is the complete answer to r.
func (a *Answer) Completes(r *Request) bool {
	return a.Request == *r && bytes.Equal(a.body, AppendBody(nil, r.ID, r.BodySize))
}

func sumHolds(b []byte) bool {
	end := len(b) - sumSize
	return binary.BigEndian.Uint32(b[end:]) == crc32.Checksum(b[:end], castagnoli)
}
