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

const dialTimeout = time.Second

// Client calls other processes. It keeps one connection to each address and drops it when a call times out, since a
// connection can go silent for good while new ones work.
type Client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{conns: make(map[string]*jsonrpc2.Conn)}
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Forget drops the connection to the address, so that the next call opens a fresh one.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Call sends the request to the address and decodes the answer. The context must carry a deadline. An error of kind
// Interrupted says nothing of whether the call took effect.
func (c *Client) Call(ctx context.Context, address, method string, request, answer any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Interrupted, "no connection to "+address, "check that the process runs and the network lets it be reached")
	}
	err = conn.Call(ctx, method, request, answer)
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return decodeRefusal(refused)
	}
	if err != nil {
		c.Forget(address)
		return fault.Wrap(err, fault.Interrupted, method+" at "+address+" got no answer", "ask again over a fresh connection")
	}
	return nil
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil && !closed(conn) {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(socket, jsonrpc2.VarintObjectCodec{})
	fresh := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCalls))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil && !closed(other) {
		_ = fresh.Close()
		return other, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

func closed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers no calls"}
}

func decodeRefusal(refused *jsonrpc2.Error) error {
	var refusal fault.Refusal
	if refused.Data == nil || json.Unmarshal(*refused.Data, &refusal) != nil {
		return fault.New(fault.Internal, refused.Message, "read the log of the process that was called")
	}
	return fault.FromRefusal(refusal)
}
