package catalog

import (
	"slices"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Index provides lookups in one configuration.
type Index struct {
	Configuration *Configuration

	routes     map[string][]*Route // by host, longest prefix first
	workspaces map[string]*Workspace
	services   map[core.Service]*Service
	ranked     map[core.Service]bool // services whose requests are ranked by what the configuration declares
}

// NewIndex returns an index of the configuration, which must not be modified afterwards.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{
		Configuration: configuration,
		routes:        make(map[string][]*Route),
		workspaces:    make(map[string]*Workspace),
		services:      make(map[core.Service]*Service),
		ranked:        rankedServices(configuration),
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

// Route returns the host's route with the longest prefix of the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, route := range x.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace that the key belongs to, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.workspaces[key] }

// KeysRequired reports whether routes that are not public need a key.
func (x *Index) KeysRequired() bool { return len(x.Configuration.Workspaces) > 0 }

// Service returns the service with the name, or nil.
func (x *Index) Service(name core.Service) *Service { return x.services[name] }

// Origin returns the origin of the weights; its address is "" if there is none.
func (x *Index) Origin() Origin {
	for i := range x.Configuration.Services {
		if origin := x.Configuration.Services[i].Origin; origin != nil {
			return *origin
		}
	}
	return Origin{}
}

// View is an immutable snapshot of what a process knows: configuration, evacuations, requested versions and endpoints.
type View struct {
	*Index    // nil until a configuration is known
	Evacuated map[core.FailureDomain]bool
	Rollouts  map[core.Model]Rollouts

	available  map[core.Service][]*Endpoint
	registered map[core.Service][]*Endpoint
}

// NewView returns a view of the arguments. Draining endpoints and those in evacuated failure domains take no new requests.
// The index may be nil.
func NewView(index *Index, evacuated map[core.FailureDomain]bool, rollouts map[core.Model]Rollouts, endpoints []*Endpoint) *View {
	v := &View{Index: index, Evacuated: evacuated, Rollouts: rollouts, available: make(map[core.Service][]*Endpoint), registered: make(map[core.Service][]*Endpoint)}
	for _, endpoint := range dropReplacedEndpoints(index, endpoints) {
		v.registered[endpoint.Service] = append(v.registered[endpoint.Service], endpoint)
		if endpoint.Draining || evacuated[endpoint.FailureDomain] {
			continue
		}
		v.available[endpoint.Service] = append(v.available[endpoint.Service], endpoint)
	}
	for _, list := range v.available {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return v
}

// dropReplacedEndpoints leaves out endpoints whose address is used by an endpoint that started later. They have ended, but
// the registry may list them for some seconds more. Entries of services that are not in the configuration replace nothing.
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

// AvailableEndpoints returns the endpoints of the service that take new requests, in order of their ids.
func (v *View) AvailableEndpoints(service core.Service) []*Endpoint { return v.available[service] }

// RegisteredEndpoints returns all endpoints of the service, including those that take no new requests, in no particular
// order.
func (v *View) RegisteredEndpoints(service core.Service) []*Endpoint { return v.registered[service] }

// PickService returns the service of a request, chosen by the weights of the back ends. The draw is a random number,
// uniform in [0, 1). It returns "" if the route has no back ends.
func (r *Route) PickService(draw float64) core.Service {
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

// Regions is the set of regions in which a request may run.
type Regions struct {
	restricted bool
	allowed    []core.Region
}

// AllowedRegions returns the regions that both the route and the workspace allow. A nil workspace allows all regions.
func AllowedRegions(route *Route, workspace *Workspace) Regions {
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

// Allows reports whether the request may run in the region.
func (r Regions) Allows(region core.Region) bool {
	return !r.restricted || slices.Contains(r.allowed, region)
}
