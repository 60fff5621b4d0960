package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Naming is a model version that operators want everywhere.
type Naming struct {
	Version int64
	Seen    time.Duration // when this process first read of it, on the boot clock
}

// namingsKept of a model at most. An older one is past its bound, or soon a newer one is.
const maxRollouts = 8

// Namings are the versions of a model that operators named, in the order of the versions. They must not be changed.
type Namings []Naming

// With returns the namings with one more, or the same if it is not newer than all of them.
func (n Namings) With(rollout Naming) Namings {
	if rollout.Version <= n.Newest() {
		return n
	}
	extended := append(slices.Clone(n), rollout)
	return extended[max(0, len(extended)-maxRollouts):]
}

// Newest returns the version that is wanted, 0 for none.
func (n Namings) Newest() int64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Version
}

// Previous returns the version that was named before the newest one, 0 for none.
func (n Namings) Previous() int64 {
	if len(n) < 2 {
		return 0
	}
	return n[len(n)-2].Version
}

// NewestInterval returns the time between the two newest namings, 0 for fewer than two.
func (n Namings) NewestInterval() time.Duration {
	if len(n) < 2 {
		return 0
	}
	return n[len(n)-1].Seen - n[len(n)-2].Seen
}

// MinVersion returns the oldest version that may still run the model's requests when each has to be replaced within the
// bound after a newer one was named; 0 for any.
func (n Namings) MinVersion(now, bound time.Duration) int64 {
	minVersion := int64(0)
	for _, rollout := range n {
		if rollout.Seen+bound <= now {
			minVersion = rollout.Version
		}
	}
	return minVersion
}

// Due returns when an engine that runs the version has to have left it; false when no newer one is named.
func (n Namings) Due(version int64, bound time.Duration) (time.Duration, bool) {
	for _, rollout := range n {
		if rollout.Version > version {
			return rollout.Seen + bound, true
		}
	}
	return 0, false
}

// Index answers lookups in one configuration.
type Index struct {
	Configuration *Configuration

	routes     map[string][]*Route // by host, longest prefix first
	workspaces map[string]*Workspace
	services   map[core.Service]*Service
}

// NewIndex builds the lookups of the configuration.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{
		Configuration: configuration,
		routes:        make(map[string][]*Route),
		workspaces:    make(map[string]*Workspace),
		services:      make(map[core.Service]*Service),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		index.routes[route.Host] = append(index.routes[route.Host], route)
	}
	for _, routes := range index.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range configuration.Workspaces {
		workspace := &configuration.Workspaces[i]
		for _, key := range workspace.Keys {
			index.workspaces[key] = workspace
		}
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		index.services[service.Name] = service
	}
	return index
}

// Route returns the route of the host with the longest prefix that begins the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, route := range x.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace that holds the key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.workspaces[key] }

// KeysRequired tells whether routes that are not public need a key.
func (x *Index) KeysRequired() bool { return len(x.Configuration.Workspaces) > 0 }

// Service returns the service, or nil.
func (x *Index) Service(name core.Service) *Service { return x.services[name] }

// Origin returns the origin of weights; its address is "" when there is none.
func (x *Index) Origin() Origin {
	for i := range x.Configuration.Services {
		if origin := x.Configuration.Services[i].Origin; origin != nil {
			return *origin
		}
	}
	return Origin{}
}

// View is what a process knows at one moment. It must not be changed.
type View struct {
	*Index    // nil until a configuration is known
	Evacuated map[core.FailureDomain]bool
	Wanted    map[core.Model]Namings

	endpoints map[core.Service][]*Endpoint
	listed    map[core.Service][]*Endpoint
}

// NewView joins the parts. Draining endpoints and those of evacuated failure domains take no new work.
func NewView(index *Index, evacuated map[core.FailureDomain]bool, wanted map[core.Model]Namings, endpoints []*Endpoint) *View {
	v := &View{Index: index, Evacuated: evacuated, Wanted: wanted, endpoints: make(map[core.Service][]*Endpoint), listed: make(map[core.Service][]*Endpoint)}
	for _, endpoint := range dropReplacedEndpoints(index, endpoints) {
		v.listed[endpoint.Service] = append(v.listed[endpoint.Service], endpoint)
		if endpoint.Draining || evacuated[endpoint.FailureDomain] {
			continue
		}
		v.endpoints[endpoint.Service] = append(v.endpoints[endpoint.Service], endpoint)
	}
	for _, list := range v.endpoints {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return v
}

// withoutPredecessors leaves out endpoints whose address belongs to one that started later: they have ended, though their
// entries may stand for some seconds. Entries of services that the configuration does not name show nothing.
func dropReplacedEndpoints(index *Index, endpoints []*Endpoint) []*Endpoint {
	latestStart := make(map[string]int64, len(endpoints))
	for _, endpoint := range endpoints {
		if index != nil && index.Service(endpoint.Service) != nil {
			latestStart[endpoint.Address] = max(latestStart[endpoint.Address], endpoint.Born)
		}
	}
	current := make([]*Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Born == 0 || endpoint.Born >= latestStart[endpoint.Address] {
			current = append(current, endpoint)
		}
	}
	return current
}

// Endpoints returns the endpoints of the service that take new work, in order of their ids.
func (v *View) Endpoints(service core.Service) []*Endpoint { return v.endpoints[service] }

// Listed returns all endpoints of the service, also those that take no new work, in no order.
func (v *View) Listed(service core.Service) []*Endpoint { return v.listed[service] }

// Backend chooses the service of a request by the weights; draw is uniform in [0, 1).
func (r *Route) Backend(draw float64) core.Service {
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	remaining := draw * float64(total)
	for _, backend := range r.Backends {
		remaining -= float64(backend.Weight)
		if remaining < 0 {
			return backend.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Regions is the set of regions that may see a request.
type Regions struct {
	restricted bool
	allowed    []core.Region
}

// RegionsOf returns the regions that both the route and the workspace allow. The workspace may be nil.
func RegionsOf(route *Route, workspace *Workspace) Regions {
	if workspace == nil || len(workspace.Regions) == 0 {
		return Regions{restricted: len(route.Regions) > 0, allowed: route.Regions}
	}
	if len(route.Regions) == 0 {
		return Regions{restricted: true, allowed: workspace.Regions}
	}
	both := Regions{restricted: true}
	for _, region := range route.Regions {
		if slices.Contains(workspace.Regions, region) {
			both.allowed = append(both.allowed, region)
		}
	}
	return both
}

// Allow tells whether the region may see the request.
func (r Regions) Allow(region core.Region) bool {
	return !r.restricted || slices.Contains(r.allowed, region)
}
