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

// startStore runs the store of dev --store-only and returns its address.
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

// writeBalancerRecord stores the record in which a balancer reports its version in force.
func writeBalancerRecord(t *testing.T, address string, record shard.BalancerRecord) {
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

func runCommand(args ...string) (code int, stdout, stderr string) {
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
// the wrong exit code.
func TestConfigCommands(t *testing.T) {
	is := is.New(t)
	address, dir := startStore(t), t.TempDir()
	writeFile(t, dir, "10-base.json", `{"services":{"studio":{"addresses":[{"address":"10.0.0.1:443","protocol":"tcp"}]}}}`)
	storeArgs := []string{"--store", address, "--timeout", "10s"}
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"config", "check", "--folder", dir}, exitOK, "1 services, 0 host overrides, no error"},
		{append([]string{"config", "diff", "--folder", dir}, storeArgs...), exitOK, "base version 0, 1 changed fields"},
		{append([]string{"config", "apply", "--folder", dir, "--change-id", "one", "--who", "kimi", "--reason", "first"}, storeArgs...), exitOK, "version 1 accepted"},
		{append([]string{"config", "apply", "--folder", dir, "--change-id", "one", "--who", "kimi"}, storeArgs...), exitOK, "made by an earlier run"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "kimi"}, storeArgs...), exitOK, "already has this content"},
		{append([]string{"config", "show", "--origin"}, storeArgs...), exitOK, "/services/studio/addresses = [{\"address\":\"10.0.0.1:443\",\"protocol\":\"tcp\"}] (10-base.json)"},
	}
	for _, s := range steps {
		code, stdout, stderr := runCommand(s.args...)
		if code != s.code || !strings.Contains(stdout, s.want) {
			t.Fatalf("%v: code %d, stdout %q, stderr %q", s.args, code, stdout, stderr)
		}
	}
	writeBalancerRecord(t, address, shard.BalancerRecord{Name: "late", ConfigVersion: 1})
	writeFile(t, dir, "20-drain.json", `{"hosts":{"h1":{"service":"studio","drain":true}}}`)
	steps = steps[:0]
	steps = append(steps, []struct {
		args []string
		code int
		want string
	}{
		{append([]string{"config", "diff", "--folder", dir}, storeArgs...), exitOK, "/hosts/h1/drain: unset -> true (20-drain.json)"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--base", "0"}, storeArgs...), exitFailure, "kimi applied change one to it first"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--base", "7"}, storeArgs...), exitUsage, "base version 7 does not exist"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--change-id", "one"}, storeArgs...), exitUsage, "already used"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor", "--wait", "--timeout", "1s"}, storeArgs...), exitFailure, "version 2 was accepted and is not in force on: late (version 1"},
		{append([]string{"config", "apply", "--folder", dir, "--who", "noor"}, storeArgs...), exitOK, "version 2"},
		{append([]string{"config", "rollback", "1", "--who", "kimi", "--reason", "wrong host"}, storeArgs...), exitOK, "version 3 accepted"},
		{append([]string{"config", "rollback", "9", "--who", "kimi"}, storeArgs...), exitUsage, "version 9 does not exist"},
		{append([]string{"config", "show", "--version", "9"}, storeArgs...), exitUsage, "version 9 does not exist"},
		{append([]string{"config", "history"}, storeArgs...), exitOK, `"who":"kimi","from":`},
		{append([]string{"config", "history", "--last", "1"}, storeArgs...), exitOK, `"rollback_to":1`},
		{append([]string{"audit"}, storeArgs...), exitOK, `"field":"/hosts/h1/drain","new":true`},
		{[]string{"config", "check", "--folder", filepath.Join(dir, "none")}, exitUsage, "no such file"},
		{[]string{"config", "history", "--store", "nowhere"}, exitUsage, "nowhere"},
		{append([]string{"config", "history", "--store-ca", filepath.Join(dir, "10-base.json")}, storeArgs...), exitUsage, "holds no certificate"},
		{append([]string{"config", "history", "--store-cert", filepath.Join(dir, "none")}, storeArgs...), exitUsage, "client certificate"},
		{[]string{"config", "history", "--timeout", "x"}, exitUsage, "timeout"},
	}...)
	for _, s := range steps {
		code, stdout, stderr := runCommand(s.args...)
		if code != s.code || !strings.Contains(stdout+stderr, s.want) {
			t.Fatalf("%v: code %d, stdout %q, stderr %q", s.args, code, stdout, stderr)
		}
	}
	writeFile(t, dir, "30-bad.json", `{"hosts":{"h1":{"weight":-1}}}`)
	code, _, stderr := runCommand(append([]string{"config", "apply", "--folder", dir, "--who", "noor"}, storeArgs...)...)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(stderr, "file 30-bad.json: field /hosts/h1/weight:"))
}

// Guards against --wait that returns before every balancer has the version in force,
// or whose error does not list the balancers with an earlier version.
func TestWaitInForce(t *testing.T) {
	is := is.New(t)
	calls := 0
	listVersions := func(context.Context, store.Store) ([]balancerVersion, error) {
		calls++
		return []balancerVersion{
			{"b1", 5, time.Now()}, {"b2", uint64(2 + calls), time.Now().Add(-3 * time.Second)},
		}, nil
	}
	is.NoErr(waitInForce(context.Background(), nil, 4, listVersions))
	is.Equal(calls, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	err := waitInForce(ctx, nil, 99, listVersions)
	is.True(strings.Contains(err.Error(), "b2 (version 5, reported 3"))
}

// Guards against an apply that reports a failure although the store has accepted the
// change: the store accepts it, but its answer is lost.
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
	code, stdout, stderr := runCommand("config", "apply", "--folder", dir, "--who", "kimi", "--store", listener.Addr().String())
	if code != exitOK || !strings.Contains(stdout, "version 1") {
		t.Fatalf("code %d, stdout %q, stderr %q", code, stdout, stderr)
	}
}
