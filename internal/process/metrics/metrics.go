// Package metrics keeps the counters, gauges and latency histograms of a process and
// serves them over HTTP as JSON.
package metrics

import (
	"net/http"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"agateramp/internal/core/flow"
)

// Registry holds the metrics of one process. Its methods are safe for concurrent use.
type Registry struct {
	registry gometrics.Registry

	mu sync.RWMutex
	// packetCounters caches the counters of CountPacket.
	packetCounters map[packetCounterKey]gometrics.Counter
}

type packetCounterKey struct {
	outcome Outcome
	reason  flow.Reason
}

// Outcome is what was done with a packet that was not delivered.
type Outcome string

// The outcomes that are counted by reason, in metrics such as "packets.dropped.malformed".
const (
	OutcomeDropped Outcome = "dropped"
	OutcomeRefused Outcome = "refused"
	OutcomeReset   Outcome = "reset"
)

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: gometrics.NewRegistry(), packetCounters: make(map[packetCounterKey]gometrics.Counter)}
}

// Registry returns the go-metrics registry, for packages that register metrics directly.
func (r *Registry) Registry() gometrics.Registry { return r.registry }

// Counter returns the counter of a name and registers it at its first use.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.registry)
}

// Gauge returns the gauge of a name and registers it at its first use.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.registry)
}

// These parameters make the sample of a latency histogram represent about the last five
// minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Latency adds a duration, in microseconds, to the histogram of a name.
func (r *Registry) Latency(name string, took time.Duration) {
	histogram := r.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	histogram.(gometrics.Histogram).Update(took.Microseconds())
}

// CountPacket counts a packet that was dropped, refused or reset for a reason. It is
// called on the packet path.
func (r *Registry) CountPacket(outcome Outcome, reason flow.Reason) {
	key := packetCounterKey{outcome: outcome, reason: reason}
	r.mu.RLock()
	counter := r.packetCounters[key]
	r.mu.RUnlock()
	if counter == nil {
		counter = r.Counter("packets." + string(outcome) + "." + string(reason))
		r.mu.Lock()
		r.packetCounters[key] = counter
		r.mu.Unlock()
	}
	counter.Inc(1)
}

// ServeHTTP writes every metric as one JSON object.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(r.registry, w)
}

var _ http.Handler = (*Registry)(nil)
