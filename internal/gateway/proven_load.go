package gateway

import (
	"net/http"
	"sync"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// maxProvenLoads bounds the memory for proven loads. Sidecars state them again with their next responses.
const maxProvenLoads = 4096

// provenLoads are the loads that sidecars have stated as proven. Its registry entry does not show whether an engine has loaded a
// version whole. It is safe for concurrent use.
type provenLoads struct {
	mu    sync.Mutex
	loads map[catalog.EndpointID]wire.ProvenLoad
}

// record records the load in the header of a sidecar's response and removes it. A response without one says nothing about the last
// load: the engine may hold another version by now, which a request that expects the last one does not run with.
func (p *provenLoads) record(endpoint *catalog.Endpoint, header http.Header) {
	load, stated := wire.ParseProvenLoad(header.Get(wire.HeaderProvenLoad))
	header.Del(wire.HeaderProvenLoad)
	if !stated {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loads == nil || len(p.loads) >= maxProvenLoads {
		p.loads = make(map[catalog.EndpointID]wire.ProvenLoad)
	}
	p.loads[endpoint.ID] = load
}

// version returns the version that the endpoint's engine may be asked for past its sidecar; 0 for a service without models. It returns
// false if the version in the endpoint's entry is not proven for the incarnation in the entry.
func (p *provenLoads) version(endpoint *catalog.Endpoint, model core.Model) (int64, bool) {
	if len(endpoint.Loaded) == 0 {
		return 0, model == ""
	}
	version, ok := endpoint.Serves(model)
	if model == "" {
		version, ok = endpoint.Loaded[0].Version, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	load, known := p.loads[endpoint.ID]
	return version, ok && known && load.Version == version && load.StartedMs == endpoint.Born
}
