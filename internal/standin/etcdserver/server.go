// Package etcdserver is a stand-in for the platform's store: a memory store
// behind the published etcd v3 API, with faults that are switched at run time.
package etcdserver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
)

// maxRequestBytes is the default request limit of the published service.
const maxRequestBytes = 3 << 19

// Config configures a Server.
type Config struct {
	// Faults is the store to serve. Empty means a new memory store in real time.
	Faults *Faults
}

// Server serves the etcd API, and the faults as JSON at /faults and /calls, on
// one address without TLS.
type Server struct {
	faults *Faults
	http   *http.Server
}

// New returns a server.
func New(cfg Config) (s *Server, err error) {
	if cfg.Faults == nil {
		m, err := memory.New(memory.Config{})
		if err != nil {
			return nil, err
		}
		cfg.Faults = NewFaults(m)
	}
	s = &Server{faults: cfg.Faults}
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxRequestBytes)
	mux.Handle(etcdpb.NewKVHandler(&kv{s.faults}, limit))
	mux.Handle(etcdpb.NewLeaseHandler(&lease{s.faults}, limit))
	mux.Handle(etcdpb.NewWatchHandler(&watch{s.faults}, limit))
	s.addAdmin(mux)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, Protocols: protocols, ReadHeaderTimeout: 10 * time.Second,
		// A bench process opens one stream per watch on one connection.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
	return s, nil
}

// Faults returns the served store.
func (s *Server) Faults() *Faults { return s.faults }

// Handler returns the handler of all that the server serves.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "store stand-in") }()
	unlink := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer unlink()
	if err = s.http.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// clientName is the user agent, which clients set to their name.
func clientName(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("User-Agent"), " ")
	return name
}

// statusError gives an error the code and text of the published service.
func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrCompacted):
		return connect.NewError(connect.CodeOutOfRange,
			errors.New("etcdserver: mvcc: required revision has been compacted"))
	case errors.Is(err, store.ErrLeaseNotFound):
		return connect.NewError(connect.CodeNotFound, errors.New("etcdserver: requested lease not found"))
	case errors.Is(err, store.ErrTooLarge):
		return connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: request is too large"))
	case errors.Is(err, store.ErrRejected):
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("etcdserver: %v", err))
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeUnavailable, errors.Errorf("etcdserver: %v", err))
}

func unimplemented(what string) error {
	return connect.NewError(connect.CodeUnimplemented, errors.Errorf("stand-in does not serve %s", what))
}

// header returns the header of a response. A restored cluster has another id.
func header(revision store.Revision) *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1 + revision.Generation, MemberId: 1, Revision: revision.Number, RaftTerm: 1}
}

// keyRange is a range of keys of the published protocol.
type keyRange struct{ key, end []byte }

// prefix returns what all keys of the range begin with.
func (r keyRange) prefix() string {
	if len(r.end) == 0 {
		return string(r.key)
	}
	if bytes.Equal(r.end, []byte{0}) {
		return ""
	}
	n := 0
	for n < len(r.key) && n < len(r.end) && r.key[n] == r.end[n] {
		n++
	}
	return string(r.key[:n])
}

func (r keyRange) contains(key string) bool {
	switch {
	case len(r.end) == 0:
		return key == string(r.key)
	case bytes.Equal(r.end, []byte{0}):
		return key >= string(r.key)
	}
	return key >= string(r.key) && key < string(r.end)
}

func keyValue(e *store.Entry) *etcdpb.KeyValue {
	return &etcdpb.KeyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: e.CreateRevision,
		ModRevision: e.ModRevision, Lease: int64(e.Lease),
	}
}
