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

// maxPendingRecords bounds the audit records that wait for the store. Records beyond it, as in a long outage, are
// only logged.
const maxPendingRecords = 256

// auditQueue appends records to the audit trail in the background, because the store may be down when a host is
// drained or ejected.
type auditQueue struct {
	store  store.Store
	logger log.Logger
	// balancer is the name of the balancer that the records come from.
	balancer string
	pending  chan audit.Record
}

func newAuditQueue(s store.Store, logger log.Logger, balancer string) *auditQueue {
	return &auditQueue{store: s, logger: logger, balancer: balancer, pending: make(chan audit.Record, maxPendingRecords)}
}

// add queues a record after setting its time and origin, and its change id if it has none. It does not block: if
// the queue is full, the record is only logged.
func (q *auditQueue) add(r audit.Record) {
	r.Time, r.From = time.Now().UTC(), q.balancer
	if r.ChangeID == "" {
		r.ChangeID = rand.Text()
	}
	select {
	case q.pending <- r:
	default:
		q.warn("audit_record_lost", r, "err", "audit queue is full while records wait for the store")
	}
}

// run appends the queued records to the audit trail until ctx ends. A record that cannot be appended is only logged.
func (q *auditQueue) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-q.pending:
			if err := audit.Append(ctx, q.store, r, backoff.Policy{}); err != nil {
				q.warn("audit_record_lost", r, "err", err)
			}
		}
	}
}

func (q *auditQueue) warn(event string, r audit.Record, keyvals ...any) {
	line := append([]any{"event", event, "kind", r.Kind, "subject", r.Subject, "change_id", r.ChangeID}, keyvals...)
	// An error is ignored: there is no other place to report a log line that cannot be written.
	_ = level.Warn(q.logger).Log(line...)
}

// recordShardEffect logs which hosts the shards that this balancer holds have ejected from their tables or kept despite
// lost agents, and which table versions cannot be published yet. It also adds ejections to the audit trail.
func (b *Balancer) recordShardEffect(effect shard.Effect) {
	switch e := effect.(type) {
	case *shard.HostEjected:
		b.log("host_ejected", "service", e.ServiceID, "host", e.Host)
		b.auditQueue.add(audit.Record{
			Kind: audit.KindEject, Who: "shard holder", Subject: e.Host,
			Reason: fmt.Sprintf("no balancer has a stream of the host's agent; service %d", e.ServiceID),
		})
	case *shard.HostsKept:
		b.log("hosts_kept", "service", e.ServiceID, "lost", e.Lost, "total", e.Total)
	case *shard.PublicationBlocked:
		b.log("publication_blocked", "service", e.ServiceID, "version", e.Version, "waiting", fmt.Sprint(e.WaitingFor))
	}
}
