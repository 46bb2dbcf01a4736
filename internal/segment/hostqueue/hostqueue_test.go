package hostqueue

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

const ms = time.Millisecond

func class(priority int, objective, timeout time.Duration) packet.RequestClass {
	return packet.RequestClass{Known: true, Priority: priority, LatencyObjective: objective, Timeout: timeout}
}

// Guards against callers of a higher priority who pay for an overload because each of their requests opens a flow, and
// against callers with many flows who push out the others. Each load is played without and with a Queue.
func TestLoads(t *testing.T) {
	orders := kind{class(1, 300*ms, 2500*ms), 39 * ms, 32, 0, 50}
	feed := kind{class(2, 250*ms, 2000*ms), 30 * ms, 111, 400, 50}
	largeOrders, smallFeed := orders, feed
	largeOrders.perSecond, smallFeed.perSecond = 62, 10
	visitors := kind{class(1, 300*ms, 2500*ms), 30 * ms, 30, 20, 20}
	greedy := kind{class(1, 300*ms, 2500*ms), 30 * ms, 1000, 20, 1}
	cases := []struct {
		name      string
		kinds     []kind
		sheds     bool    // without a Queue
		minShares float64 // of the first kind, in each window, with a Queue
	}{
		{"2.3 times what the host bears, the first kind a flow each", []kind{orders, feed}, true, 0.9},
		{"the first kind alone is more than the host bears", []kind{largeOrders, smallFeed}, false, 0},
		{"a caller with 20 flows beside callers with one", []kind{visitors, greedy}, true, 0.99},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			without := &play{is: is, kinds: c.kinds}
			without.run()
			is.Equal(without.rejected*100 >= without.delivered, c.sheds)
			q, err := New(Config{})
			is.NoErr(err)
			with := &play{is: is, kinds: c.kinds, queue: q}
			with.run()
			is.True(with.rejected*100 < with.delivered)
			first, second := with.shares(0), with.shares(1)
			is.True(first[windows-1] > without.shares(0)[windows-1])
			for w := range first {
				is.True(first[w] >= second[w]) // the higher priority, or the callers with one flow, are served no worse
				is.True(first[w] >= c.minShares)
			}
			is.True(second[windows-1] >= minimumShare) // no one is starved
		})
	}
}

func testKey(caller, route byte) flow.Key {
	return packet.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, caller}), 2000), netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, route}), 443))
}

func testSegment(sequence uint32, length int) *packet.Segment {
	return &packet.Segment{Sequence: sequence, PayloadLength: length, Data: binary.BigEndian.AppendUint32(make([]byte, 32+length), sequence)}
}

// Guards against a host that gets requests which nobody waits for, or less urgent ones, before others. The first of two
// requests is to go first, in whichever order they arrive.
func TestOrder(t *testing.T) {
	cases := []struct {
		name          string
		first, second packet.RequestClass
		secondAge     time.Duration
	}{
		{"in time before late", class(2, 250*ms, 2*time.Second), class(1, 250*ms, 2*time.Second), 300 * ms},
		{"higher priority", class(1, 900*ms, 2*time.Second), class(2, 100*ms, time.Second), 0},
		{"earlier objective", class(1, 100*ms, 2*time.Second), class(1, 200*ms, time.Second), 50 * ms},
		{"late: earlier deadline", class(1, 1*ms, time.Second), class(1, 1*ms, 2*time.Second), 10 * ms},
		{"late before a missed deadline", class(2, 1*ms, time.Second), class(1, 1*ms, 50*ms), 40 * ms},
		{"known class before unknown", class(9, 250*ms, 2*time.Second), packet.RequestClass{}, 0},
	}
	for _, c := range cases {
		for _, swap := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, swap), func(t *testing.T) {
				is := is.New(t)
				q, err := New(Config{})
				is.NoErr(err)
				requests := []Request{{testKey(1, 1), c.first, start}, {testKey(2, 2), c.second, start.Add(-c.secondAge)}}
				if swap {
					requests[0], requests[1] = requests[1], requests[0]
				}
				for _, r := range requests {
					q.Add(start, Host{Latency: 20 * ms}, r, testSegment(1, 10))
				}
				released, _ := q.Next(start, Host{Limit: 1, Latency: 20 * ms})
				is.Equal(released.Flow, testKey(1, 1))
			})
		}
	}
}

// Guards against memory beyond the bound, packets that are lost or delivered twice, and packets of a request in a wrong
// order, while callers send uploads of many packets.
func TestBounds(t *testing.T) {
	is := is.New(t)
	q, err := New(Config{MaxBytes: 30_000, MaxRequests: 5})
	is.NoErr(err)
	passed := 0
	for i := range 160 {
		r := Request{testKey(byte(i%8), 1), class(1, time.Second, 6*time.Second), start}
		s := testSegment(uint32(20-i/8)*1200, 1200)
		outcome, earlier := q.Add(start, Host{}, r, s)
		is.True(q.Bytes() <= 30_000 && q.Len() <= 5)
		if outcome == OutcomePass {
			passed += 1 + len(earlier)
			continue
		}
		outcome, _ = q.Add(start, Host{}, r, s)
		is.Equal(outcome, OutcomeDuplicate)
	}
	is.True(q.Len() > 0)
	for r, ok := q.Next(start, Host{Limit: 1}); ok; r, ok = q.Next(start, Host{Limit: 1}) {
		passed += len(r.Packets)
		is.True(slices.IsSortedFunc(r.Packets, bytes.Compare))
	}
	is.Equal(passed, 160)
	is.Equal(q.Bytes(), 0)
}

// Guards against requests that a host gets after their callers have gone, and against living callers whose packets are
// dropped because an earlier request from the same port was given up or because its deadline has passed.
func TestGivenUp(t *testing.T) {
	cases := []struct {
		name   string
		before func(q *Queue, now time.Time)
		want   Outcome
	}{
		{"held", func(*Queue, time.Time) {}, OutcomeDuplicate},
		{"closed", func(q *Queue, now time.Time) { q.GiveUp(now, testKey(1, 1)) }, OutcomeGivenUp},
		{"expired", func(q *Queue, now time.Time) { q.Expire(now) }, OutcomeHeld},
		{"expired, then closed", func(q *Queue, now time.Time) { q.Expire(now); q.GiveUp(now, testKey(1, 1)) }, OutcomeGivenUp},
		{"closed, then another flow", func(q *Queue, now time.Time) { q.GiveUp(now, testKey(1, 1)); q.Remove(testKey(1, 1)) }, OutcomeHeld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, err := New(Config{})
			is.NoErr(err)
			r := Request{testKey(1, 1), class(1, 250*ms, time.Second), start}
			q.Add(start, Host{}, r, testSegment(1, 10))
			now := start.Add(1100 * ms)
			c.before(q, now)
			r.SentAt = now
			outcome, _ := q.Add(now, Host{}, r, testSegment(1, 10))
			is.Equal(outcome, c.want)
		})
	}
}
