// Package backend defines what an agent requires of its back end, a model engine or a plain service, and provides the
// HTTP client for both.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/stream"
)

// Call is a request to a back end.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	NewConn     bool // use a new connection, so that a failure to connect proves that nothing was sent
}

// Caller sends requests to a back end. The body of a response ends with io.EOF only if it is complete.
type Caller interface {
	Call(ctx context.Context, call Call) (*stream.Response, error)
}

// Order tells an engine what to load or which role to take. Engines that check fencing numbers refuse an order with a
// lower number than the last one.
type Order struct {
	Version core.VersionID   `json:"version"`
	Fence   core.FenceNumber `json:"fence"`
	Adapter string           `json:"adapter,omitempty"` // for LoadAdapter
	Role    EngineRole       `json:"role,omitempty"`    // for SetRole
}

// EngineRole is the part of a request that an engine runs.
type EngineRole string

// The roles of engines.
const (
	RoleWhole   EngineRole = "whole"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// EngineState is what an engine has loaded and is running.
type EngineState struct {
	Version       core.VersionID   `json:"version"`  // as named in the order
	WeightsSHA256 string           `json:"contents"` // SHA-256 of the weights in lower-case hex
	Fence         core.FenceNumber `json:"fence"`
	Incarnation   string           `json:"life"`    // changes when the engine restarts
	Running       int              `json:"running"` // requests
	Adapters      []string         `json:"adapters,omitempty"`
	Role          EngineRole       `json:"role,omitempty"`
}

// Engine is a model engine.
type Engine interface {
	Caller
	// Load streams size bytes of weights to the engine and returns when it has loaded them.
	Load(ctx context.Context, order Order, weights io.Reader, size int64) error
	// Unload removes the loaded weights.
	Unload(ctx context.Context, order Order) error
	// LoadAdapter streams size bytes of an adapter for the loaded version.
	LoadAdapter(ctx context.Context, order Order, adapter io.Reader, size int64) error
	// SetRole changes the engine's role.
	SetRole(ctx context.Context, order Order) error
	// State returns what the engine has loaded and is running.
	State(ctx context.Context) (EngineState, error)
}

const (
	progressTimeout = 20 * time.Second // wait for the next byte; a cold engine can take long to produce its first token
	maxConnsPerHost = 1024
	maxAdminConns   = 16 // orders and queries of the state at a time

	stateTimeout  = 10 * time.Second
	maxStateBytes = 1 << 20 // room for some ten thousand adapters
	// orderTimeout bounds an order; the size of its content divided by minContentBytesPerS is added.
	orderTimeout        = 10 * time.Minute
	minContentBytesPerS = 1 << 20
)

// HTTP is an HTTP client of a back end. It implements Engine.
type HTTP struct {
	address string
	client  *stream.Client
	admin   *stream.Client // for the /admin endpoints, which may be silent for as long as the request's context lasts
}

// NewHTTP returns a client of the back end at address, an IP address and port.
func NewHTTP(address string) *HTTP {
	client := stream.NewClient(progressTimeout, maxConnsPerHost)
	client.ConfirmEnds = true
	return &HTTP{
		address: address,
		client:  client,
		admin:   stream.NewClient(0, maxAdminConns),
	}
}

// Call implements Caller.
func (h *HTTP) Call(ctx context.Context, call Call) (*stream.Response, error) {
	return h.client.Do(ctx, stream.Request{
		Method:      call.Method,
		Address:     h.address,
		Target:      call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
		NewConn:     call.NewConn,
	})
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context, order Order, weights io.Reader, size int64) error {
	return h.sendOrder(ctx, "/admin/load", order, weights, size)
}

// Unload implements Engine.
func (h *HTTP) Unload(ctx context.Context, order Order) error {
	return h.sendOrder(ctx, "/admin/unload", order, http.NoBody, 0)
}

// LoadAdapter implements Engine.
func (h *HTTP) LoadAdapter(ctx context.Context, order Order, adapter io.Reader, size int64) error {
	return h.sendOrder(ctx, "/admin/adapter", order, adapter, size)
}

// SetRole implements Engine.
func (h *HTTP) SetRole(ctx context.Context, order Order) error {
	return h.sendOrder(ctx, "/admin/role", order, http.NoBody, 0)
}

// sendOrder posts an order with size bytes of content and returns when the engine has carried it out.
func (h *HTTP) sendOrder(ctx context.Context, path string, order Order, content io.Reader, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+time.Duration(size/minContentBytesPerS)*time.Second)
	defer cancel()
	response, err := h.admin.Do(ctx, stream.Request{
		Method:  http.MethodPost,
		Address: h.address,
		Target:  path,
		Header: map[string]string{
			"X-Version": string(order.Version),
			"X-Adapter": order.Adapter,
			"X-Role":    string(order.Role),
			"X-Fence":   strconv.FormatUint(uint64(order.Fence), 10),
		},
		Content:     content,
		ContentSize: size,
	})
	if err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the engine did not respond to the order", "check that the engine is running")
	}
	defer response.Close()
	switch response.Status {
	case http.StatusOK:
	case http.StatusConflict:
		return fault.New(fault.Conflict, "the engine refused the order's fencing number", "read the engine's state and send a new order")
	default:
		return fault.New(fault.EndpointFault, fmt.Sprintf("the engine answered the order with status %d", response.Status), "read the engine's log")
	}
	if err := response.ReadToEnd(); err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the engine's answer to the order broke off", "read the engine's state and send the order again")
	}
	return nil
}

// State implements Engine.
func (h *HTTP) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	response, err := h.admin.Do(ctx, stream.Request{Method: http.MethodGet, Address: h.address, Target: "/admin/state"})
	if err != nil {
		return state, fault.Wrap(err, fault.EndpointFault, "the engine did not respond to the query for its state", "check that the engine is running")
	}
	defer response.Close()
	raw, err := response.ReadAll(maxStateBytes)
	if err == nil {
		err = json.Unmarshal(raw, &state)
	}
	if err != nil {
		return EngineState{}, fault.Wrap(err, fault.EndpointFault, "the engine's state cannot be decoded", "check the engine's version")
	}
	return state, nil
}
