// Package graceful stops an HTTP server without losing requests that have reached it. Server.Shutdown of net/http closes the
// listener with the connections that are not accepted yet, and idle connections whose next request has arrived but has not
// been read; their callers get no answer, and cannot know that the requests have not run.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/ingress"
)

const (
	// checkInterval is the time between two looks at the open connections.
	checkInterval = 10 * time.Millisecond
	// firstRequestTimeout is how long a connection may be open without a request before it counts as idle. Callers may connect
	// before they have a request.
	firstRequestTimeout = 5 * time.Second
)

// httpServer is the part of http.Server that a Server needs.
type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Server serves HTTP on one listener.
type Server struct {
	server   httpServer
	listener *listener
	serving  atomic.Bool   // Serve has been called
	served   chan struct{} // closed when Serve ends

	mu    sync.Mutex
	conns map[*conn]connState
}

// connState is the state of a connection since a time.
type connState struct {
	state http.ConnState
	since time.Time
}

// NewServer returns a server that has not started. It sets the server's ConnState and ConnContext.
func NewServer(server *http.Server, tcp *net.TCPListener) *Server {
	s := newServer(server, tcp)
	server.ConnState = s.recordState
	server.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		if c, ok := netConn.(*conn); ok && c.account != nil {
			return ingress.WithConn(ctx, c.account)
		}
		return ctx
	}
	return s
}

func newServer(server httpServer, tcp *net.TCPListener) *Server {
	return &Server{server: server, listener: newListener(tcp), served: make(chan struct{}), conns: make(map[*conn]connState)}
}

// Limit makes the guard account for the connections. It must be called before Serve.
func (s *Server) Limit(guard *ingress.Guard) { s.listener.guard = guard }

// Serve serves until Shutdown or Close. Its error is that of http.Server.Serve.
func (s *Server) Serve() error {
	s.serving.Store(true)
	defer close(s.served)
	return s.server.Serve(s.listener)
}

// Close closes the listener and all connections, whatever they are doing.
func (s *Server) Close() error { return s.server.Close() }

// Shutdown accepts the connections that wait at the listener, closes it, and waits until all requests have been answered. It
// closes connections while they are idle and returns the context's error if others remain. Handlers must set "Connection:
// close" from then on, so that connections are not kept for further requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.serving.Load() {
		_ = s.listener.Close() // nothing was accepted
		return s.server.Shutdown(ctx)
	}
	s.listener.finish(ctx)
	select {
	case <-s.served:
	case <-ctx.Done():
		return ctx.Err()
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.closeIdle(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.server.Shutdown(ctx) // no connection is left; this ends its bookkeeping
}

// recordState records the state of a connection for Shutdown.
func (s *Server) recordState(netConn net.Conn, state http.ConnState) {
	if wrapped, ok := netConn.(interface{ NetConn() net.Conn }); ok {
		netConn = wrapped.NetConn()
	}
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		c.account.Closed()
		return
	}
	if state == http.StateIdle {
		c.becomeIdle()
	}
	s.conns[c] = connState{state: state, since: time.Now()}
}

// closeIdle closes the connections on which no request has arrived, and returns the number of the others.
func (s *Server) closeIdle(now time.Time) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, current := range s.conns {
		idle := current.state == http.StateIdle || current.state == http.StateNew && now.Sub(current.since) > firstRequestTimeout
		if idle && c.closeIfIdle() {
			delete(s.conns, c)
			continue
		}
		left++
	}
	return left
}
