package catalog

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// EndpointID names one life of an endpoint.
type EndpointID string

// Endpoint is one running back end as the service registry lists it.
type Endpoint struct {
	ID            EndpointID
	Service       core.Service
	Address       string // IP number and port
	FailureDomain core.FailureDomain
	Region        core.Region
	Slots         int // requests that it runs at once
	Draining      bool
	Born          int64         // when it started, in milliseconds of its own time of day; 0 for unknown
	ColdFor       time.Duration // left of its cold start when the entry was written
	ColdUntil     time.Duration // on the boot clock of the process that read the entry; 0 for one that was not cold
	Loaded        []Loaded
}

// Cold tells whether the endpoint is cold at the moment on the boot clock.
func (e *Endpoint) Cold(now time.Duration) bool { return now < e.ColdUntil }

// Loaded is a model version that an endpoint serves.
type Loaded struct {
	Model   core.Model
	Version int64
}

// Serves returns the version of the model that the endpoint serves; false when it serves none.
func (e *Endpoint) Serves(model core.Model) (int64, bool) {
	for _, loaded := range e.Loaded {
		if loaded.Model == model {
			return loaded.Version, true
		}
	}
	return 0, false
}
