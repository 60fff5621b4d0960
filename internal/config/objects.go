// Package config defines the operators' configuration: named objects that refer to one another. They are validated
// together and published as one immutable snapshot, which a generation number identifies.
package config

import (
	"github.com/lovageglade/lovageglade/internal/core"
)

// Set is the complete configuration. Each list is sorted by name.
type Set struct {
	FailureDomains []FailureDomain `json:"failure_domains,omitempty"`
	Workspaces     []Workspace     `json:"workspaces,omitempty"`
	Models         []Model         `json:"models,omitempty"`
	Versions       []Version       `json:"versions,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Rules          []Rule          `json:"rules,omitempty"`

	files   sourceFiles     // source files of the objects, used in messages
	follows core.Generation // generation that the set is based on, if derived is true
	derived bool            // whether the set is based on a generation
}

// FailureDomain is a failure domain and its region. Out takes the failure domain out of service.
type FailureDomain struct {
	Name   core.FailureDomain `json:"name"`
	Region core.Region        `json:"region"`
	Out    bool               `json:"out,omitempty"`
}

// Workspace is a customer's workspace. An empty Services list allows calls to every service. Objectives replace those
// of the services.
type Workspace struct {
	Name       core.Workspace              `json:"name"`
	Services   []core.Service              `json:"services,omitempty"`
	Objectives map[core.Service]Objectives `json:"objectives,omitempty"`
}

// Model is a machine learning model. Its weights are deployed as versions.
type Model struct {
	Name core.Model `json:"name"`
}

// Version is a version of a model. Manifest is the digest that identifies its weights.
type Version struct {
	Name     string         `json:"name"`
	Model    core.Model     `json:"model"`
	Manifest core.VersionID `json:"manifest"`
}

// ServiceKind is the type of the back ends that serve a service.
type ServiceKind string

// Service kinds.
const (
	KindModel ServiceKind = "model" // model engines
	KindPlain ServiceKind = "plain" // other services; their calls are forwarded unchanged
)

// Service is a service that clients call by its name. If Model is set, the service runs only versions of that model.
type Service struct {
	Name       core.Service `json:"name"`
	Kind       ServiceKind  `json:"kind"`
	Model      core.Model   `json:"model,omitempty"`
	Endpoints  []Endpoint   `json:"endpoints"`
	Calls      []Call       `json:"calls,omitempty"`
	Limits     Limits       `json:"limits"`
	Objectives Objectives   `json:"objectives"`
}

// Endpoint is a host that serves a service.
type Endpoint struct {
	Host          core.HostID        `json:"host"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
}

// Call describes calls of a plain service by method and path. Calls that match no Call are treated as not idempotent.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // also matches all paths below it
	Idempotent bool   `json:"idempotent"`
}

// Limits bounds the requests at one endpoint of a service.
type Limits struct {
	Cold  int `json:"cold"`  // concurrent requests when cold, such as after weights were loaded or the back end restarted
	Max   int `json:"max"`   // concurrent requests when warm
	Queue int `json:"queue"` // requests queued at the agent
}

// Objectives are the service-level objectives (SLOs) of a service. 0 means no objective.
type Objectives struct {
	Availability    float64 `json:"availability,omitempty"`      // ratio of requests answered completely and without a server error, such as 0.999
	FirstTokenMS    int     `json:"first_token_ms,omitempty"`    // 95th percentile of the time to the first token, in milliseconds
	BetweenTokensMS int     `json:"between_tokens_ms,omitempty"` // 95th percentile of the time between tokens, in milliseconds
	ReplicasS       int     `json:"replicas_s,omitempty"`        // time until a version runs on its replicas, in seconds
}

// Rule assigns a version to a service and sets how many of the service's endpoints in each failure domain run it.
type Rule struct {
	Name     string                     `json:"name"`
	Service  core.Service               `json:"service"`
	Version  string                     `json:"version"`
	Replicas map[core.FailureDomain]int `json:"replicas"`
}
