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

// watchResult is what Next returns.
type watchResult struct {
	batch store.WatchBatch
	err   error
}

// watcher has one stream. A separate task reads the stream, so that a call of Next can be
// cancelled without losing events.
type watcher struct {
	client  *Client
	tasks   *group.Group
	results chan watchResult
	// generation is the generation of the store that the watch began in.
	generation uint64
}

// Watch opens a watch of the keys that begin with prefix. It delivers the changes since
// revision, that revision included; the zero revision means from the next change on. Watch
// returns once the server has created the watch. ctx applies only until then.
func (c *Client) Watch(ctx context.Context, prefix string, revision store.Revision) (w store.Watcher, err error) {
	defer func() { err = errors.WithMessagef(err, "watch %q", prefix) }()
	tasks := group.New(context.WithoutCancel(ctx))
	cancelStop := context.AfterFunc(ctx, tasks.Stop)
	defer cancelStop()
	var stream *watchStream
	var current store.Revision
	err = c.call(ctx, func(e *endpoint) (err error) {
		stream = e.watch.Watch(tasks.Context())
		current, err = c.createWatch(tasks.Context(), stream, prefix, revision.Number)
		return err
	})
	if err == nil {
		err = checkHistory(revision, current)
	}
	if err != nil || ctx.Err() != nil {
		tasks.Stop()
		if err == nil {
			err = ctx.Err()
		}
		return nil, err
	}
	opened := &watcher{client: c, tasks: tasks, results: make(chan watchResult), generation: current.Generation}
	tasks.Go("watch", func(ctx context.Context) error { return opened.receive(ctx, stream) })
	return opened, nil
}

// checkHistory returns store.ErrCompacted if a store at the current revision cannot have
// the history from another revision on. The zero revision means from the next change on.
func checkHistory(from, current store.Revision) error {
	switch {
	case from == store.Revision{}:
		return nil
	case from.Generation != current.Generation:
		return errors.WithMessage(store.ErrCompacted, "the cluster was restored")
	case from.Number > current.Number+1:
		return errors.WithMessagef(store.ErrCompacted, "watch from revision %d, store is at %d", from.Number, current.Number)
	}
	return nil
}

// createWatch asks the server for a watch, blocks until the server has created it, and
// returns the revision of the store.
func (c *Client) createWatch(
	ctx context.Context, stream *watchStream, prefix string, number int64,
) (current store.Revision, err error) {
	stream.RequestHeader().Set("User-Agent", c.userAgent)
	key, end := prefixRange(prefix)
	err = stream.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdpb.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: number},
	}})
	// Send returns io.EOF if the call has already failed; Receive then returns the error.
	if err != nil && !errors.Is(err, io.EOF) {
		return current, err
	}
	// The HTTP/2 transport reacts to the end of a context only after the request body has
	// ended too.
	context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })
	response, err := stream.Receive()
	if err != nil {
		return current, err
	}
	if !response.GetCreated() || response.GetCanceled() {
		return current, cancelError(response)
	}
	return c.revision(response.GetHeader()), nil
}

// cancelError returns the error for a watch that the server cancelled: store.ErrCompacted
// or store.ErrUnavailable.
func cancelError(response *etcdpb.WatchResponse) error {
	if response.GetCompactRevision() != 0 {
		return errors.WithMessagef(store.ErrCompacted, "compacted at revision %d", response.GetCompactRevision())
	}
	return errors.WithMessagef(store.ErrUnavailable, "server cancelled the watch: %s", response.GetCancelReason())
}

// receive delivers the batches of the stream until the stream ends or the watch is closed.
// Fragments of a response are joined into one batch.
func (w *watcher) receive(ctx context.Context, stream *watchStream) error {
	var batch store.WatchBatch
	for {
		response, err := stream.Receive()
		switch {
		case err != nil:
			err = mapError(ctx, err)
		case response.GetCanceled():
			err = cancelError(response)
		case w.client.revision(response.GetHeader()).Generation != w.generation:
			err = errors.WithMessage(store.ErrCompacted, "the cluster was restored")
		}
		if err != nil {
			w.deliver(ctx, watchResult{err: err})
			return err
		}
		for _, e := range response.GetEvents() {
			batch.Events = append(batch.Events, store.Event{
				Entry: entryFromKV(e.GetKv()), Deleted: e.GetType() == etcdpb.Event_DELETE,
			})
		}
		batch.Revision = w.client.revision(response.GetHeader())
		if response.GetFragment() || len(batch.Events) == 0 {
			continue
		}
		if !w.deliver(ctx, watchResult{batch: batch}) {
			return ctx.Err()
		}
		batch = store.WatchBatch{}
	}
}

// deliver passes a result to Next. It returns false if the watch was closed first.
func (w *watcher) deliver(ctx context.Context, result watchResult) bool {
	select {
	case w.results <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

// Next blocks until the next batch arrives, the watch ends or ctx ends.
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

// Close ends the watch and waits for its task.
func (w *watcher) Close() {
	w.tasks.Stop()
	// Next returns the error of the task. After Close it is not needed.
	_ = w.tasks.Wait()
}
