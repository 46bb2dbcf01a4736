package payload_test

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/load/payload"
)

var request = payload.Request{
	First: true, Idempotent: true, Service: 3, Sequence: 0, Flow: 1 << 40, ID: 1<<40 + 1, WorkMicros: 500, BodySize: 100,
}

// Guards against accepting an answer as complete although it is truncated, belongs
// to another request or has a shorter body.
func TestAnswerCompletesOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	encoded := request.Append(nil)
	is.Equal(string(encoded[:4]), payload.FirstPrefix)
	parsed, body, err := payload.ParseRequest(encoded)
	is.NoErr(err)
	is.Equal(parsed, request)
	answer := payload.Answer{Request: parsed, Host: "a1", HostService: 3, Slots: 2, Run: 7, BusyMicros: 600}
	encoded = answer.Append(nil, body)
	got, err := payload.ParseAnswer(encoded)
	is.NoErr(err)
	is.True(got.Completes(&request))
	is.Equal([]any{got.Host, got.HostService, got.Slots, got.Run, got.BusyMicros}, []any{"a1", uint32(3), uint32(2), uint64(7), uint32(600)})
	other := request
	other.ID++
	is.True(!got.Completes(&other))
	short, err := payload.ParseAnswer(answer.Append(nil, body[:99]))
	is.NoErr(err)
	is.True(!short.Completes(&request))
	_, err = payload.ParseAnswer(encoded[:len(encoded)-1])
	is.Equal(err, payload.ErrInvalid)
}

// Guards against panics on arbitrary payloads. Each input is parsed as it is and with
// a valid checksum appended, so that it also reaches the code after the checksum test.
func FuzzParse(f *testing.F) {
	f.Add(request.Append(nil))
	answer := payload.Answer{Request: request, Host: "a1"}
	f.Add(answer.Append(nil, payload.AppendBody(nil, request.ID, request.BodySize)))
	f.Fuzz(func(t *testing.T, input []byte) {
		sum := crc32.Checksum(input, crc32.MakeTable(crc32.Castagnoli))
		for _, b := range [][]byte{input, binary.BigEndian.AppendUint32(slices.Clone(input), sum)} {
			if r, _, err := payload.ParseRequest(b); err == nil && r.BodySize > len(b) {
				t.Fatalf("body of %d bytes in a payload of %d bytes", r.BodySize, len(b))
			}
			if a, err := payload.ParseAnswer(b); err == nil && a.Request.BodySize <= payload.MaxBody {
				a.Completes(&a.Request)
			}
		}
	})
}
