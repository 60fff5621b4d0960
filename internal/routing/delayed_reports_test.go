package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// The simulation of delayed load reports: each entry learns of the requests of other entries only from the answers to
// its own requests.
const (
	simEndpointLimit    = 8
	simStep             = 100 * time.Millisecond
	simStepsPerReport   = 10 // steps between the load reports that a running request receives
	simSteps            = 1000
	simMeanServiceSteps = 50   // mean run time of a request, in steps
	simUtilization      = 0.75 // offered load as a fraction of the sum of all limits
	simPrefixes         = 400
	simCachedPrefixes   = 12 // prefixes that an endpoint's cache holds
)

// fleet is the number of entries and endpoints in one failure domain.
type fleet struct{ entries, endpoints int }

var (
	currentFleet = fleet{entries: 9, endpoints: 60}
	targetFleet  = fleet{entries: 70, endpoints: 120}
)

// strategy picks an endpoint of the local tier.
type strategy func(service *Service, query Query) *Endpoint

func twoChoices(service *Service, query Query) *Endpoint {
	return service.tiers[localDesiredVersion].pickOfTwoChoices(query)
}

func leastLoaded(service *Service, query Query) *Endpoint {
	tier := service.tiers[localDesiredVersion]
	least := tier[0]
	for _, endpoint := range tier {
		if endpoint.lessLoaded(least, query.Now) {
			least = endpoint
		}
	}
	return least
}

func uniformRandom(service *Service, query Query) *Endpoint {
	tier := service.tiers[localDesiredVersion]
	return tier[randomIndex(query.Seed, firstChoiceStream, len(tier))]
}

// unboundedAffinity picks the endpoint with the highest rendezvous weight, whatever its load.
func unboundedAffinity(service *Service, query Query) *Endpoint {
	return slices.MaxFunc(service.tiers[localDesiredVersion], func(a, b *Endpoint) int {
		if mix(query.Prefix^a.hash) > mix(query.Prefix^b.hash) {
			return 1
		}
		return -1
	})
}

func fullPick(service *Service, query Query) *Endpoint { return service.Pick(query) }

func withoutPrefix(service *Service, query Query) *Endpoint {
	query.Prefix = 0
	return service.Pick(query)
}

// loadSimulation is the state of one run of the simulation.
type loadSimulation struct {
	meters         []*LoadMeters
	services       []*Service
	running        map[core.HostID]int
	caches         map[core.HostID][]uint64
	completions    completionHeap
	random         *rand.Rand
	sent           int
	sentAboveLimit int
	cacheHits      int
}

type completion struct {
	endStep   int
	startStep int
	entry     int
	host      core.HostID
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endStep < h[j].endStep }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate runs the simulation. It returns the share of requests sent to an endpoint that was at its limit, and the
// share that found their prefix in the endpoint's cache.
func simulate(tb testing.TB, size fleet, choose strategy) (above, hits float64) {
	r := &loadSimulation{running: make(map[core.HostID]int), caches: make(map[core.HostID][]uint64), random: rand.New(rand.NewPCG(3, 4))}
	view := newView(tb, 5*size.endpoints, nil)
	for range size.entries {
		meters := NewLoadMeters()
		r.meters = append(r.meters, meters)
		r.services = append(r.services, BuildIndex(view, entryLocality, meters).Service("models"))
	}
	for step := range simSteps {
		r.finish(step)
		due := simUtilization * simEndpointLimit * float64(size.endpoints*step) / simMeanServiceSteps
		for float64(r.sent) < due {
			r.send(step, choose)
		}
	}
	return float64(r.sentAboveLimit) / float64(r.sent), float64(r.cacheHits) / float64(r.sent)
}

func (r *loadSimulation) send(step int, choose strategy) {
	entry := r.random.IntN(len(r.services))
	prefix := uint64(min(r.random.IntN(simPrefixes), r.random.IntN(simPrefixes))) + 1
	host := choose(r.services[entry], Query{Seed: r.random.Uint64(), Prefix: prefix, Now: time.Duration(step) * simStep}).Host.ID
	r.sent++
	if r.running[host] >= simEndpointLimit {
		r.sentAboveLimit++
	}
	if slices.Contains(r.caches[host], prefix) {
		r.cacheHits++
	}
	r.caches[host] = append([]uint64{prefix}, slices.DeleteFunc(r.caches[host], func(p uint64) bool { return p == prefix })...)
	r.caches[host] = r.caches[host][:min(len(r.caches[host]), simCachedPrefixes)]
	r.running[host]++
	r.meters[entry].ForHost(host).AddInFlight(1)
	heap.Push(&r.completions, completion{endStep: step + 1 + r.random.IntN(2*simMeanServiceSteps), startStep: step, entry: entry, host: host})
}

// finish ends the requests that are due at the step. Answers and the periodic reports of running requests carry the
// endpoint's load to the entry that sent the request.
func (r *loadSimulation) finish(step int) {
	for len(r.completions) > 0 && r.completions[0].endStep <= step {
		due := heap.Pop(&r.completions).(completion)
		r.running[due.host]--
		r.meters[due.entry].ForHost(due.host).AddInFlight(-1)
		r.report(due, step)
	}
	for _, running := range r.completions {
		if age := step - running.startStep; age > 0 && age%simStepsPerReport == 0 {
			r.report(running, step)
		}
	}
}

func (r *loadSimulation) report(request completion, step int) {
	load := wire.Load{Running: r.running[request.host], Limit: simEndpointLimit}
	r.meters[request.entry].ForHost(request.host).RecordReport(load, time.Duration(step)*simStep)
}

func TestTwoChoicesBeatRandomAndLeastLoadedWithDelayedReports(t *testing.T) {
	for _, size := range []fleet{currentFleet, targetFleet} {
		two, _ := simulate(t, size, twoChoices)
		least, _ := simulate(t, size, leastLoaded)
		random, _ := simulate(t, size, uniformRandom)
		t.Logf("%+v: share of requests sent above the limit: two choices %.3f, least loaded %.3f, random %.3f", size, two, least, random)
		if two >= random || (size == targetFleet && two >= least) {
			t.Errorf("%+v: share above the limit: two choices %.3f, least loaded %.3f, random %.3f", size, two, least, random)
		}
	}
}

func TestBoundedAffinityHitsCachesWithoutTheOverloadOfUnboundedAffinity(t *testing.T) {
	for _, size := range []fleet{currentFleet, targetFleet} {
		above, hits := simulate(t, size, fullPick)
		aboveWithout, hitsWithout := simulate(t, size, withoutPrefix)
		aboveAlone, hitsAlone := simulate(t, size, unboundedAffinity)
		t.Logf("%+v: share above the limit and cache hits: bounded affinity %.3f and %.3f, no affinity %.3f and %.3f, unbounded affinity %.3f and %.3f", size, above, hits, aboveWithout, hitsWithout, aboveAlone, hitsAlone)
		if hits < 2*hitsWithout || above >= aboveAlone {
			t.Errorf("%+v: share above the limit and cache hits: bounded affinity %.3f and %.3f, no affinity %.3f and %.3f, unbounded affinity %.3f and %.3f", size, above, hits, aboveWithout, hitsWithout, aboveAlone, hitsAlone)
		}
	}
}
