// Package config holds the operators' configuration: named objects that refer to one another, checked as a whole and
// published as one immutable snapshot with a generation.
package config

import (
	"github.com/lovageglade/lovageglade/internal/core"
)

// Set is the operators' whole configuration. Each list is in order of name.
type Set struct {
	FailureDomains []FailureDomain `json:"failure_domains,omitempty"`
	Workspaces     []Workspace     `json:"workspaces,omitempty"`
	Models         []Model         `json:"models,omitempty"`
	Versions       []Version       `json:"versions,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Rules          []Rule          `json:"rules,omitempty"`

	files   sourceFiles     // where the objects were read, for messages
	follows core.Generation // the generation that the set was made from
	derived bool            // whether it was made from one
}

// FailureDomain is a failure domain and the region that holds it. Out takes it out of service.
type FailureDomain struct {
	Name   core.FailureDomain `json:"name"`
	Region core.Region        `json:"region"`
	Out    bool               `json:"out,omitempty"`
}

// Workspace is a customer's workspace and the services that it may call; no services means all of them.
// Its objectives take the place of the services' own.
type Workspace struct {
	Name       core.Workspace              `json:"name"`
	Services   []core.Service              `json:"services,omitempty"`
	Objectives map[core.Service]Objectives `json:"objectives,omitempty"`
}

// Model is a model, of which versions are made.
type Model struct {
	Name core.Model `json:"name"`
}

// Version is a version of a model. Manifest is the digest that identifies its weights.
type Version struct {
	Name     string         `json:"name"`
	Model    core.Model     `json:"model"`
	Manifest core.VersionID `json:"manifest"`
}

// ServiceKind says what stands behind a service.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model" // model engines
	KindPlain ServiceKind = "plain" // plain services, whose calls are passed through
)

// Service is a service that callers address by its name. A service that names a model runs versions of it alone.
type Service struct {
	Name       core.Service `json:"name"`
	Kind       ServiceKind  `json:"kind"`
	Model      core.Model   `json:"model,omitempty"`
	Endpoints  []Endpoint   `json:"endpoints"`
	Calls      []Call       `json:"calls,omitempty"`
	Limits     Limits       `json:"limits"`
	Objectives Objectives   `json:"objectives"`
}

// Endpoint is a host slot that serves a service.
type Endpoint struct {
	Host          core.HostID        `json:"host"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
}

// Call names a call of a plain service. A call that no object names is taken as not idempotent.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // the call's path; it covers the paths below it
	Idempotent bool   `json:"idempotent"`
}

// Limits bounds the requests that one endpoint of a service runs at once.
type Limits struct {
	Cold  int `json:"cold"`  // after a load or an unexplained restart of the back end
	Max   int `json:"max"`   // when warm
	Queue int `json:"queue"` // requests that may wait at the agent
}

// Objectives are a service's service-level objectives. A value of 0 sets no objective.
type Objectives struct {
	Availability    float64 `json:"availability,omitempty"`      // share of requests answered whole and without a server error, such as 0.999
	FirstTokenMS    int     `json:"first_token_ms,omitempty"`    // milliseconds until the first token, for 95 in 100
	BetweenTokensMS int     `json:"between_tokens_ms,omitempty"` // milliseconds between tokens, for 95 in 100
	ReplicasS       int     `json:"replicas_s,omitempty"`        // seconds until a version runs on its replicas
}

// Rule binds a service to a version and says how many endpoints of each failure domain run it.
type Rule struct {
	Name     string                     `json:"name"`
	Service  core.Service               `json:"service"`
	Version  string                     `json:"version"`
	Replicas map[core.FailureDomain]int `json:"replicas"`
}
