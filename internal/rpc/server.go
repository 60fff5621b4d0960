// Package rpc carries control messages between the system's processes: JSON-RPC 2.0 over TCP, with one connection
// per pair of processes and a deadline on every call.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Method handles one call. Its result is encoded as JSON; its error is sent as a refusal.
type Method func(ctx context.Context, params json.RawMessage) (any, error)

const codeRefused = -32000 // JSON-RPC error code; the error's data is a refusal

// Server serves calls on a listener.
type Server struct {
	listener net.Listener
	methods  map[string]Method
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
	tasks    conc.WaitGroup
}

// Serve serves the methods on the listener until Close.
func Serve(listener net.Listener, methods map[string]Method) *Server {
	server := &Server{listener: listener, methods: methods, conns: make(map[*jsonrpc2.Conn]struct{})}
	server.tasks.Go(server.accept)
	return server
}

// Close closes the listener and all connections, and waits until they have ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if tcp, ok := socket.(*net.TCPConn); ok {
			_ = tcp.SetKeepAlive(false) // clients close idle connections
		}
		stream := jsonrpc2.NewBufferedStream(socket, objectCodec{})
		conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)))
		s.track(conn)
	}
}

func (s *Server) track(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	if s.closed { // it was accepted while Close looked at the others
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Go(func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	method, ok := s.methods[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := method(ctx, params)
	if err != nil {
		return nil, encodeRefusal(err)
	}
	return result, nil
}

func encodeRefusal(err error) *jsonrpc2.Error {
	refusal := fault.RefusalOf(err, fault.NotRun)
	rpcErr := &jsonrpc2.Error{Code: codeRefused, Message: refusal.Message}
	rpcErr.SetError(refusal)
	return rpcErr
}

// Handle adapts a function with typed parameters and result to a Method.
func Handle[Request, Result any](serve func(context.Context, Request) (Result, error)) Method {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Request
		if len(params) > 0 {
			if err := json.Unmarshal(params, &request); err != nil {
				return nil, fault.Wrap(err, fault.BadRequest, "the parameters do not fit this method", "send the parameters that package wire defines")
			}
		}
		return serve(ctx, request)
	}
}
