package etcdserver

import (
	"context"

	"connectrpc.com/connect"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
)

// kv serves reads and transactions.
type kv struct{ faults *Faults }

var _ etcdpb.KVHandler = (*kv)(nil)

func (s *kv) Range(ctx context.Context, request *connect.Request[etcdpb.RangeRequest]) (
	response *connect.Response[etcdpb.RangeResponse], err error,
) {
	m := request.Msg
	if m.GetRevision() != 0 || m.GetLimit() != 0 || m.GetKeysOnly() || m.GetCountOnly() {
		return nil, unimplemented("ranges at a revision, with a limit, or of keys or counts only")
	}
	r := keyRange{m.GetKey(), m.GetRangeEnd()}
	entries, revision, err := s.faults.Store(clientName(request.Header())).List(ctx, r.prefix())
	if err != nil {
		return nil, statusError(err)
	}
	out := &etcdpb.RangeResponse{Header: header(revision)}
	for i := range entries {
		if r.contains(entries[i].Key) {
			out.Kvs = append(out.Kvs, keyValue(&entries[i]))
		}
	}
	out.Count = int64(len(out.GetKvs()))
	return connect.NewResponse(out), nil
}

func (s *kv) Txn(ctx context.Context, request *connect.Request[etcdpb.TxnRequest]) (
	response *connect.Response[etcdpb.TxnResponse], err error,
) {
	compares, writes, err := decodeTxn(request.Msg)
	if err != nil {
		return nil, err
	}
	result, err := s.faults.Store(clientName(request.Header())).Txn(ctx, compares, writes)
	if err != nil {
		return nil, statusError(err)
	}
	out := &etcdpb.TxnResponse{Header: header(result.Revision), Succeeded: result.Succeeded}
	for _, w := range writes {
		if !result.Succeeded {
			break
		}
		op := &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{
			ResponsePut: &etcdpb.PutResponse{Header: header(result.Revision)},
		}}
		if w.Delete {
			op.Response = &etcdpb.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &etcdpb.DeleteRangeResponse{Header: header(result.Revision)},
			}
		}
		out.Responses = append(out.Responses, op)
	}
	return connect.NewResponse(out), nil
}

func decodeTxn(m *etcdpb.TxnRequest) (compares []store.Compare, writes []store.Write, err error) {
	if len(m.GetFailure()) > 0 {
		return nil, nil, unimplemented("operations on failure of a transaction")
	}
	for _, c := range m.GetCompare() {
		compare := store.Compare{Key: string(c.GetKey()), Revision: c.GetModRevision()}
		switch {
		case c.GetResult() != etcdpb.Compare_EQUAL || len(c.GetRangeEnd()) > 0:
			return nil, nil, unimplemented("comparisons but for equality of one key")
		case c.GetTarget() == etcdpb.Compare_CREATE:
			compare.ByCreateRevision, compare.Revision = true, c.GetCreateRevision()
		case c.GetTarget() != etcdpb.Compare_MOD:
			return nil, nil, unimplemented("comparisons but for create and mod revisions")
		}
		compares = append(compares, compare)
	}
	for _, op := range m.GetSuccess() {
		put, del := op.GetRequestPut(), op.GetRequestDeleteRange()
		switch {
		case put != nil && !put.GetPrevKv() && !put.GetIgnoreLease() && !put.GetIgnoreValue():
			writes = append(writes, store.Write{
				Key: string(put.GetKey()), Value: put.GetValue(), Lease: store.LeaseID(put.GetLease()),
			})
		case del != nil && !del.GetPrevKv() && len(del.GetRangeEnd()) == 0:
			writes = append(writes, store.Write{Key: string(del.GetKey()), Delete: true})
		default:
			return nil, nil, unimplemented("operations but for put and delete of one key")
		}
	}
	return compares, writes, nil
}
