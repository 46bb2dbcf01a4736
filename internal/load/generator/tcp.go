package generator

import (
	"time"

	"agateramp/internal/packet/geneve"
)

const (
	closeAttempts = 3
	window        = 1 << 16
	closeWait     = 200 * time.Millisecond
)

// tcpStream is a caller's TCP connection with one request under way at a time,
// each in one segment.
type tcpStream struct {
	*packetStream
	// next is the next sequence number to send and received the next expected.
	next, received uint32
	connected      bool
	// last and lastSequence are where the present request started.
	last         uint32
	lastSequence uint32
	sent         bool
	reset        bool
}

var _ Stream = (*tcpStream)(nil)

func (s *tcpStream) segment(segment geneve.Segment, data []byte) error {
	return s.send(geneve.AppendTCP(nil, s.caller, s.transport.cfg.Service, segment, data))
}

// Connect implements Stream.
func (s *tcpStream) Connect(deadline time.Time) error {
	if err := s.segment(geneve.Segment{Sequence: s.next, SYN: true}, nil); err != nil {
		return err
	}
	for {
		_, answer, err := s.read(deadline)
		if err != nil {
			return err
		}
		if answer.SYN && answer.ACK && answer.Acknowledgement == s.next+1 {
			s.next++
			s.received = answer.NextSequence(0)
			s.connected = true
			return s.segment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true}, nil)
		}
	}
}

// Send implements Stream.
func (s *tcpStream) Send(sequence uint32, data []byte) error {
	if !s.sent || sequence != s.lastSequence {
		s.last, s.lastSequence, s.sent = s.next, sequence, true
		s.next += uint32(len(data))
	}
	return s.segment(geneve.Segment{Sequence: s.last, Acknowledgement: s.received, ACK: true, PSH: true}, data)
}

// Receive implements Stream. Copies of segments are returned like new ones: the
// caller of this type looks at what they carry.
func (s *tcpStream) Receive(deadline time.Time) ([]byte, error) {
	for {
		data, segment, err := s.read(deadline)
		if err != nil {
			return nil, err
		}
		// A number far from the expected one is that of an earlier connection.
		if segment.SYN || len(data) == 0 || int32(segment.Sequence-s.received) > window || int32(s.received-segment.Sequence) > window {
			continue
		}
		if next := segment.NextSequence(len(data)); int32(next-s.received) > 0 {
			s.received = next
		}
		return data, s.segment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true}, nil)
	}
}

// read returns the next segment. A reset counts if its number is that of the
// connection (RFC 9293 section 3.10.7).
func (s *tcpStream) read(deadline time.Time) (data []byte, segment geneve.Segment, err error) {
	for {
		packet, err := s.receive(deadline)
		if err != nil {
			return nil, segment, err
		}
		segment, _ = s.decoder.Segment(&packet)
		if !segment.RST {
			return packet.Payload, segment, nil
		}
		valid := segment.Sequence == s.received
		if !s.connected {
			valid = segment.ACK && segment.Acknowledgement == s.next+1
		}
		if valid {
			s.reset = true
			return nil, segment, ErrReset
		}
	}
}

// Close implements Stream. It ends the connection with a FIN.
func (s *tcpStream) Close() {
	defer s.packetStream.Close()
	for range closeAttempts {
		if !s.connected || s.reset {
			return
		}
		if s.segment(geneve.Segment{Sequence: s.next, Acknowledgement: s.received, ACK: true, FIN: true}, nil) != nil {
			return
		}
		if s.awaitFIN(time.Now().Add(closeWait)) {
			return
		}
	}
}

func (s *tcpStream) awaitFIN(deadline time.Time) bool {
	for {
		_, segment, err := s.read(deadline)
		if err != nil {
			return s.reset
		}
		if segment.FIN {
			return true
		}
	}
}
