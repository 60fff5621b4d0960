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

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/ingress"
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

// ReadBody returns a handler that reads the body of a request, at most the limit in bytes, as the guard of its connection allows. The
// app must have StreamRequestBody set, since fasthttp would allocate bodies by the length that is stated.
func ReadBody(limit int64) fiber.Handler {
	return func(c fiber.Ctx) error {
		account := accountOf(c.RequestCtx().Conn())
		err := account.HeadRead(nil) // its bytes were counted as they arrived
		if stream := c.Request().BodyStream(); err == nil && stream != nil {
			var body []byte
			if body, err = account.ReadBody(stream, int64(c.Request().Header.ContentLength()), limit); err == nil {
				c.Request().SetBodyRaw(body)
			}
		}
		if err == nil {
			err = account.Arrived()
		}
		var refusal *ingress.Refusal
		switch {
		case err == nil:
			return c.Next()
		case errors.As(err, &refusal):
			c.Set(fiber.HeaderConnection, "close")
			return c.Status(refusal.Status).JSON(fault.RefusalOf(refusal, fault.NotRun))
		case errors.Is(err, ingress.ErrBodyTooLong):
			c.Set(fiber.HeaderConnection, "close")
			return fiber.ErrRequestEntityTooLarge
		default:
			c.Set(fiber.HeaderConnection, "close")
			return fiber.ErrBadRequest
		}
	}
}

// accountOf returns the account of a connection of a fiber server; nil without limits.
func accountOf(netConn net.Conn) *ingress.Conn {
	if wrapped, ok := netConn.(interface{ NetConn() net.Conn }); ok {
		netConn = wrapped.NetConn()
	}
	if c, ok := netConn.(*conn); ok {
		return c.account
	}
	return nil
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
