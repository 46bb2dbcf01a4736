package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

// Guards against results that change for hosts whose agents report nothing new: they are those of package dispatch.
func TestWithoutLearnedCapacity(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		median := time.Duration(random.IntN(1e8) + 1)
		h := HostLoad{
			Report: packet.Load{
				Slots: random.IntN(8), OutstandingRequests: random.IntN(12), OpenFlows: random.IntN(50),
				Latency: time.Duration(random.IntN(3) * random.IntN(1e8)), Utilisation: random.Float64(),
			},
			Offers: random.IntN(3), Cold: random.IntN(2) == 0, FlowDemand: random.Float64(),
		}
		latency := h.Report.Latency
		if latency == 0 {
			latency = median
		}
		if h.Cold {
			latency *= 2
		}
		slots := float64(max(h.Report.Slots, 1))
		outstanding := float64(h.Report.OutstandingRequests + h.Offers)
		utilisation := min(h.Report.Utilisation, 0.95)
		cost := float64(latency) * (1 + max(outstanding+1-slots, 0)/slots + utilisation/(1-utilisation) + outstanding/slots/2)
		is.Equal(h.ExpectedTime(median), cost)
		is.Equal(h.Weight(median), min(max(float64(median)/float64(latency), 1.0/8), 8)*slots)
	}
}

// Guards against a host that is chosen although its callers wait longer: one that is slower, has requests at its agent, or
// holds open flows that will ask for more than it can do. Each case changes one of two equal hosts for the worse.
func TestExpectedTime(t *testing.T) {
	known := HostLoad{
		Report: packet.Load{
			Slots: 2, OutstandingRequests: 1, OpenFlows: 10, Latency: 30 * time.Millisecond, Utilisation: 0.5,
			Limit: 3, BaseLatency: 25 * time.Millisecond, Rate: 80,
		},
		FlowDemand: 2,
	}
	cases := []struct {
		name   string
		change func(h *HostLoad)
	}{
		{"slower", func(h *HostLoad) { h.Report.BaseLatency, h.Report.Rate = 75*time.Millisecond, 27 }},
		{"held requests", func(h *HostLoad) { h.Report.HeldRequests = 3 }},
		{"in progress", func(h *HostLoad) { h.Report.OutstandingRequests = 4 }},
		{"open flows", func(h *HostLoad) { h.Report.OpenFlows = 30 }},
		{"offers", func(h *HostLoad) { h.Offers = 3 }},
		{"cold", func(h *HostLoad) { h.Cold = true }},
		{"fewer at once", func(h *HostLoad) { h.Report.Rate = 40 }},
	}
	for _, c := range cases {
		worse := known
		c.change(&worse)
		t.Log(c.name, time.Duration(known.ExpectedTime(0)), time.Duration(worse.ExpectedTime(0)))
		is.New(t).True(worse.ExpectedTime(0) > known.ExpectedTime(0))
		is.New(t).True(worse.Weight(25*time.Millisecond) <= known.Weight(25*time.Millisecond))
	}
}

// Guards against shares of new flows that overload slow hosts and leave fast ones idle: four hosts of one service with
// speeds of 0.6 to 8 get requests by their weights. With equal shares the slowest would get more than it can do.
func TestWeightsFollowSpeed(t *testing.T) {
	is := is.New(t)
	speeds := []float64{0.6, 1, 1.6, 8}
	var hosts []*play
	for i, speed := range speeds {
		hosts = append(hosts, newPlay(uint64(i), 2, func(p *play) { p.tail, p.speed, p.rate = true, speed, 20 }))
	}
	total := 0.7 * 11.2 * 2 / 0.03 / 1.18
	weights := make([]float64, len(hosts))
	for range 20 {
		sum := 0.0
		for i, p := range hosts {
			p.run(time.Second)
			weights[i] = HostLoad{Report: packet.Load{Slots: 2, Limit: p.Limit(p.now), BaseLatency: p.BaseLatency(), Rate: p.Rate()}}.Weight(30 * time.Millisecond)
			sum += weights[i]
		}
		for i, p := range hosts {
			p.rate = total * weights[i] / sum
		}
	}
	for i, p := range hosts {
		p.run(10 * time.Second)
		utilisation := p.rate / (speeds[i] * 2 / 0.03 / 1.18)
		t.Logf("speed %.1f: utilisation %.2f, wait %.0f ms", speeds[i], utilisation, 1e3*p.mean())
		is.True(utilisation < 0.95)
	}
}

// Guards against a demand of flows that counts hosts without measurements.
func TestFlowDemand(t *testing.T) {
	is := is.New(t)
	var d FlowDemand
	is.Equal(d.PerFlow(), 0.0)
	d.Add(packet.Load{Slots: 2, OpenFlows: 10, Latency: 20 * time.Millisecond, Utilisation: 0.5})
	d.Add(packet.Load{Slots: 2, OpenFlows: 30, Utilisation: 0.5})
	is.Equal(d.PerFlow(), 5.0)
}
