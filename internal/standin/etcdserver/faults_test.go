package etcdserver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/standin/etcdserver"
)

// Guards against faults that do not reach clients, or reach the wrong ones.
func TestFaults(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	faults, address := serve(t)
	a, b := dial(t, "a", address), dial(t, "b", address)
	watch, err := a.Watch(ctx, "k", store.Revision{})
	is.NoErr(err)
	defer watch.Close()

	faults.Set(etcdserver.Settings{Cut: []string{"a"}})
	_, err = watch.Next(ctx)
	is.True(errors.Is(err, store.ErrUnavailable))
	_, _, err = a.Get(ctx, "k")
	is.True(errors.Is(err, store.ErrUnavailable))
	_, _, err = b.Get(ctx, "k")
	is.NoErr(err)

	faults.Set(etcdserver.Settings{Down: true})
	_, err = b.Watch(ctx, "k", store.Revision{})
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(errors.Is(renew(ctx, b, 1), store.ErrUnavailable))

	faults.Set(etcdserver.Settings{LoseAnswers: 1})
	write := []store.Write{{Key: "k", Value: []byte("v")}}
	_, err = a.Txn(ctx, nil, write)
	is.True(errors.Is(err, store.ErrUnavailable))
	entry, _, err := a.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(entry.Value), "v")

	faults.Set(etcdserver.Settings{DelayMS: 200})
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	_, _, err = a.Get(short, "k")
	is.True(errors.Is(err, context.DeadlineExceeded))

	faults.Set(etcdserver.Settings{})
	id, err := a.Grant(ctx, 60)
	is.NoErr(err)
	_, err = a.Txn(ctx, nil, []store.Write{{Key: "k", Lease: id}})
	is.NoErr(err)
	is.NoErr(faults.Lapse(ctx, "k"))
	is.True(errors.Is(renew(ctx, a, id), store.ErrLeaseNotFound))
	is.Equal(faults.Calls(), map[string]int64{
		"range": 4, "txn": 2, "watch": 2, "lease_grant": 1, "lease_keep_alive": 2,
	})
}

// Guards against a client that stays with a dead endpoint.
func TestSecondEndpoint(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	down, first := serve(t)
	_, second := serve(t)
	down.Set(etcdserver.Settings{Down: true})
	client := dial(t, "c", first, second)
	_, _, err := client.Get(ctx, "k")
	is.NoErr(err)
	_, err = client.Txn(ctx, nil, []store.Write{{Key: "k"}})
	is.NoErr(err)
}

// Guards against scenario tests that cannot switch faults from outside.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	faults, address := serve(t)
	send := func(method, path, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(send("PUT", "/faults", `{"down":true,"lose_answers":2}`), http.StatusOK)
	is.Equal(faults.Settings(), etcdserver.Settings{Down: true, LoseAnswers: 2})
	is.Equal(send("PUT", "/faults", `{"dwon":true}`), http.StatusBadRequest)
	is.Equal(send("POST", "/lapse?key=none", ""), http.StatusNotFound)
	is.Equal(send("GET", "/calls", ""), http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
}
