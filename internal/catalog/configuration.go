// Package catalog holds what the operators accepted and what the service registry lists, as plain types, and answers
// which route, workspace and endpoints a request has. A view is immutable: a change makes a new one.
package catalog

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Repeat says what may be repeated of a route's requests.
type Repeat int

// The kinds of repetition.
const (
	Once       Repeat = iota // runs at most once
	Idempotent               // may run more than once
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name           string
	Host           string // value of the Host header, without a port
	Prefix         string // begins and ends with a slash
	Repeat         Repeat
	Streams        bool          // answers are event streams
	Resumable      bool          // a stream may go on at another endpoint after the last event that arrived
	Generates      bool          // requests are for model engines and state their tokens
	Public         bool          // no key is needed
	Timeout        time.Duration // longest time that a caller is kept waiting; 0 for no bound
	Objective      time.Duration // until the answer, or a stream's first event
	PauseObjective time.Duration // longest pause between two events of a stream
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
	ColdPerSecond  float64 // requests a second that an endpoint bears while it is cold; 0 for no bound
	Engine         *Engine // nil for a plain service
	Origin         *Origin // nil for a service that serves no weights
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // requests in one batch
	Models     []core.Model
	Step       time.Duration // of one token of all streams together
	PerStream  time.Duration // more for each stream that writes
	Stride     int           // tokens that a pass writes of each stream
	ReadPerS   float64       // prompt tokens that are read in a second
	Layers     int
	Chunks     int // of a version's weights
	ChunkBytes int64
}

// Origin is where the weights of new versions come from.
type Origin struct {
	Address string  // IP number and port
	Mbps    float64 // rate of its link in Mbit/s, for all that draw on it; 0 when unknown
}

// TransferTime returns how long the bytes take on the origin's link, 0 when its rate is unknown.
func (o Origin) TransferTime(bytes int64) time.Duration {
	if o.Mbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(float64(bytes) * bitsPerByte / (o.Mbps * bitsPerMbit) * float64(time.Second))
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name     core.Workspace
	Keys     []string
	Priority int           // 0 is the highest; goes before the priority of the route
	Regions  []core.Region // regions that may see its requests; empty for all
}

// Limits bounds what a caller may send and for how long it may be silent.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is the whole of what operators accepted, under one version. Versions only grow.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
