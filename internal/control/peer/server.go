package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// acceptRetryDelay is the wait after a failed accept, in which a process that has run out of file
// descriptors can recover.
const acceptRetryDelay = 50 * time.Millisecond

// Server accepts control streams on a TCP address.
type Server struct {
	config   Config
	listener net.Listener
}

// Listen accepts control streams at config.Address until Close or until config.Group stops.
func Listen(config Config) (s *Server, err error) {
	defer func() { err = errors.WithMessagef(err, "listen for control streams at %q", config.Address) }()
	if err = config.validate(); err != nil {
		return nil, err
	}
	if config.Address == "" {
		return nil, errors.New("Address must be set")
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	s = &Server{config: config, listener: listener}
	s.config.startTasks("control server")
	s.config.tasks.Go("accept", s.accept)
	s.config.tasks.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return listener.Close()
	})
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening, ends every stream and waits until the calls of the Handler have returned.
// It must not be called from the Handler.
func (s *Server) Close() error {
	s.config.tasks.Stop()
	return s.config.tasks.Wait()
}

// accept accepts connections and serves each in a task of its own until ctx ends.
func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			_ = level.Warn(s.config.Logger).Log("event", "control_stream_accept_failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		s.config.tasks.Go("stream", func(ctx context.Context) error {
			p, err := s.config.handshake(conn, false)
			if err != nil {
				_ = level.Info(s.config.Logger).Log("event", "control_stream_refused", "err", err)
				return nil
			}
			s.config.serve(ctx, p)
			return nil
		})
	}
}
