package etcdserver

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// watch serves watches, several on one stream if a client asks for them.
type watch struct{ faults *Faults }

var _ etcdpb.WatchHandler = (*watch)(nil)

type watchStream struct {
	*connect.BidiStream[etcdpb.WatchRequest, etcdpb.WatchResponse]
	backing store.Store
	// current returns the revision of the store.
	current func() store.Revision
	tasks   *group.Group

	mu     sync.Mutex
	lastID int64
	cancel map[int64]context.CancelFunc
}

func (s *watch) Watch(ctx context.Context,
	stream *connect.BidiStream[etcdpb.WatchRequest, etcdpb.WatchResponse],
) (err error) {
	w := &watchStream{
		BidiStream: stream, backing: s.faults.Store(clientName(stream.RequestHeader())), current: s.faults.memory.Revision,
		tasks: group.New(ctx), cancel: map[int64]context.CancelFunc{},
	}
	requests := make(chan *etcdpb.WatchRequest)
	// The receiver is not waited for: it ends with ctx, once this method has returned.
	receiver := group.New(ctx)
	receiver.Go("receive", func(ctx context.Context) error {
		defer w.tasks.Stop()
		return w.receive(ctx, requests)
	})
	for {
		select {
		case request := <-requests:
			w.handle(request)
		case <-w.tasks.Context().Done():
			return statusError(w.tasks.Wait())
		}
	}
}

func (w *watchStream) receive(ctx context.Context, requests chan<- *etcdpb.WatchRequest) (err error) {
	for {
		request, err := w.Receive()
		if err != nil {
			return err
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *watchStream) handle(request *etcdpb.WatchRequest) {
	if create := request.GetCreateRequest(); create != nil {
		w.create(create)
	}
	if c := request.GetCancelRequest(); c != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		if stop := w.cancel[c.GetWatchId()]; stop != nil {
			stop()
		}
	}
}

func (w *watchStream) create(request *etcdpb.WatchCreateRequest) {
	w.mu.Lock()
	w.lastID++
	id := w.lastID
	w.mu.Unlock()
	w.tasks.Go("watch", func(ctx context.Context) error { return w.run(ctx, id, request) })
}

// run serves one watch. An error ends the stream; a compaction ends the watch only.
func (w *watchStream) run(ctx context.Context, id int64, request *etcdpb.WatchCreateRequest) (err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w.mu.Lock()
	w.cancel[id] = stop
	w.mu.Unlock()
	r := keyRange{request.GetKey(), request.GetRangeEnd()}
	// The protocol names no generation: a server takes any start revision for one of its own.
	start := store.Revision{}
	if number := request.GetStartRevision(); number > 0 {
		start = store.Revision{Generation: w.current().Generation, Number: number}
	}
	inner, err := w.backing.Watch(ctx, r.prefix(), start)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		return err
	}
	if sent := w.send(&etcdpb.WatchResponse{Header: header(w.current()), WatchId: id, Created: true}); sent != nil {
		return sent
	}
	if err == nil {
		defer inner.Close()
		err = w.forward(ctx, id, r, inner)
	}
	reason := &etcdpb.WatchResponse{Header: header(w.current()), WatchId: id, Canceled: true}
	switch {
	case errors.Is(err, store.ErrCompacted):
		reason.CompactRevision = max(1, request.GetStartRevision()+1)
		reason.CancelReason = "etcdserver: mvcc: required revision has been compacted"
	case !errors.Is(err, context.Canceled):
		return err
	}
	return w.send(reason)
}

func (w *watchStream) forward(ctx context.Context, id int64, r keyRange, inner store.Watcher) (err error) {
	for {
		batch, err := inner.Next(ctx)
		if err != nil {
			return err
		}
		response := &etcdpb.WatchResponse{Header: header(batch.Revision), WatchId: id}
		for i := range batch.Events {
			e := &batch.Events[i]
			if !r.contains(e.Entry.Key) {
				continue
			}
			event := &etcdpb.Event{Kv: keyValue(&e.Entry)}
			if e.Deleted {
				event.Type = etcdpb.Event_DELETE
			}
			response.Events = append(response.Events, event)
		}
		if len(response.GetEvents()) == 0 {
			continue
		}
		if err = w.send(response); err != nil {
			return err
		}
	}
}

func (w *watchStream) send(response *etcdpb.WatchResponse) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Send(response)
}
