package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzDecode guards against bytes from a peer that crash the decoder, make it allocate more than a
// frame, or decode to a frame that does not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	raw, err := encode(ack(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:5])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		encoded, err := encode(frame)
		if err != nil {
			t.Fatalf("encode decoded frame: %v", err)
		}
		decoded, err := decode(bytes.NewReader(encoded))
		if err != nil || !proto.Equal(decoded, frame) {
			t.Fatalf("frame %v was %v after encoding and decoding: %v", frame, decoded, err)
		}
	})
}
