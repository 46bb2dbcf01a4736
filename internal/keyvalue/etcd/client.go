// Package etcd is a store.Store client of the etcd v3 gRPC API.
//
// It needs the addresses of one or more servers. Retries of writes, and opening a watch
// again after it has ended, are left to the caller.
package etcd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcdpb"
	"agateramp/internal/keyvalue/store"
)

const (
	defaultPingInterval = 10 * time.Second
	defaultPingTimeout  = 5 * time.Second
	dialTimeout         = 3 * time.Second
)

// Config configures a Client.
type Config struct {
	// Endpoints are the host:port addresses of the servers. At least one must be set.
	Endpoints []string
	// TLS is used for every connection. If nil, connections use HTTP/2 without TLS.
	TLS *tls.Config
	// UserAgent is sent in the User-Agent header, so that the servers can distinguish their
	// clients. If empty, it is "agateramp".
	UserAgent string
	// PingInterval is how long a connection may be silent before it is pinged. PingInterval
	// plus PingTimeout limits how long a watch waits on a dead connection. 0 means 10 s.
	PingInterval time.Duration
	// PingTimeout is how long a ping may stay unanswered before the connection is closed. 0
	// means 5 s.
	PingTimeout time.Duration
}

// endpoint holds the service clients of one server.
type endpoint struct {
	kv    etcdpb.KVClient
	lease etcdpb.LeaseClient
	watch etcdpb.WatchClient
}

// Client calls one endpoint at a time and moves to the next when a call finds the service
// unavailable or exceeds its deadline. Its methods are safe for concurrent use.
type Client struct {
	transport *http.Transport
	endpoints []endpoint
	// selected counts the moves between endpoints; modulo their number, it is the index of
	// the endpoint in use.
	selected  atomic.Uint64
	userAgent string

	// mu guards generations, which numbers the cluster ids in the order in which they were
	// first seen.
	mu          sync.Mutex
	generations map[uint64]uint64
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects at the first call. The caller must call Close.
func New(cfg Config) (c *Client, err error) {
	defer func() { err = errors.WithMessage(err, "etcd client") }()
	if len(cfg.Endpoints) == 0 {
		return nil, errors.New("Endpoints is empty, want at least one host:port address")
	}
	if cfg.UserAgent == "" {
		cfg.UserAgent = "agateramp"
	}
	if cfg.PingInterval == 0 {
		cfg.PingInterval = defaultPingInterval
	}
	if cfg.PingTimeout == 0 {
		cfg.PingTimeout = defaultPingTimeout
	}
	protocols, scheme := new(http.Protocols), "https"
	protocols.SetHTTP2(true)
	if cfg.TLS == nil {
		protocols, scheme = new(http.Protocols), "http"
		protocols.SetUnencryptedHTTP2(true)
	}
	c = &Client{userAgent: cfg.UserAgent, generations: make(map[uint64]uint64), transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: cfg.TLS,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: cfg.PingInterval, PingTimeout: cfg.PingTimeout},
	}}
	client := &http.Client{Transport: c.transport}
	for _, address := range cfg.Endpoints {
		if _, _, err = net.SplitHostPort(address); err != nil {
			return nil, errors.WithMessagef(err, "endpoint %q", address)
		}
		base := scheme + "://" + address
		c.endpoints = append(c.endpoints, endpoint{
			kv:    etcdpb.NewKVClient(client, base, connect.WithGRPC()),
			lease: etcdpb.NewLeaseClient(client, base, connect.WithGRPC()),
			watch: etcdpb.NewWatchClient(client, base, connect.WithGRPC()),
		})
	}
	return c, nil
}

// Close closes idle connections. Each watch must be closed by its own Close.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns the entry of a key, or nil if the key does not exist, and the revision of the
// store.
func (c *Client) Get(ctx context.Context, key string) (entry *store.Entry, revision store.Revision, err error) {
	defer func() { err = errors.WithMessagef(err, "get %q", key) }()
	kvs, revision, err := c.read(ctx, &etcdpb.RangeRequest{Key: []byte(key)})
	if err != nil || len(kvs) == 0 {
		return nil, revision, err
	}
	e := entryFromKV(kvs[0])
	return &e, revision, nil
}

// List returns the entries whose keys begin with prefix, ordered by key, and the revision
// of the store.
func (c *Client) List(ctx context.Context, prefix string) (entries []store.Entry, revision store.Revision, err error) {
	defer func() { err = errors.WithMessagef(err, "list %q", prefix) }()
	key, end := prefixRange(prefix)
	kvs, revision, err := c.read(ctx, &etcdpb.RangeRequest{Key: key, RangeEnd: end})
	for _, kv := range kvs {
		entries = append(entries, entryFromKV(kv))
	}
	return entries, revision, err
}

// read tries each endpoint at most once, until one is available. A read is safe to repeat.
func (c *Client) read(ctx context.Context, request *etcdpb.RangeRequest) (
	kvs []*etcdpb.KeyValue, revision store.Revision, err error,
) {
	for range c.endpoints {
		err = c.call(ctx, func(e *endpoint) error {
			response, err := e.kv.Range(ctx, newRequest(c, request))
			if err != nil {
				return err
			}
			kvs, revision = response.Msg.GetKvs(), c.revision(response.Msg.GetHeader())
			return nil
		})
		if !errors.Is(err, store.ErrUnavailable) {
			break
		}
	}
	return kvs, revision, err
}

// Txn applies all writes if all compares hold, and none otherwise. The transaction is
// sent only once, because it may have taken effect even when Txn returns an error.
func (c *Client) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) (
	result store.TxnResult, err error,
) {
	defer func() { err = errors.WithMessage(err, "transaction") }()
	if err = store.CheckWrites(writes); err != nil {
		return result, err
	}
	request := txnRequest(compares, writes)
	err = c.call(ctx, func(e *endpoint) error {
		response, err := e.kv.Txn(ctx, newRequest(c, request))
		if err != nil {
			return err
		}
		result.Succeeded = response.Msg.GetSucceeded()
		result.Revision = c.revision(response.Msg.GetHeader())
		return nil
	})
	return result, err
}

// call makes one call to the selected endpoint. If the endpoint is unavailable or exceeds
// the deadline, call selects the next one for later calls.
func (c *Client) call(ctx context.Context, run func(e *endpoint) error) (err error) {
	position := c.selected.Load()
	err = mapError(ctx, run(&c.endpoints[position%uint64(len(c.endpoints))]))
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		c.selected.CompareAndSwap(position, position+1)
	}
	return err
}

// revision returns the revision in the header of a response. A cluster that was restored
// under another token has another id and begins another generation.
func (c *Client) revision(header *etcdpb.ResponseHeader) store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	generation, ok := c.generations[header.GetClusterId()]
	if !ok {
		generation = uint64(len(c.generations))
		c.generations[header.GetClusterId()] = generation
	}
	return store.Revision{Generation: generation, Number: header.GetRevision()}
}

// newRequest returns a request with the User-Agent header of the client.
func newRequest[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("User-Agent", c.userAgent)
	return request
}
