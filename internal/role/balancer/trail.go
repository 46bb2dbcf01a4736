package balancer

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/audit"
)

// maxPendingRecords bounds the audit records that wait for the store. During a
// long outage later ones are only logged.
const maxPendingRecords = 256

// trail appends audit records in the background, because the store may be down
// when a host is drained or ejected.
type trail struct {
	store   store.Store
	logger  log.Logger
	name    string
	pending chan audit.Record
}

func newTrail(s store.Store, logger log.Logger, name string) *trail {
	return &trail{store: s, logger: logger, name: name, pending: make(chan audit.Record, maxPendingRecords)}
}

// add queues a record and never blocks.
func (t *trail) add(r audit.Record) {
	r.Time, r.From = time.Now().UTC(), t.name
	if r.ChangeID == "" {
		r.ChangeID = rand.Text()
	}
	select {
	case t.pending <- r:
	default:
		t.warn("audit_record_lost", r, "err", "too many records wait for the store")
	}
}

// run appends queued records until ctx ends.
func (t *trail) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-t.pending:
			if err := audit.Append(ctx, t.store, r, backoff.Policy{}); err != nil {
				t.warn("audit_record_lost", r, "err", err)
			}
		}
	}
}

func (t *trail) warn(event string, r audit.Record, keyvals ...any) {
	line := append([]any{"event", event, "kind", r.Kind, "subject", r.Subject, "change_id", r.ChangeID}, keyvals...)
	// A log line that cannot be written has no other place to go.
	_ = level.Warn(t.logger).Log(line...)
}

// observe records what a shard holder did by itself.
func (b *Balancer) observe(effect shard.Effect) {
	switch e := effect.(type) {
	case *shard.HostEjected:
		b.log("host_ejected", "service", e.ServiceID, "host", e.Host)
		b.trail.add(audit.Record{
			Kind: audit.KindEject, Who: "shard holder", Subject: e.Host,
			Reason: fmt.Sprintf("no balancer has a stream of the host's agent; service %d", e.ServiceID),
		})
	case *shard.HostsKept:
		b.log("hosts_kept", "service", e.ServiceID, "lost", e.Lost, "total", e.Total)
	case *shard.PublicationBlocked:
		b.log("publication_blocked", "service", e.ServiceID, "version", e.Version, "waiting", fmt.Sprint(e.WaitingFor))
	}
}
