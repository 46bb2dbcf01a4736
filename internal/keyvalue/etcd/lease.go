package etcd

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
)

// Grant returns a new lease that expires ttlSeconds after its last renewal.
func (c *Client) Grant(ctx context.Context, ttlSeconds int64) (id store.LeaseID, err error) {
	defer func() { err = errors.WithMessage(err, "lease grant") }()
	if ttlSeconds <= 0 {
		return 0, errors.WithMessagef(store.ErrRejected, "lease time to live is %d s, want at least 1 s", ttlSeconds)
	}
	err = c.call(ctx, func(e *endpoint) error {
		response, err := e.lease.LeaseGrant(ctx, newRequest(c, &etcdpb.LeaseGrantRequest{TTL: ttlSeconds}))
		if err != nil {
			return err
		}
		id = store.LeaseID(response.Msg.GetID())
		return nil
	})
	return id, err
}

// KeepAlive renews a lease once, and returns the generation of the store. It returns
// store.ErrLeaseNotFound if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (generation uint64, err error) {
	defer func() { err = errors.WithMessagef(err, "lease %x keep-alive", int64(id)) }()
	var ttl int64
	err = c.call(ctx, func(e *endpoint) error {
		stream := e.lease.LeaseKeepAlive(ctx)
		stream.RequestHeader().Set("User-Agent", c.userAgent)
		err := stream.Send(&etcdpb.LeaseKeepAliveRequest{ID: int64(id)})
		// Send returns io.EOF if the call has already failed; Receive then returns the error.
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err = stream.CloseRequest(); err != nil {
			return err
		}
		response, err := stream.Receive()
		if err != nil {
			return err
		}
		ttl, generation = response.GetTTL(), c.revision(response.GetHeader()).Generation
		return nil
	})
	// The server reports a time to live of 0 for a lease that has ended.
	if err == nil && ttl <= 0 {
		return generation, store.ErrLeaseNotFound
	}
	return generation, err
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) (err error) {
	defer func() { err = errors.WithMessagef(err, "lease %x revoke", int64(id)) }()
	return c.call(ctx, func(e *endpoint) error {
		_, err := e.lease.LeaseRevoke(ctx, newRequest(c, &etcdpb.LeaseRevokeRequest{ID: int64(id)}))
		return err
	})
}
