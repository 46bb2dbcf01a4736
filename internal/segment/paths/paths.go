// Package paths keeps which data centres a balancer reaches, and which other balancers
// reach those that it does not. Two data centres may be unable to reach each other while
// a third reaches both; a balancer there then relays packets.
//
// A data centre counts as cut off if its agents answer no requests while those of
// another data centre do. The choice among the relays and the packets that are relayed
// are left to package dispatch.
//
// A Set does no I/O and reads no clock.
package paths

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// answerTimeout is how long after a request to a data centre the answer of another
	// one shows that the first is cut off. It is several round trips between distant
	// data centres.
	answerTimeout = 150 * time.Millisecond
	// minUnanswered is how many requests have to be unanswered for a data centre to
	// count as cut off. Single datagrams are lost now and then.
	minUnanswered = 3
	// returnMessages is how many messages have to arrive from a data centre that is cut
	// off before it counts as reached. In a cut of one direction agents may still send
	// reports that are not answers.
	returnMessages = 3
	// reachedAge is how old the last message of a data centre may be for it to be
	// reported to other balancers as reached.
	reachedAge = time.Second
	// maxDigestAge is how old the last digest of a relay may be. It covers the digest
	// intervals of 75 balancers and the loss of no digest.
	maxDigestAge = 2500 * time.Millisecond
	// maxReported bounds the data centres that a balancer reports as reached.
	maxReported = 16
)

// Config configures a Set.
type Config struct {
	// DataCentre is the data centre of the balancer. Must be set.
	DataCentre string
}

// dataCentre is what is known of a data centre with agents.
type dataCentre struct {
	// heardAt is when the last message from there arrived; zero means that none has and
	// that only other balancers have reported the data centre.
	heardAt time.Time
	// unanswered counts the requests since the last message, and askedAt is when the
	// first of them was sent.
	unanswered int
	askedAt    time.Time
	// cutOff is set while the balancer does not reach the data centre, and messages
	// counts the messages from there since then.
	cutOff   bool
	messages int
}

// digest is the last report of another balancer.
type digest struct {
	dataCentre  string
	reached     []string
	cpuPermille int
	receivedAt  time.Time
}

// Set holds the data centres and the other balancers that one balancer knows. It is not
// safe for concurrent use. A nil Set knows no data centre, so that none is cut off.
type Set struct {
	own         string
	dataCentres map[string]*dataCentre
	digests     map[netip.Addr]digest
}

// New returns a set without data centres.
func New(c Config) (s *Set, err error) {
	if c.DataCentre == "" {
		return nil, errors.New("paths: DataCentre must be set")
	}
	return &Set{own: c.DataCentre, dataCentres: make(map[string]*dataCentre), digests: make(map[netip.Addr]digest)}, nil
}

// RecordRequest records that an agent in a data centre was asked for its status. The name
// is empty if the agent has never answered; it may then be in any data centre that has
// never answered.
func (s *Set) RecordRequest(now time.Time, name string) {
	if s == nil {
		return
	}
	if d := s.dataCentres[name]; d != nil {
		d.recordRequest(now)
	}
	if name != "" {
		return
	}
	for _, d := range s.dataCentres {
		if d.heardAt.IsZero() {
			d.recordRequest(now)
		}
	}
}

func (d *dataCentre) recordRequest(now time.Time) {
	if d.unanswered == 0 {
		d.askedAt = now
	}
	d.unanswered++
}

// RecordMessage records a message of an agent in a data centre. It shows which of the
// other data centres are cut off.
func (s *Set) RecordMessage(now time.Time, name string) {
	if s == nil || name == "" {
		return
	}
	d := s.dataCentres[name]
	if d == nil {
		d = &dataCentre{}
		s.dataCentres[name] = d
	}
	d.heardAt, d.unanswered = now, 0
	if d.cutOff {
		d.messages++
		d.cutOff = d.messages < returnMessages
	}
	for otherName, other := range s.dataCentres {
		if otherName != name && !other.cutOff && other.unanswered >= minUnanswered && now.Sub(other.askedAt) >= answerTimeout {
			other.cutOff, other.messages = true, 0
		}
	}
}

// IsCutOff reports whether a data centre is known and the balancer does not reach it.
func (s *Set) IsCutOff(name string) bool {
	if s == nil {
		return false
	}
	d := s.dataCentres[name]
	return d != nil && d.cutOff
}

// CutOff returns the names of the data centres that are cut off, in alphabetical order.
func (s *Set) CutOff() (names []string) {
	if s == nil {
		return nil
	}
	for name, d := range s.dataCentres {
		if d.cutOff {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Reached returns the names of the data centres whose agents answer, in alphabetical
// order and at most maxReported of them.
func (s *Set) Reached(now time.Time) (names []string) {
	if s == nil {
		return nil
	}
	for name, d := range s.dataCentres {
		if !d.cutOff && now.Sub(d.heardAt) <= reachedAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxReported)]
}

// HandleDigest records the data centre of another balancer, the data centres that it
// reaches, and the share of a processor core that it may use, in thousandths.
func (s *Set) HandleDigest(now time.Time, from netip.Addr, ownDataCentre string, reached []string, cpuPermille int) {
	if s == nil {
		return
	}
	s.digests[from] = digest{dataCentre: ownDataCentre, reached: reached, cpuPermille: cpuPermille, receivedAt: now}
	for _, name := range reached[:min(len(reached), maxReported)] {
		if name != "" && s.dataCentres[name] == nil {
			s.dataCentres[name] = &dataCentre{}
		}
	}
}

// Expire removes the balancers whose last digest is too old.
func (s *Set) Expire(now time.Time) {
	if s != nil {
		maps.DeleteFunc(s.digests, func(_ netip.Addr, d digest) bool { return now.Sub(d.receivedAt) > maxDigestAge })
	}
}

// Relay is a balancer that reaches a data centre that is cut off from this one.
type Relay struct {
	Address netip.Addr
	// CPUPermille is the share of a processor core that the balancer may use, in
	// thousandths, and at least 1.
	CPUPermille int
}

// Relays returns the balancers that reach a data centre, in no particular order. They are
// in other data centres than that one and the own one: balancers in the own data centre
// share its cut, and what they reported last may be from before it.
func (s *Set) Relays(name string) (relays []Relay) {
	if s == nil {
		return nil
	}
	for address, d := range s.digests {
		if d.dataCentre != "" && d.dataCentre != s.own && d.dataCentre != name && slices.Contains(d.reached, name) {
			relays = append(relays, Relay{Address: address, CPUPermille: max(d.cpuPermille, 1)})
		}
	}
	return relays
}
