package etcd

import (
	"context"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
)

func entryFromKV(kv *etcdpb.KeyValue) store.Entry {
	return store.Entry{
		Key: string(kv.GetKey()), Value: kv.GetValue(), CreateRevision: kv.GetCreateRevision(),
		ModRevision: kv.GetModRevision(), Lease: store.LeaseID(kv.GetLease()),
	}
}

// prefixRange returns the range of keys that begin with prefix. In the etcd API, a key of
// one zero byte is the lowest key, and an end of one zero byte means that the range has no
// upper bound.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}

// txnRequest returns the transaction in the form of the etcd API.
func txnRequest(compares []store.Compare, writes []store.Write) *etcdpb.TxnRequest {
	request := &etcdpb.TxnRequest{}
	for _, c := range compares {
		compare := &etcdpb.Compare{
			Key: []byte(c.Key), Result: etcdpb.Compare_EQUAL, Target: etcdpb.Compare_MOD,
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: c.Revision},
		}
		if c.ByCreateRevision {
			compare.Target = etcdpb.Compare_CREATE
			compare.TargetUnion = &etcdpb.Compare_CreateRevision{CreateRevision: c.Revision}
		}
		request.Compare = append(request.Compare, compare)
	}
	for _, w := range writes {
		op := &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{RequestPut: &etcdpb.PutRequest{
			Key: []byte(w.Key), Value: w.Value, Lease: int64(w.Lease),
		}}}
		if w.Delete {
			op.Request = &etcdpb.RequestOp_RequestDeleteRange{
				RequestDeleteRange: &etcdpb.DeleteRangeRequest{Key: []byte(w.Key)},
			}
		}
		request.Success = append(request.Success, op)
	}
	return request
}

// mapError converts the error of a call to an error of package store or of the context.
func mapError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	code, text := connect.CodeOf(err), err.Error()
	switch code {
	case connect.CodeDeadlineExceeded:
		// The server may report that the deadline of the call has passed before ctx ends here.
		if _, ok := ctx.Deadline(); ok {
			return context.DeadlineExceeded
		}
		return errors.WithMessage(store.ErrUnavailable, text)
	case connect.CodeOutOfRange:
		return errors.WithMessage(store.ErrCompacted, text)
	case connect.CodeNotFound:
		return errors.WithMessage(store.ErrLeaseNotFound, text)
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		// Only the text shows that the request or a value was too large.
		if strings.Contains(text, "too large") || strings.Contains(text, "larger than") {
			return errors.WithMessage(store.ErrTooLarge, text)
		}
		if code == connect.CodeResourceExhausted {
			return errors.WithMessage(store.ErrUnavailable, text)
		}
		return errors.WithMessage(store.ErrRejected, text)
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented,
		connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
		return errors.WithMessage(store.ErrRejected, text)
	}
	return errors.WithMessage(store.ErrUnavailable, text)
}
