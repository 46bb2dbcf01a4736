// Package admin serves the administration API, metrics, health and readiness of a
// process over HTTP. What it reports comes from the role of the process, a balancer or
// an agent, which implements Process.
package admin

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/operator/adminpb"
	"agateramp/internal/process/group"
)

const (
	// shutdownGrace is how long requests in progress may take to finish at a stop.
	shutdownGrace = 2 * time.Second
	// headerTimeout closes connections that send no request.
	headerTimeout = 5 * time.Second
	// maxChangeIDs limits the change ids that are kept to recognise repeated requests. The
	// oldest are dropped first.
	maxChangeIDs = 1024
)

// ErrUnknownHost is returned if the process does not reach a host of that name.
var ErrUnknownHost = errors.New("unknown host")

// ErrUnknownService is returned if the process has no table of a service of that name.
var ErrUnknownService = errors.New("unknown service")

// Process is the role on which the API reports. Its methods are called concurrently.
type Process interface {
	// Status describes the process.
	Status() *adminpb.StatusResponse
	// Hosts lists the hosts of a service. It returns ErrUnknownService if there is none.
	Hosts(service string) (hosts []*adminpb.Host, err error)
	// Drain starts or ends draining of a host. It returns ErrUnknownHost if the
	// process does not reach the host.
	Drain(ctx context.Context, request *adminpb.DrainRequest) (err error)
}

// Config configures a Server.
type Config struct {
	// Address is where HTTP is served. It must be set; port 0 means any free port.
	Address netip.AddrPort
	// TLS is the server's TLS configuration. If nil, the server uses plaintext.
	TLS *tls.Config
	// Process is the role on which the API reports. It must be set.
	Process Process
	// Metrics serves /metrics. It must be set.
	Metrics http.Handler
	// Group runs the server. It must be set.
	Group *group.Group
}

// Server serves the API. Its methods are safe for concurrent use.
type Server struct {
	process Process
	address netip.AddrPort

	mu sync.Mutex
	// appliedIDs holds the change ids of applied drain requests, and appliedOrder the same ids from the
	// oldest to the newest.
	appliedIDs   map[string]struct{}
	appliedOrder []string
}

var _ adminpb.AdminServiceHandler = (*Server)(nil)

// New starts to listen and serves until the group is stopped. It does not block.
func New(c Config) (s *Server, err error) {
	defer func() { err = errors.WithMessage(err, "serve admin API") }()
	s = &Server{process: c.Process, appliedIDs: make(map[string]struct{})}
	listener, err := net.Listen("tcp", c.Address.String())
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: s.routes(c.Metrics), ReadHeaderTimeout: headerTimeout, Protocols: protocols()}
	if c.TLS != nil {
		listener = tls.NewListener(listener, c.TLS)
	}
	c.Group.Go("admin API", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.Group.Go("admin API stop", func(ctx context.Context) error {
		<-ctx.Done()
		deadline, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		return server.Shutdown(deadline)
	})
	return s, nil
}

// protocols returns HTTP/1 and HTTP/2, also without TLS, which gRPC clients use.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

func (s *Server) routes(metrics http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(adminpb.NewAdminServiceHandler(s))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReadiness)
	return mux
}

func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.process.Status().GetReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status implements the API.
func (s *Server) Status(context.Context, *connect.Request[adminpb.StatusRequest]) (*connect.Response[adminpb.StatusResponse], error) {
	return connect.NewResponse(s.process.Status()), nil
}

// ListServices implements the API.
func (s *Server) ListServices(
	context.Context, *connect.Request[adminpb.ListServicesRequest],
) (*connect.Response[adminpb.ListServicesResponse], error) {
	return connect.NewResponse(&adminpb.ListServicesResponse{Services: s.process.Status().GetServices()}), nil
}

// ListHosts implements the API.
func (s *Server) ListHosts(
	_ context.Context, request *connect.Request[adminpb.ListHostsRequest],
) (*connect.Response[adminpb.ListHostsResponse], error) {
	hosts, err := s.process.Hosts(request.Msg.GetService())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&adminpb.ListHostsResponse{Hosts: hosts}), nil
}

// Drain implements the API. If the change id was already applied, Drain does nothing and
// the response has Applied unset.
func (s *Server) Drain(
	ctx context.Context, request *connect.Request[adminpb.DrainRequest],
) (*connect.Response[adminpb.DrainResponse], error) {
	if request.Msg.GetChangeId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("change_id is needed"))
	}
	if s.isApplied(request.Msg.GetChangeId()) {
		return connect.NewResponse(&adminpb.DrainResponse{}), nil
	}
	if err := s.process.Drain(ctx, request.Msg); err != nil {
		return nil, connectError(err)
	}
	s.recordApplied(request.Msg.GetChangeId())
	return connect.NewResponse(&adminpb.DrainResponse{Applied: true}), nil
}

func (s *Server) isApplied(changeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.appliedIDs[changeID]
	return ok
}

func (s *Server) recordApplied(changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedIDs[changeID] = struct{}{}
	s.appliedOrder = append(s.appliedOrder, changeID)
	if len(s.appliedOrder) > maxChangeIDs {
		delete(s.appliedIDs, s.appliedOrder[0])
		s.appliedOrder = s.appliedOrder[1:]
	}
}

func connectError(err error) error {
	switch {
	case errors.Is(err, ErrUnknownHost), errors.Is(err, ErrUnknownService):
		return connect.NewError(connect.CodeNotFound, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}
