package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// startStore serves the dev store and returns its address.
func startStore(t *testing.T) (address string) {
	t.Helper()
	read, write := io.Pipe()
	tasks := group.New(context.Background())
	tasks.Go("store", func(ctx context.Context) error {
		return runDevStore(ctx, &environment{stdout: write, stderr: io.Discard}, "127.0.0.1:0")
	})
	t.Cleanup(func() {
		tasks.Stop()
		if err := tasks.Wait(); err != nil {
			t.Error(err)
		}
	})
	line := make([]byte, 256)
	n, err := read.Read(line)
	if err != nil {
		t.Fatal(err)
	}
	address, _, _ = strings.Cut(strings.TrimPrefix(string(line[:n]), "store at "), ",")
	return address
}

// register writes the key of a balancer that reports a version in force.
func register(t *testing.T, address string, record shard.BalancerRecord) {
	t.Helper()
	client, err := etcd.New(etcd.Config{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	write := store.Write{Key: shard.BalancerKey(record.Name), Value: value}
	if _, err = client.Txn(context.Background(), nil, []store.Write{write}); err != nil {
		t.Fatal(err)
	}
}

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = execute(args, &environment{stdout: &out, stderr: &errs})
	return code, out.String(), errs.String()
}

func writeFile(t *testing.T, dir, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against commands that lose a change, hide who made it, or exit with
// the wrong code.
func TestConfigCommands(t *testing.T) {
	is := is.New(t)
	address, dir := startStore(t), t.TempDir()
	writeFile(t, dir, "10-base.json", `{"services":{"studio":{"addresses":[{"address":"10.0.0.1:443","protocol":"tcp"}]}}}`)
	in := []string{"--store", address, "--timeout", "10s"}
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"config", "check", "--folder", dir}, exitOK, "1 services, 0 host overrides, no error"},
		{append([]string{"config", "diff", "--folder", dir}, in...), exitOK, "base version 0, 1 changed fields"},
		{append([]string{"config", "apply", "--folder", dir, "--change-id", "one", "--who", "kimi", "--reason", "first"}, in...), exitOK, "version 1 accepted"},
		{append([]string{"config", "apply", "--folder", dir, "--change-id", "one", "--who", "kimi"}, in...), exitOK, "made by an earlier run"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "kimi"}, in...), exitOK, "already has this content"},
		{append([]string{"config", "show", "--origin"}, in...), exitOK, "/services/studio/addresses = [{\"address\":\"10.0.0.1:443\",\"protocol\":\"tcp\"}] (10-base.json)"},
	}
	for _, s := range steps {
		code, stdout, stderr := run(s.args...)
		if code != s.code || !strings.Contains(stdout, s.want) {
			t.Fatalf("%v: code %d, stdout %q, stderr %q", s.args, code, stdout, stderr)
		}
	}
	register(t, address, shard.BalancerRecord{Name: "late", ConfigVersion: 1})
	writeFile(t, dir, "20-drain.json", `{"hosts":{"h1":{"service":"studio","drain":true}}}`)
	steps = steps[:0]
	steps = append(steps, []struct {
		args []string
		code int
		want string
	}{
		{append([]string{"config", "diff", "--folder", dir}, in...), exitOK, "/hosts/h1/drain: unset -> true (20-drain.json)"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--base", "0"}, in...), exitFailure, "kimi applied change one to it first"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--base", "7"}, in...), exitUsage, "base version 7 does not exist"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--change-id", "one"}, in...), exitUsage, "already used"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--wait", "--timeout", "1s"}, in...), exitFailure, "version 2 was accepted and is not in force on: late (version 1"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor"}, in...), exitOK, "version 2"},
		{append([]string{"config", "rollback", "1", "--who", "kimi", "--reason", "wrong host"}, in...), exitOK, "version 3 accepted"},
		{append([]string{"config", "rollback", "9", "--who", "kimi"}, in...), exitUsage, "version 9 does not exist"},
		{append([]string{"config", "show", "--version", "9"}, in...), exitUsage, "version 9 does not exist"},
		{append([]string{"config", "history"}, in...), exitOK, `"who":"kimi","from":`},
		{append([]string{"config", "history", "--last", "1"}, in...), exitOK, `"rollback_to":1`},
		{append([]string{"audit"}, in...), exitOK, `"field":"/hosts/h1/drain","new":true`},
		{[]string{"config", "check", "--folder", filepath.Join(dir, "none")}, exitUsage, "no such file"},
		{[]string{"config", "history", "--store", "nowhere"}, exitUsage, "nowhere"},
		{append([]string{"config", "history", "--store-ca", filepath.Join(dir, "10-base.json")}, in...), exitUsage, "holds no certificate"},
		{append([]string{"config", "history", "--store-cert", filepath.Join(dir, "none")}, in...), exitUsage, "client certificate"},
		{[]string{"config", "history", "--timeout", "x"}, exitUsage, "timeout"},
	}...)
	for _, s := range steps {
		code, stdout, stderr := run(s.args...)
		if code != s.code || !strings.Contains(stdout+stderr, s.want) {
			t.Fatalf("%v: code %d, stdout %q, stderr %q", s.args, code, stdout, stderr)
		}
	}
	writeFile(t, dir, "30-bad.json", `{"hosts":{"h1":{"weight":-1}}}`)
	code, _, stderr := run(append([]string{"config", "apply", "--folder", dir, "--who", "noor"}, in...)...)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(stderr, "file 30-bad.json: field /hosts/h1/weight:"))
}

// Guards against --wait that returns too early, or does not say who is late.
func TestWaitInForce(t *testing.T) {
	is := is.New(t)
	calls := 0
	reporter := func(context.Context, store.Store) ([]balancerVersion, error) {
		calls++
		return []balancerVersion{
			{"b1", 5, time.Now()}, {"b2", uint64(2 + calls), time.Now().Add(-3 * time.Second)},
		}, nil
	}
	is.NoErr(waitInForce(context.Background(), nil, 4, reporter))
	is.Equal(calls, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	err := waitInForce(ctx, nil, 99, reporter)
	is.True(strings.Contains(err.Error(), "b2 (version 5, reported 3"))
}

// Guards against a lost answer that is reported as a failure.
func TestApplyWithLostAnswer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server, err := etcdserver.New(etcdserver.Config{})
	is.NoErr(err)
	tasks := group.New(context.Background())
	tasks.Go("store", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	defer func() {
		tasks.Stop()
		is.NoErr(tasks.Wait())
	}()
	server.Faults().Set(etcdserver.Settings{LoseAnswers: 1})
	dir := t.TempDir()
	writeFile(t, dir, "a.json", `{"services":{"studio":{"addresses":[{"address":"10.0.0.1:443","protocol":"tcp"}]}}}`)
	code, stdout, stderr := run("config", "apply", "--folder", dir, "--who", "kimi", "--store", listener.Addr().String())
	if code != exitOK || !strings.Contains(stdout, "version 1") {
		t.Fatalf("code %d, stdout %q, stderr %q", code, stdout, stderr)
	}
}
