// Package catalog holds the accepted configuration and the endpoints of the service registry, and looks up the route, the
// workspace and the endpoints of a request. A view is immutable; each change creates a new one.
package catalog

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// RetrySemantics tells whether a route's requests may run more than once.
type RetrySemantics int

// The kinds of routes by how often a request may run.
const (
	AtMostOnce RetrySemantics = iota // runs at most once
	Idempotent                       // may run more than once
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name           string
	Host           string // value of the Host header, without the port
	Prefix         string // begins and ends with a slash
	Repeat         RetrySemantics
	Streams        bool          // answers are event streams
	Resumable      bool          // a broken stream may resume at another endpoint after the last event that arrived
	Generates      bool          // requests are for model engines and state their token counts
	Public         bool          // no key is needed
	Timeout        time.Duration // bound on the time to the whole answer; 0 for none
	Objective      time.Duration // target time to the answer, or to a stream's first event
	PauseObjective time.Duration // target for the longest pause between two events of a stream
	Priority       int           // 0 is the highest
	MaxAttempts    int           // endpoints that may run one request
	Backends       []Backend
	Regions        []core.Region // regions that may see the request; empty for all
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service core.Service
	Weight  int
}

// Service is a group of endpoints.
type Service struct {
	Name           core.Service
	MaxConnections int     // that an endpoint accepts from all callers; 0 for no bound
	ColdPerSecond  float64 // requests per second that a cold endpoint takes; 0 for no bound
	Engine         *Engine // nil for a plain service
	Origin         *Origin // nil for a service that serves no weights
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // requests in one batch
	Models     []core.Model
	Step       time.Duration // time for one token in all streams together
	PerStream  time.Duration // additional time for each stream that is decoding
	Stride     int           // tokens that one pass decodes for each stream
	ReadPerS   float64       // prompt tokens that are read per second
	ReadChunk  int           // most prompt tokens that one step reads; 0 if unknown
	ReadPairs  time.Duration // additional time to read a million pairs of a token and an earlier one of its prompt
	Memory     int           // tokens of all requests at the engine together; 0 if unknown
	Layers     int
	Chunks     int // chunks in a version's weights
	ChunkBytes int64
}

// Origin is the server from which the weights of new versions are fetched.
type Origin struct {
	Address string  // IP number and port
	Mbps    float64 // rate of its link in Mbit/s, shared by all readers; 0 if unknown
}

// TransferTime returns how long the origin's link takes to carry the bytes; 0 if its rate is unknown.
func (o Origin) TransferTime(bytes int64) time.Duration {
	if o.Mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (o.Mbps * bitsPerMbit) * float64(time.Second))
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name    core.Workspace
	Keys    []string
	Rank    *int          `json:",omitempty"` // 0 is the most urgent; overrides the priority of the route; nil if unstated
	Regions []core.Region // regions that may see its requests; empty for all
}

// Limits bounds the size of callers' requests and the time that they may take or leave a connection idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is a complete configuration that operators published. Its version increases with each change.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
