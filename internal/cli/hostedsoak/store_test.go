package hostedsoak

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
)

// storeMode says what the store does with calls.
type storeMode string

const (
	storeUp storeMode = ""
	// storeSilent leaves calls without effect and response.
	storeSilent storeMode = "silent"
	// storeRefuses answers 503 without effect.
	storeRefuses storeMode = "refuses"
	storeSlow    storeMode = "slow"
	// storeDrops closes the connection of a call that took effect. storeOneWay leaves it
	// without a response, and storeLate lets it take effect later.
	storeDrops  storeMode = "drops answers"
	storeOneWay storeMode = "one way"
	storeLate   storeMode = "late"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeSlowTime   = 250 * time.Millisecond
	storeLateTime   = 1500 * time.Millisecond
	storePageSize   = 5
)

// item is an entry of the store, or a change of one.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
	CurrentRev     int64  `json:"current_rev,omitempty"`
}

func newItem(e store.Entry) item {
	return item{Key: e.Key, Value: e.Value, Revision: e.ModRevision, CreateRevision: e.CreateRevision, Lease: int64(e.Lease)}
}

// page is the response to a read of several items.
type page struct {
	Items      []item `json:"items,omitempty"`
	Events     []item `json:"events,omitempty"`
	HasMore    bool   `json:"has_more"`
	CurrentRev int64  `json:"current_rev"`
}

// metadataStore plays the platform's metadata store. Each machine reaches it at an address
// of its own, so that faults can hold for one machine.
type metadataStore struct {
	data   *memory.Store
	server *http.Server

	// mu guards the fields below.
	mu sync.Mutex
	// modes holds the faults by machine address; the zero address stands for all.
	modes map[netip.Addr]storeMode
	// leases are the leases that were granted.
	leases []store.LeaseID
}

func newStore() (s *metadataStore, err error) {
	s = &metadataStore{modes: make(map[netip.Addr]storeMode)}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	s.data, err = memory.New(memory.Config{})
	return s, err
}

// setMode sets the fault for the machine at an address, or for all.
func (s *metadataStore) setMode(machine netip.Addr, mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[machine] = mode
}

// lapse ends all leases.
func (s *metadataStore) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.leases {
		_ = s.data.Revoke(context.Background(), id)
	}
	s.leases = nil
}

// compact drops the history.
func (s *metadataStore) compact() { s.data.Compact(s.data.Revision().Number + 1) }

// mode returns the fault for the machine that a request came from.
func (s *metadataStore) mode(r *http.Request) storeMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if address, err := netip.ParseAddrPort(local.String()); err == nil && s.modes[address.Addr()] != storeUp {
		return s.modes[address.Addr()]
	}
	return s.modes[netip.Addr{}]
}

// hang waits as long as a mode without responses holds, and closes the connection.
func (s *metadataStore) hang(r *http.Request) {
	for m := storeSilent; m == storeSilent || m == storeOneWay || m == storeLate; m = s.mode(r) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(10 * time.Millisecond):
		}
	}
	panic(http.ErrAbortHandler)
}

// ServeHTTP applies the faults to a call.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	status, body := http.StatusServiceUnavailable, any(nil)
	switch mode := s.mode(r); mode {
	case storeSilent:
		s.hang(r)
	case storeRefuses:
	default:
		time.Sleep(map[storeMode]time.Duration{storeSlow: storeSlowTime, storeLate: storeLateTime}[mode])
		status, body = s.serve(r)
	}
	switch s.mode(r) {
	case storeDrops:
		panic(http.ErrAbortHandler)
	case storeSilent, storeOneWay, storeLate:
		s.hang(r)
	case storeUp, storeSlow, storeRefuses:
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.data.Revision().Generation, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// status returns the status of a call that ended with an error.
func status(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, store.ErrLeaseNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrCompacted):
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}

// serve executes a call.
func (s *metadataStore) serve(r *http.Request) (code int, body any) {
	ctx, query := r.Context(), r.URL.Query()
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/kv-"), "/")
	lease, _ := strconv.ParseInt(id, 10, 64)
	switch call {
	case "key":
		e, revision, _ := s.data.Get(ctx, query.Get("key"))
		if e == nil {
			return http.StatusNotFound, item{CurrentRev: revision.Number}
		}
		i := newItem(*e)
		i.CurrentRev = revision.Number
		return http.StatusOK, i
	case "range":
		entries, revision, _ := s.data.List(ctx, query.Get("prefix"))
		p := page{CurrentRev: revision.Number}
		for _, e := range entries {
			if p.HasMore = len(p.Items) == storePageSize; p.HasMore {
				break
			}
			if e.Key > query.Get("after") {
				p.Items = append(p.Items, newItem(e))
			}
		}
		return http.StatusOK, p
	case "watch":
		return s.watch(r)
	case "txn":
		return s.txn(r)
	case "lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		granted, err := s.data.Grant(ctx, max(b.TTL/1000, 1))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leases = append(s.leases, granted)
		return status(err), map[string]any{"lease": granted, "ttl_ms": 1000 * max(b.TTL/1000, 1)}
	case "keep":
		_, err := s.data.KeepAlive(ctx, store.LeaseID(lease))
		return status(err), map[string]any{"lease": lease, "ttl_ms": 1000 * s.data.TTL(store.LeaseID(lease))}
	case "lease-end":
		return status(s.data.Revoke(ctx, store.LeaseID(lease))), nil
	}
	return http.StatusNotFound, nil
}

// watch waits for changes after a revision.
func (s *metadataStore) watch(r *http.Request) (code int, body any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	now := s.data.Revision()
	if after > now.Number {
		return http.StatusGone, nil
	}
	w, err := s.data.Watch(r.Context(), query.Get("prefix"), store.Revision{Generation: now.Generation, Number: after + 1})
	if err != nil {
		return status(err), nil
	}
	defer w.Close()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	batch, err := w.Next(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return http.StatusOK, page{CurrentRev: max(after, batch.Revision.Number)}
	}
	p := page{CurrentRev: batch.Revision.Number}
	for _, e := range batch.Events {
		i := newItem(e.Entry)
		i.Removed = e.Deleted
		p.Events = append(p.Events, i)
	}
	return status(err), p
}

func (s *metadataStore) txn(r *http.Request) (code int, body any) {
	var b struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Deletes      []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		return http.StatusBadRequest, nil
	}
	var compares []store.Compare
	var writes []store.Write
	for _, p := range b.Precondition {
		compares = append(compares, store.Compare{Key: p.Key, Revision: p.Revision})
	}
	for _, p := range b.Puts {
		writes = append(writes, store.Write{Key: p.Key, Value: p.Value, Lease: store.LeaseID(p.Lease)})
	}
	for _, key := range b.Deletes {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	result, err := s.data.Txn(r.Context(), compares, writes)
	if err != nil || result.Succeeded {
		return status(err), item{Revision: result.Revision.Number}
	}
	var p page
	for _, c := range compares {
		if e, _, _ := s.data.Get(r.Context(), c.Key); e != nil {
			p.Items = append(p.Items, newItem(*e))
		}
	}
	return http.StatusPreconditionFailed, p
}
