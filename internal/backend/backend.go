// Package backend names what an agent asks of its back end, a model engine or a plain service, and holds the HTTP
// clients that speak to them.
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
	Fresh       bool // over a connection of its own, so that a failure to connect proves that nothing was sent
}

// Caller runs requests. The answer's body ends with io.EOF only when it is whole.
type Caller interface {
	Call(ctx context.Context, call Call) (*stream.Response, error)
}

// Order tells an engine what to hold or to do. Engines that check fences refuse one that is lower than the last.
type Order struct {
	Version core.VersionID   `json:"version"`
	Fence   core.FenceNumber `json:"fence"`
	Adapter string           `json:"adapter,omitempty"` // name of an adapter, of LoadAdapter
	Role    EngineRole       `json:"role,omitempty"`    // of SetRole
}

// EngineRole says which part of a request an engine runs.
type EngineRole string

// The roles of engines.
const (
	RoleWhole   EngineRole = "whole"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// EngineState is what an engine holds and bears.
type EngineState struct {
	Version  core.VersionID   `json:"version"`  // as the order named it
	Contents string           `json:"contents"` // SHA-256 of the weights in lower-case hex
	Fence    core.FenceNumber `json:"fence"`
	Life     string           `json:"life"` // changes when the engine restarts
	Running  int              `json:"running"`
	Adapters []string         `json:"adapters,omitempty"`
	Role     EngineRole       `json:"role,omitempty"`
}

// Engine is a model engine.
type Engine interface {
	Caller
	// Load streams size bytes of weights to the engine and returns once it holds them.
	Load(ctx context.Context, order Order, weights io.Reader, size int64) error
	// Unload drops the weights that the engine holds.
	Unload(ctx context.Context, order Order) error
	// LoadAdapter streams size bytes of an adapter of the version that the engine holds.
	LoadAdapter(ctx context.Context, order Order, adapter io.Reader, size int64) error
	// SetRole changes the engine's role.
	SetRole(ctx context.Context, order Order) error
	State(ctx context.Context) (EngineState, error)
}

const (
	progressTimeout = 20 * time.Second // a cold engine may take long to its first token
	maxConnsPerHost = 1024
)

// HTTP speaks to a back end by HTTP. It implements Engine.
type HTTP struct {
	address string
	client  *stream.Client
	admin   *http.Client
}

// NewHTTP returns a client of the back end at the IP number and port.
func NewHTTP(address string) *HTTP {
	return &HTTP{
		address: address,
		client:  stream.NewClient(progressTimeout, maxConnsPerHost),
		admin:   &http.Client{},
	}
}

// Call implements Caller.
func (h *HTTP) Call(_ context.Context, call Call) (*stream.Response, error) {
	return h.client.Do(stream.Request{
		Method:      call.Method,
		URL:         "http://" + h.address + call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
		Fresh:       call.Fresh,
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

func (h *HTTP) sendOrder(ctx context.Context, path string, order Order, content io.Reader, size int64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, content)
	if err != nil {
		return err
	}
	request.ContentLength = size
	request.Header.Set("X-Version", string(order.Version))
	request.Header.Set("X-Adapter", order.Adapter)
	request.Header.Set("X-Role", string(order.Role))
	request.Header.Set("X-Fence", strconv.FormatUint(uint64(order.Fence), 10))
	response, err := h.admin.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the engine gave no answer to the order", "check that the engine runs")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return fault.New(fault.Conflict, "the engine refused the order's fencing number", "read back what the engine holds and order again")
	}
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.EndpointFault, fmt.Sprintf("the engine answered the order with status %d", response.StatusCode), "read the engine's log")
	}
	return nil
}

// State implements Engine.
func (h *HTTP) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+"/admin/state", nil)
	if err != nil {
		return state, err
	}
	response, err := h.admin.Do(request)
	if err != nil {
		return state, fault.Wrap(err, fault.EndpointFault, "the engine does not report its state", "check that the engine runs")
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return state, fault.Wrap(err, fault.EndpointFault, "the engine's state cannot be read", "check the engine's version")
	}
	return state, nil
}
