package etcd

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

type watchStream = connect.BidiStreamForClient[etcdpb.WatchRequest, etcdpb.WatchResponse]

type watchResult struct {
	batch store.WatchBatch
	err   error
}

// watcher has one stream, which a task reads so that Next can be cancelled
// without losing events.
type watcher struct {
	tasks   *group.Group
	results chan watchResult
}

// Watch follows the keys that begin with prefix, from revision on. It returns
// once the service has created the watch.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (w store.Watcher, err error) {
	defer func() { err = errors.WithMessagef(err, "watch %q", prefix) }()
	tasks := group.New(context.WithoutCancel(ctx))
	unlink := context.AfterFunc(ctx, tasks.Stop)
	defer unlink()
	var stream *watchStream
	err = c.call(ctx, func(e *endpoint) error {
		stream = e.watch.Watch(tasks.Context())
		return c.create(tasks.Context(), stream, prefix, max(revision, 0))
	})
	if err != nil || ctx.Err() != nil {
		tasks.Stop()
		if err == nil {
			err = ctx.Err()
		}
		return nil, err
	}
	n := &watcher{tasks: tasks, results: make(chan watchResult)}
	tasks.Go("watch", func(ctx context.Context) error { return n.receive(ctx, stream) })
	return n, nil
}

func (c *Client) create(ctx context.Context, stream *watchStream, prefix string, revision int64) (err error) {
	stream.RequestHeader().Set("User-Agent", c.agent)
	key, end := prefixRange(prefix)
	err = stream.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdpb.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: revision},
	}})
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	// The HTTP/2 transport notices the end of a context only once the request
	// body has ended too.
	context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })
	response, err := stream.Receive()
	if err != nil {
		return err
	}
	if !response.GetCreated() || response.GetCanceled() {
		return canceled(response)
	}
	return nil
}

func canceled(response *etcdpb.WatchResponse) error {
	if response.GetCompactRevision() != 0 {
		return errors.WithMessagef(store.ErrCompacted, "compacted at %d", response.GetCompactRevision())
	}
	return errors.WithMessagef(store.ErrUnavailable, "watch canceled: %s", response.GetCancelReason())
}

// receive hands over the batches of the stream until it ends.
func (w *watcher) receive(ctx context.Context, stream *watchStream) error {
	var batch store.WatchBatch
	for {
		response, err := stream.Receive()
		switch {
		case err != nil:
			err = mapError(ctx, err)
		case response.GetCanceled():
			err = canceled(response)
		}
		if err != nil {
			w.hand(ctx, watchResult{err: err})
			return err
		}
		for _, e := range response.GetEvents() {
			batch.Events = append(batch.Events, store.Event{
				Entry: entryOf(e.GetKv()), Deleted: e.GetType() == etcdpb.Event_DELETE,
			})
		}
		batch.Revision = response.GetHeader().GetRevision()
		if response.GetFragment() || len(batch.Events) == 0 {
			continue
		}
		if !w.hand(ctx, watchResult{batch: batch}) {
			return ctx.Err()
		}
		batch = store.WatchBatch{}
	}
}

func (w *watcher) hand(ctx context.Context, result watchResult) bool {
	select {
	case w.results <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

// Next waits for the next batch.
func (w *watcher) Next(ctx context.Context) (batch store.WatchBatch, err error) {
	select {
	case result := <-w.results:
		return result.batch, result.err
	case <-ctx.Done():
		return batch, ctx.Err()
	case <-w.tasks.Context().Done():
		return batch, errors.WithMessage(store.ErrUnavailable, "watch ended")
	}
}

// Close ends the watch.
func (w *watcher) Close() {
	w.tasks.Stop()
	// The error of the task was given by Next.
	_ = w.tasks.Wait()
}
