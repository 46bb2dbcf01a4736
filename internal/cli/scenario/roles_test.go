package scenario

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/operator/config"
	"agateramp/internal/process/group"
)

// service is how callers reach a service of the script.
type service struct {
	name string
	// address is the one in the configuration.
	address netip.AddrPort
}

func newGroup() *group.Group { return group.New(context.Background()) }

// wait is a task that waits for the process.
func (p *process) wait(context.Context) error {
	_ = p.command.Wait()
	p.code = p.command.ProcessState.ExitCode()
	close(p.ended)
	return nil
}

// cmdStore runs the store or switches its faults: store start, store down,
// store up, store delay MILLISECONDS, store lose ANSWERS, store snapshot, store restore.
func cmdStore(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "store start|down|up|delay MS|lose N|snapshot|restore")
	f := fleetOf(ts)
	value := 0
	if len(args) > 1 {
		var err error
		value, err = strconv.Atoi(args[1])
		ts.Check(err)
	}
	faults := map[string]any{}
	switch args[0] {
	case "start":
		ts.Check(f.start("store", "agateramp", "dev", "--store-only", "--listen", f.address("store")))
		ts.Setenv("STORE", f.address("store"))
		f.await(ts, "store", func() (bool, string) { return reachable("http://" + f.address("store") + "/faults") })
		return
	case "snapshot", "restore":
		ts.Check(call(http.MethodPost, "http://"+f.address("store")+"/"+args[0], nil, nil))
		return
	case "down":
		faults["down"] = true
	case "up":
	case "delay":
		faults["delay_ms"] = value
	case "lose":
		faults["lose_answers"] = value
	default:
		ts.Fatalf("store: unknown fault %s", args[0])
	}
	ts.Check(call(http.MethodPut, "http://"+f.address("store")+"/faults", faults, nil))
}

// cmdFabric runs the fabric or disturbs it: fabric start SERVICE=ADDRESS...,
// fabric add BALANCER..., fabric remove BALANCER..., fabric faults JSON.
func cmdFabric(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "fabric start|add|remove|faults ARGUMENT...")
	f := fleetOf(ts)
	control := "http://" + f.address("fabric.control")
	switch args[0] {
	case "start":
		command := []string{"fabric-standin", "-control", f.address("fabric.control"), "-geneve", f.address("fabric.geneve")}
		for _, arg := range args[1:] {
			name, text, _ := strings.Cut(arg, "=")
			address, err := netip.ParseAddrPort(text)
			ts.Check(err)
			f.services[name] = &service{name: name, address: address}
			command = append(command, "-service", text+"="+f.address("fabric."+name))
			ts.Setenv("TARGET_"+name, f.address("fabric."+name))
		}
		ts.Check(f.start("fabric", command...))
		f.await(ts, "fabric", func() (bool, string) { return reachable(control + "/sprayed") })
	case "add":
		for _, name := range args[1:] {
			ts.Check(f.spray(name))
		}
	case "remove":
		for _, name := range args[1:] {
			ts.Check(call(http.MethodDelete, control+"/balancers/"+name, nil, nil))
		}
	case "faults":
		ts.Check(call(http.MethodPut, control+"/faults", json.RawMessage(args[1]), nil))
	default:
		ts.Fatalf("fabric: unknown action %s", args[0])
	}
}

// spray has the fabric use a balancer.
func (f *fleet) spray(name string) error {
	services := map[string]string{}
	for _, s := range f.services {
		services[s.address.String()] = f.address(name + "." + s.name)
	}
	return call(http.MethodPut, "http://"+f.address("fabric.control")+"/balancers/"+name,
		map[string]any{"Data": f.address(name + ".data"), "Services": services}, nil)
}

func (f *fleet) common(name, dataCentre string) map[string]any {
	return map[string]any{
		"name": name, "data_centre": dataCentre, "data_address": f.address(name + ".data"),
		"control_address": f.address(name + ".control"), "http_address": f.address(name + ".http"),
	}
}

// cmdBalancer starts a balancer: balancer NAME DATA-CENTRE [SEED...]. It does not
// wait, and the fabric doesn't use the balancer yet.
func cmdBalancer(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "balancer NAME DATA-CENTRE [SEED...]")
	f, name := fleetOf(ts), args[0]
	own := f.common(name, args[1])
	own["store_endpoints"] = []string{f.via("store")}
	own["fabric_addresses"] = []string{f.address("fabric.geneve")}
	var binds []map[string]string
	for _, s := range f.services {
		binds = append(binds, map[string]string{"service_address": s.address.String(), "bind_address": f.address(name + "." + s.name)})
	}
	own["datagram_binds"] = binds
	var seeds []string
	for _, seed := range args[2:] {
		seeds = append(seeds, f.address(seed+".control"))
	}
	own["seeds"] = seeds
	f.run(ts, "balancer", name, own)
}

// run writes the settings of a role, starts it and sets its HTTP address.
func (f *fleet) run(ts *testscript.TestScript, role, name string, settings map[string]any) {
	text, err := json.MarshalIndent(settings, "", "  ")
	ts.Check(err)
	file := ts.MkAbs(name + ".json")
	ts.Check(os.WriteFile(file, text, 0o600))
	ts.Check(f.start(name, "agateramp", role, "--settings", file))
	f.roles[name] = role
	ts.Setenv("HTTP_"+strings.ReplaceAll(name, "-", "_"), f.address(name+".http"))
}

// cmdBackend runs a backend server or disturbs it: backend start HOST
// SERVICE-ID SLOTS [SPEED], backend set HOST service|speed|hold VALUE.
func cmdBackend(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "backend start HOST SERVICE-ID SLOTS [SPEED], backend set HOST service|speed|hold VALUE")
	f, host := fleetOf(ts), args[1]
	control := "http://" + f.address(host+".backend-control")
	if args[0] == "set" {
		ts.Check(call(http.MethodPut, control+"/"+args[2]+"?value="+args[3], nil, nil))
		return
	}
	speed := "1000"
	if len(args) > 4 {
		speed = args[4]
	}
	ts.Check(f.start(host+".backend", "backend-standin", "-name", host, "-service", args[2], "-slots", args[3], "-speed", speed,
		"-listen", f.address(host+".backend"), "-tunnel", f.address(host+".tunnel"), "-fabric", f.address("fabric.geneve"),
		"-control", f.address(host+".backend-control"), "-record", f.recordFile(host)))
	f.await(ts, host, func() (bool, string) { return reachable(control + "/busy") })
}

// cmdAgent starts an agent beside the backend server of its host:
// agent HOST SERVICE DATA-CENTRE SLOTS [BALANCER,...] [geneve] [data=HOST].
func cmdAgent(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "agent HOST SERVICE DATA-CENTRE SLOTS [BALANCER,...] [geneve] [data=HOST]")
	f, host := fleetOf(ts), args[0]
	own := f.common(host, args[2])
	own["service"] = args[1]
	slots, err := strconv.Atoi(args[3])
	ts.Check(err)
	backend := map[string]any{"address": f.address(host + ".backend"), "slots": slots}
	names := []string{"balancer-1", "balancer-2", "balancer-3"}
	for _, arg := range args[4:] {
		other, found := strings.CutPrefix(arg, "data=")
		switch {
		case found:
			own["data_address"] = f.address(other + ".data")
		case arg == "geneve":
			backend["mode"], backend["address"] = "geneve", f.address(host+".tunnel")
		default:
			names = strings.Split(arg, ",")
		}
	}
	own["backend"] = backend
	var balancers []string
	for _, name := range names {
		balancers = append(balancers, f.via(name+".control"))
	}
	own["balancers"] = balancers
	f.run(ts, "agent", host, own)
}

// cmdSettled waits until every running role is ready and every running balancer
// has that many hosts of a service: settled SERVICE HOSTS.
func cmdSettled(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "settled SERVICE HOSTS")
	f := fleetOf(ts)
	f.await(ts, "settled", func() (ok bool, seen string) {
		for name, role := range f.roles {
			if f.process(name).hasEnded() {
				continue
			}
			if ok, seen = compareAt(f.admin(name, "Status", nil), []string{"ready", "==", "true"}); !ok {
				return false, name + " ready: " + seen
			}
			if role != "balancer" {
				continue
			}
			hosts := f.admin(name, "ListHosts", map[string]string{"service": args[0]})
			if ok, seen = compareAt(hosts, []string{"hosts.count", "==", args[1]}); !ok {
				return false, name + " hosts: " + seen
			}
		}
		return true, ""
	})
}

// cmdApply applies a configuration folder: apply FOLDER.
func cmdApply(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "apply FOLDER")
	f := fleetOf(ts)
	source, err := config.ReadFolder(os.DirFS(ts.MkAbs(args[0])))
	ts.Check(err)
	ts.Check(f.withStore(func(ctx context.Context, client *etcd.Client) error {
		result, err := config.Apply(ctx, client, config.Change{ID: rand.Text(), Who: "scenario", From: "localhost", Source: source})
		ts.Logf("configuration version %d", result.Version)
		return err
	}))
	ts.Check(f.readDefinitions())
}

func (f *fleet) withStore(do func(ctx context.Context, client *etcd.Client) error) (err error) {
	client, err := etcd.New(etcd.Config{Endpoints: []string{f.address("store")}, UserAgent: "scenario"})
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	return do(ctx, client)
}

// cmdDefinitions reads the services of a configuration that the script applied by
// the command line, for load.
func cmdDefinitions(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "definitions")
	ts.Check(fleetOf(ts).readDefinitions())
}

// readDefinitions keeps the services of the configuration in force, so that load
// starts also while the store is down.
func (f *fleet) readDefinitions() error {
	return f.withStore(func(ctx context.Context, client *etcd.Client) error {
		snapshot, err := config.Load(ctx, client)
		if err != nil {
			return err
		}
		for _, s := range snapshot.Services() {
			f.definitions[s.Definition.GetName()] = s.Definition
		}
		return nil
	})
}

var httpClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request with a JSON body and reads the answer into result.
func call(method, url string, body, result any) (err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, url, response.Status, text)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(text, result)
}

func reachable(url string) (ok bool, seen string) {
	if err := call(http.MethodGet, url, nil, nil); err != nil {
		return false, err.Error()
	}
	return true, ""
}
