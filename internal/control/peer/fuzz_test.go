package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzDecode guards against a peer that crashes the decoder, has it allocate more
// than a frame, or has it accept what does not encode again.
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
		again, err := encode(frame)
		if err != nil {
			t.Fatalf("a decoded frame does not encode: %v", err)
		}
		back, err := decode(bytes.NewReader(again))
		if err != nil || !proto.Equal(back, frame) {
			t.Fatalf("%v became %v: %v", frame, back, err)
		}
	})
}
