package generator

import (
	"time"

	"agateramp/internal/packet/geneve"
)

const (
	// finAttempts is how often a FIN is sent, and finWait how long the FIN of the peer
	// is awaited each time.
	finAttempts = 3
	// window is how far the sequence number of a segment may be from the expected one.
	window  = 1 << 16
	finWait = 200 * time.Millisecond
)

// tcpStream is the caller's end of a TCP connection. It has at most one request
// outstanding, and each request is one segment.
type tcpStream struct {
	*packetStream
	// next is the next sequence number to send, and received the next one expected.
	next, received uint32
	connected      bool
	// requestStart is the TCP sequence number of the current request's first byte, and
	// requestSequence the position of the request in the flow. Both are valid if hasSent.
	requestStart    uint32
	requestSequence uint32
	hasSent         bool
	reset           bool
}

var _ Stream = (*tcpStream)(nil)

func (s *tcpStream) sendSegment(segment geneve.Segment, data []byte) error {
	return s.send(geneve.AppendTCP(nil, s.caller, s.transport.cfg.Service, segment, data))
}

// Connect implements Stream.
func (s *tcpStream) Connect(deadline time.Time) error {
	if err := s.sendSegment(geneve.Segment{Sequence: s.next, SYN: true}, nil); err != nil {
		return err
	}
	for {
		_, answer, err := s.receiveSegment(deadline)
		if err != nil {
			return err
		}
		if answer.SYN && answer.ACK && answer.Acknowledgement == s.next+1 {
			s.next++
			s.received = answer.NextSequence(0)
			s.connected = true
			return s.sendSegment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true}, nil)
		}
	}
}

// Send implements Stream.
func (s *tcpStream) Send(sequence uint32, data []byte) error {
	if !s.hasSent || sequence != s.requestSequence {
		s.requestStart, s.requestSequence, s.hasSent = s.next, sequence, true
		s.next += uint32(len(data))
	}
	return s.sendSegment(geneve.Segment{Sequence: s.requestStart, Acknowledgement: s.received, ACK: true, PSH: true}, data)
}

// Receive implements Stream. It returns duplicates of segments like new ones: whether an
// answer is a copy can be seen from its payload.
func (s *tcpStream) Receive(deadline time.Time) ([]byte, error) {
	for {
		data, segment, err := s.receiveSegment(deadline)
		if err != nil {
			return nil, err
		}
		// A sequence number far from the expected one belongs to an earlier connection.
		if segment.SYN || len(data) == 0 || int32(segment.Sequence-s.received) > window || int32(s.received-segment.Sequence) > window {
			continue
		}
		if next := segment.NextSequence(len(data)); int32(next-s.received) > 0 {
			s.received = next
		}
		return data, s.sendSegment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true}, nil)
	}
}

// receiveSegment returns the next segment and its payload, or ErrReset after a reset whose
// numbers match those of the connection. Other resets are ignored (RFC 9293 section 3.10.7).
func (s *tcpStream) receiveSegment(deadline time.Time) (data []byte, segment geneve.Segment, err error) {
	for {
		packet, err := s.receive(deadline)
		if err != nil {
			return nil, segment, err
		}
		segment, _ = s.decoder.Segment(&packet)
		if !segment.RST {
			return packet.Payload, segment, nil
		}
		matches := segment.Sequence == s.received
		if !s.connected {
			matches = segment.ACK && segment.Acknowledgement == s.next+1
		}
		if matches {
			s.reset = true
			return nil, segment, ErrReset
		}
	}
}

// Close implements Stream. It ends the connection with a FIN, which it sends again if the
// FIN of the peer does not arrive.
func (s *tcpStream) Close() {
	defer s.packetStream.Close()
	for range finAttempts {
		if !s.connected || s.reset {
			return
		}
		if s.sendSegment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true, FIN: true}, nil) != nil {
			return
		}
		if s.awaitFIN(time.Now().Add(finWait)) {
			return
		}
	}
}

// awaitFIN reports whether the connection ended, by a FIN or a reset, before deadline.
func (s *tcpStream) awaitFIN(deadline time.Time) bool {
	for {
		_, segment, err := s.receiveSegment(deadline)
		if err != nil {
			return s.reset
		}
		if segment.FIN {
			return true
		}
	}
}
