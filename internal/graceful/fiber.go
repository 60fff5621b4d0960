package graceful

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/lovageglade/lovageglade/internal/stream"
)

// NewFiberServer returns a server of the app that has not started. It sets the ConnState of the app's server. A write to a
// connection fails after writeTimeout without progress. The app must use CloseWhile.
func NewFiberServer(app *fiber.App, tcp *net.TCPListener, writeTimeout time.Duration) *Server {
	s := newServer(&fiberServer{app: app, writeTimeout: writeTimeout}, tcp)
	app.Server().ConnState = func(netConn net.Conn, state fasthttp.ConnState) { s.recordState(netConn, stateOf[state]) }
	return s
}

// CloseWhile returns a handler that makes answers state that the connection is closed after them, while stopping is set.
func CloseWhile(stopping *atomic.Bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		if stopping.Load() {
			c.Set(fiber.HeaderConnection, "close")
		}
		return c.Next()
	}
}

var stateOf = map[fasthttp.ConnState]http.ConnState{
	fasthttp.StateNew:      http.StateNew,
	fasthttp.StateActive:   http.StateActive,
	fasthttp.StateIdle:     http.StateIdle,
	fasthttp.StateHijacked: http.StateHijacked,
	fasthttp.StateClosed:   http.StateClosed,
}

// fiberServer is the httpServer of an app.
type fiberServer struct {
	app          *fiber.App
	writeTimeout time.Duration
}

// Serve implements httpServer.
func (s *fiberServer) Serve(l net.Listener) error {
	return s.app.Listener(stream.NewListener(endingListener{l}, s.writeTimeout), fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown implements httpServer.
func (s *fiberServer) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// Close implements httpServer. Connections with open requests remain until they are answered.
func (s *fiberServer) Close() error {
	ended, end := context.WithCancel(context.Background())
	end()
	return s.app.ShutdownWithContext(ended)
}

// endingListener ends with io.EOF, which fasthttp takes for the end of the listener and not for a failure.
type endingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l endingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, http.ErrServerClosed) {
		return nil, io.EOF
	}
	return c, err
}
