package catalog

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// EndpointID identifies one incarnation of an endpoint.
type EndpointID string

// Endpoint is a running back end as listed in the service registry.
type Endpoint struct {
	ID            EndpointID
	Service       core.Service
	Address       string // IP number and port
	FailureDomain core.FailureDomain
	Region        core.Region
	Slots         int // requests that it can run at once
	Draining      bool
	Born          int64         // start time in milliseconds since the Unix epoch, by the endpoint's own clock; 0 if unknown
	ColdFor       time.Duration // remaining time of its cold start when the entry was written
	ColdUntil     time.Duration // end of the cold start on the boot clock of the process that read the entry; 0 if it was not cold
	Loaded        []LoadedVersion
}

// IsCold reports whether the endpoint is cold at the time now on the boot clock.
func (e *Endpoint) IsCold(now time.Duration) bool { return now < e.ColdUntil }

// LoadedVersion is a model version that an endpoint serves.
type LoadedVersion struct {
	Model   core.Model
	Version int64
}

// Serves returns the version of the model that the endpoint serves; false if it does not serve the model.
func (e *Endpoint) Serves(model core.Model) (int64, bool) {
	for _, loaded := range e.Loaded {
		if loaded.Model == model {
			return loaded.Version, true
		}
	}
	return 0, false
}
