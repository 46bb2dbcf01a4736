package etcdserver

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
)

// lease serves leases.
type lease struct{ faults *Faults }

var _ etcdpb.LeaseHandler = (*lease)(nil)

func (s *lease) LeaseGrant(ctx context.Context, request *connect.Request[etcdpb.LeaseGrantRequest]) (
	response *connect.Response[etcdpb.LeaseGrantResponse], err error,
) {
	if request.Msg.GetID() != 0 {
		return nil, unimplemented("leases with a chosen id")
	}
	ttl := request.Msg.GetTTL()
	id, err := s.faults.Store(clientName(request.Header())).Grant(ctx, ttl)
	if err != nil {
		return nil, statusError(err)
	}
	return connect.NewResponse(&etcdpb.LeaseGrantResponse{Header: header(s.faults.memory.Revision()), ID: int64(id), TTL: ttl}), nil
}

func (s *lease) LeaseRevoke(ctx context.Context, request *connect.Request[etcdpb.LeaseRevokeRequest]) (
	response *connect.Response[etcdpb.LeaseRevokeResponse], err error,
) {
	id := store.LeaseID(request.Msg.GetID())
	if err = s.faults.Store(clientName(request.Header())).Revoke(ctx, id); err != nil {
		return nil, statusError(err)
	}
	return connect.NewResponse(&etcdpb.LeaseRevokeResponse{Header: header(s.faults.memory.Revision())}), nil
}

func (s *lease) LeaseKeepAlive(ctx context.Context,
	stream *connect.BidiStream[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse],
) (err error) {
	backing := s.faults.Store(clientName(stream.RequestHeader()))
	for {
		request, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		id := store.LeaseID(request.GetID())
		response := &etcdpb.LeaseKeepAliveResponse{Header: header(s.faults.memory.Revision()), ID: request.GetID()}
		// The published service tells of a lost lease by a time to live of 0.
		if _, err = backing.KeepAlive(ctx, id); err == nil {
			response.TTL = s.faults.memory.TTL(id)
		} else if !errors.Is(err, store.ErrLeaseNotFound) {
			return statusError(err)
		}
		if err = stream.Send(response); err != nil {
			return err
		}
	}
}
