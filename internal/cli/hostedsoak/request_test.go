package hostedsoak

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"
)

// class is a kind of requests.
type class struct {
	name, service string
	safe          bool
	// priority is 0 for the highest.
	priority                 int
	work, objective, timeout time.Duration
	requestSize, answerSize  int
	// flowRequests is how many requests a flow carries.
	flowRequests int
	// rate is the number of requests a second without overload.
	rate float64
}

// The services.
const (
	studio  = "studio"
	archive = "archive"
)

// classes hold the kinds of requests. Each has a route of its own, which stays. The hosts
// of a data centre take about 67 requests a second of studio, all of them three times that.
var classes = []*class{
	{name: "claim", service: studio, priority: 0, work: 60 * time.Millisecond, objective: 400 * time.Millisecond, timeout: 2 * time.Second, requestSize: 900, answerSize: 600, flowRequests: 8, rate: 20},
	{name: "edit", service: studio, priority: 1, work: 60 * time.Millisecond, objective: 400 * time.Millisecond, timeout: 2500 * time.Millisecond, requestSize: 900, answerSize: 600, flowRequests: 1, rate: 25},
	{name: "watch", service: studio, safe: true, priority: 2, work: 60 * time.Millisecond, objective: 400 * time.Millisecond, timeout: 2 * time.Second, requestSize: 100, answerSize: 2000, flowRequests: 12, rate: 35},
	{name: "upload", service: archive, priority: 2, work: 10 * time.Millisecond, objective: 800 * time.Millisecond, timeout: 4 * time.Second, requestSize: 12_000, answerSize: 300, flowRequests: 1, rate: 6},
}

// route returns the address of the route of a class.
func (k *class) route() netip.AddrPort {
	for i, other := range classes {
		if other == k {
			return routeAddress(0, byte(i+1))
		}
	}
	panic("unknown class")
}

func routeAddress(third, last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, third, last}), 443)
}

// request is one attempt of an operation.
type request struct {
	operation, attempt string
	class              *class
	deadline           time.Time
}

// filler returns bytes that only a message with this name carries.
func filler(name string, size int) (data []byte) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return bytes.Repeat(fmt.Appendf(nil, "%016x", h.Sum64()), size/16+1)[:size]
}

func (r request) encode() []byte {
	for i, k := range classes {
		if k == r.class {
			return append(fmt.Appendf(nil, "REQUEST %s %s %d %d\n", r.operation, r.attempt, i, r.deadline.UnixNano()), filler(r.attempt, k.requestSize)...)
		}
	}
	panic("unknown class")
}

// parseRequest takes a complete request off received, if there is one.
func parseRequest(received *[]byte) (r request, ok bool, err error) {
	header, rest, found := bytes.Cut(*received, []byte("\n"))
	if !found {
		return r, false, nil
	}
	var number int
	var deadline int64
	if _, err = fmt.Sscanf(string(header), "REQUEST %s %s %d %d", &r.operation, &r.attempt, &number, &deadline); err != nil {
		return r, false, err
	}
	r.class, r.deadline = classes[number], time.Unix(0, deadline)
	if len(rest) < r.class.requestSize {
		return r, false, nil
	}
	if !bytes.Equal(rest[:r.class.requestSize], filler(r.attempt, r.class.requestSize)) {
		return r, false, fmt.Errorf("body of attempt %s differs", r.attempt)
	}
	*received = rest[r.class.requestSize:]
	return r, true, nil
}

// answer returns the answer to a request that was executed or rejected.
func (r request) answer(executed bool) []byte {
	size := r.class.answerSize
	if !executed {
		size = 0
	}
	return append(fmt.Appendf(nil, "ANSWER %s %v %d\n", r.attempt, executed, size), filler("answer "+r.attempt, size)...)
}

// parseAnswer takes a complete answer off received, if there is one.
func parseAnswer(received *[]byte) (attempt string, executed, ok bool, err error) {
	header, rest, found := bytes.Cut(*received, []byte("\n"))
	if !found {
		return "", false, false, nil
	}
	var size int
	if _, err = fmt.Sscanf(string(header), "ANSWER %s %t %d", &attempt, &executed, &size); err != nil || len(rest) < size {
		return attempt, executed, false, err
	}
	if !bytes.Equal(rest[:size], filler("answer "+attempt, size)) {
		return attempt, executed, false, fmt.Errorf("body of the answer to %s differs", attempt)
	}
	*received = rest[size:]
	return attempt, executed, true, nil
}
