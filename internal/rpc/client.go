package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	dialTimeout = time.Second
	idleTimeout = 10 * time.Second // after the last call on a connection
)

// Client calls other processes. It keeps one connection per address; each call first closes the connections
// that have been idle for longer than idleTimeout. It closes a connection when a call on it times out, because a
// connection can stop working permanently while new ones to the same address work. It sends no TCP keep-alives: with
// hundreds of peers they would cost more than the calls.
type Client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	uses  map[*jsonrpc2.Conn]*connUse
}

// connUse tracks the use of a connection.
type connUse struct {
	activeCalls int
	lastUsed    time.Time
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{conns: make(map[string]*jsonrpc2.Conn), uses: make(map[*jsonrpc2.Conn]*connUse)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
		delete(c.uses, conn)
	}
}

// CloseConn closes the connection to the address, so that the next call opens a new one.
func (c *Client) CloseConn(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	delete(c.uses, conn)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// ErrNotConnected is returned by CallConnected if there is no open connection.
var ErrNotConnected = errors.New("there is no open connection to the process; open one with Call")

// Call calls the method of the process at the address and decodes its result into result, which must be a pointer.
// The context must have a deadline.
// After an error of kind Interrupted, the call may or may not have taken effect.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Interrupted, "no connection to "+address, "check that the process runs and that it can be reached over the network")
	}
	return c.callOn(ctx, conn, address, method, params, result)
}

// CallConnected is like Call, but returns ErrNotConnected instead of opening a connection. All calls over one connection
// reach the same process, so a caller can rely on what that process answered before.
func (c *Client) CallConnected(ctx context.Context, address, method string, params, result any) error {
	conn := c.acquire(address)
	if conn == nil {
		return ErrNotConnected
	}
	return c.callOn(ctx, conn, address, method, params, result)
}

// callOn calls the method over the connection, which the caller has acquired, and releases it.
func (c *Client) callOn(ctx context.Context, conn *jsonrpc2.Conn, address, method string, params, result any) error {
	err := conn.Call(ctx, method, params, result)
	c.release(conn)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return decodeRefusal(rpcErr)
	}
	if err != nil {
		c.CloseConn(address)
		return fault.Wrap(err, fault.Interrupted, method+" at "+address+" got no answer", "call again over a new connection")
	}
	return nil
}

// connect returns a connection to the address, opening one if needed, and counts one more active call on it.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn := c.acquire(address); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(socket, objectCodec{})
	created := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectCalls))
	if existing := c.acquire(address); existing != nil {
		_ = created.Close()
		return existing, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = created
	c.uses[created] = &connUse{activeCalls: 1}
	return created, nil
}

// acquire returns the open connection to the address and counts one more active call on it, or returns nil if there
// is none. It also closes idle connections.
func (c *Client) acquire(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle(time.Now())
	conn := c.conns[address]
	if conn == nil || isDisconnected(conn) {
		return nil
	}
	c.uses[conn].activeCalls++
	return conn
}

func (c *Client) release(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if use := c.uses[conn]; use != nil {
		use.activeCalls--
		use.lastUsed = time.Now()
	}
}

// closeIdle closes connections that have been idle for longer than idleTimeout and removes those that the peer
// closed. The caller holds c.mu.
func (c *Client) closeIdle(now time.Time) {
	for address, conn := range c.conns {
		use := c.uses[conn]
		if isDisconnected(conn) || use.activeCalls == 0 && now.Sub(use.lastUsed) > idleTimeout {
			delete(c.conns, address)
			delete(c.uses, conn)
			_ = conn.Close()
		}
	}
}

func isDisconnected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func rejectCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "the client side of a connection serves no methods"}
}

func decodeRefusal(rpcErr *jsonrpc2.Error) error {
	var refusal fault.Refusal
	if rpcErr.Data == nil || json.Unmarshal(*rpcErr.Data, &refusal) != nil {
		return fault.New(fault.Internal, rpcErr.Message, "see the log of the called process")
	}
	return fault.FromRefusal(refusal)
}
