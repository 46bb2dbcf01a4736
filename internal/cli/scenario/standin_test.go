package scenario

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"agateramp/internal/load/history"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/backend"
	"agateramp/internal/standin/fabric"
)

// addressList is a flag that may repeat.
type addressList []string

func (l *addressList) String() string { return strings.Join(*l, ",") }

func (l *addressList) Set(text string) error {
	*l = append(*l, text)
	return nil
}

func fatal(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fabricMain is the fabric stand-in as a process, with its control interface.
func fabricMain() {
	control := flag.String("control", "", "HTTP address")
	geneve := flag.String("geneve", "", "Geneve address")
	var services addressList
	flag.Var(&services, "service", "SERVICE-ADDRESS=LISTEN")
	flag.Parse()
	tasks := group.New(context.Background())
	f, err := fabric.New(fabric.Config{Seed: 1, Group: tasks})
	fatal(err)
	port, err := f.ListenGeneve(netip.MustParseAddrPort(*geneve))
	fatal(err)
	for _, text := range services {
		address, listen, _ := strings.Cut(text, "=")
		_, err = f.BindService(netip.MustParseAddrPort(address), netip.MustParseAddrPort(listen))
		fatal(err)
		port.Route(netip.MustParseAddrPort(address))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /balancers/{name}", func(w http.ResponseWriter, r *http.Request) {
		var b fabric.Balancer
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.Name = r.PathValue("name")
		f.Add(b)
	})
	mux.HandleFunc("DELETE /balancers/{name}", func(_ http.ResponseWriter, r *http.Request) { f.Remove(r.PathValue("name")) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults fabric.Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(faults)
	})
	mux.HandleFunc("GET /sprayed", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Sprayed()) })
	serve(*control, mux)
}

// backendMain is the backend server stand-in as a process. It appends each start
// and end of a run to its record, which outlives the process.
func backendMain() {
	var c backend.Config
	service := flag.Uint("service", 0, "service id")
	flag.StringVar(&c.Name, "name", "", "host")
	flag.IntVar(&c.Slots, "slots", 1, "requests at once")
	flag.IntVar(&c.Speed, "speed", 1000, "speed in thousandths")
	listen := flag.String("listen", "", "UDP address")
	tunnel := flag.String("tunnel", "", "address of the tunnel device")
	fabricAddress := flag.String("fabric", "", "Geneve address of the fabric")
	control := flag.String("control", "", "HTTP address")
	record := flag.String("record", "", "file of the record")
	flag.Parse()
	file, err := os.OpenFile(*record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	fatal(err)
	c.Service, c.Group = uint32(*service), group.New(context.Background())
	c.Observe = func(r history.Run) {
		line, err := json.Marshal(r)
		fatal(err)
		_, err = file.Write(append(line, '\n'))
		fatal(err)
	}
	server, err := backend.New(c)
	fatal(err)
	_, err = server.ServeUDP(netip.MustParseAddrPort(*listen))
	fatal(err)
	_, err = backend.NewTunnel(backend.TunnelConfig{
		Listen: netip.MustParseAddrPort(*tunnel), Fabric: netip.MustParseAddrPort(*fabricAddress), Server: server,
	})
	fatal(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /busy", func(w http.ResponseWriter, _ *http.Request) {
		now, highest := server.Busy()
		_ = json.NewEncoder(w).Encode(map[string]int{"now": now, "highest": highest})
	})
	mux.HandleFunc("PUT /{what}", func(w http.ResponseWriter, r *http.Request) {
		value, err := strconv.Atoi(r.URL.Query().Get("value"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		switch r.PathValue("what") {
		case "service":
			server.SetService(uint32(value))
		case "speed":
			server.SetSpeed(value)
		case "hold":
			server.Hold(value != 0)
		default:
			http.NotFound(w, r)
		}
	})
	serve(*control, mux)
}

func serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	fatal(err)
	fatal(http.Serve(listener, handler))
}
