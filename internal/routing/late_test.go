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

// The experiment on late load: entries that learn of each other's requests only from the answers to their own.
const (
	lateLimit     = 8
	lateStep      = 100 * time.Millisecond
	lateBeat      = 10 // steps between the loads that a running request's endpoint reports
	lateSteps     = 1000
	lateService   = 50   // mean steps that a request runs
	lateLoad      = 0.75 // of all limits
	latePrefixes  = 400
	cachePrefixes = 12 // prefixes that an endpoint's cache holds
)

// fleet is how many entries and endpoints there are in one failure domain.
type fleet struct{ entries, endpoints int }

var (
	todaysFleet = fleet{entries: 9, endpoints: 60}
	targetFleet = fleet{entries: 70, endpoints: 120}
)

// strategy chooses an endpoint of the local tier.
type strategy func(service *Service, query Query) *Endpoint

func twoChoices(service *Service, query Query) *Endpoint {
	return service.tiers[localWanted].lessLoadedOfTwo(query)
}

func leastOfAll(service *Service, query Query) *Endpoint {
	tier := service.tiers[localWanted]
	least := tier[0]
	for _, endpoint := range tier {
		if endpoint.lessLoaded(least, query.Now) {
			least = endpoint
		}
	}
	return least
}

func anyAtRandom(service *Service, query Query) *Endpoint {
	tier := service.tiers[localWanted]
	return tier[draw(query.Seed, firstDraw, len(tier))]
}

// affinityAlone takes the affine endpoint whatever its load.
func affinityAlone(service *Service, query Query) *Endpoint {
	return slices.MaxFunc(service.tiers[localWanted], func(a, b *Endpoint) int {
		if mix(query.Prefix^a.hash) > mix(query.Prefix^b.hash) {
			return 1
		}
		return -1
	})
}

func wholePick(service *Service, query Query) *Endpoint { return service.Pick(query) }

func withoutPrefix(service *Service, query Query) *Endpoint {
	query.Prefix = 0
	return service.Pick(query)
}

// lateRun is one run of the experiment.
type lateRun struct {
	meters   []*Meters
	services []*Service
	running  map[core.HostID]int
	caches   map[core.HostID][]uint64
	ends     endHeap
	random   *rand.Rand
	sent     int
	above    int
	hits     int
}

type end struct {
	step  int
	start int
	entry int
	host  core.HostID
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].step < h[j].step }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// runLate runs the experiment and returns the share of requests that went to an endpoint at its limit, and the share
// that found its prefix in the endpoint's cache.
func runLate(tb testing.TB, size fleet, choose strategy) (above, hits float64) {
	r := &lateRun{running: make(map[core.HostID]int), caches: make(map[core.HostID][]uint64), random: rand.New(rand.NewPCG(3, 4))}
	view := newView(tb, 5*size.endpoints, nil)
	for range size.entries {
		meters := NewMeters()
		r.meters = append(r.meters, meters)
		r.services = append(r.services, Build(view, here, meters).Service("models"))
	}
	for step := range lateSteps {
		r.finish(step)
		due := lateLoad * lateLimit * float64(size.endpoints*step) / lateService
		for float64(r.sent) < due {
			r.send(step, choose)
		}
	}
	return float64(r.above) / float64(r.sent), float64(r.hits) / float64(r.sent)
}

func (r *lateRun) send(step int, choose strategy) {
	entry := r.random.IntN(len(r.services))
	prefix := uint64(min(r.random.IntN(latePrefixes), r.random.IntN(latePrefixes))) + 1
	host := choose(r.services[entry], Query{Seed: r.random.Uint64(), Prefix: prefix, Now: time.Duration(step) * lateStep}).Host.ID
	r.sent++
	if r.running[host] >= lateLimit {
		r.above++
	}
	if slices.Contains(r.caches[host], prefix) {
		r.hits++
	}
	r.caches[host] = append([]uint64{prefix}, slices.DeleteFunc(r.caches[host], func(p uint64) bool { return p == prefix })...)
	r.caches[host] = r.caches[host][:min(len(r.caches[host]), cachePrefixes)]
	r.running[host]++
	r.meters[entry].Of(host).Add(1)
	heap.Push(&r.ends, end{step: step + 1 + r.random.IntN(2*lateService), start: step, entry: entry, host: host})
}

// finish ends the requests that are due. Answers and the beats of running requests carry the endpoint's load to the
// entry that sent the request.
func (r *lateRun) finish(step int) {
	for len(r.ends) > 0 && r.ends[0].step <= step {
		due := heap.Pop(&r.ends).(end)
		r.running[due.host]--
		r.meters[due.entry].Of(due.host).Add(-1)
		r.report(due, step)
	}
	for _, running := range r.ends {
		if age := step - running.start; age > 0 && age%lateBeat == 0 {
			r.report(running, step)
		}
	}
}

func (r *lateRun) report(of end, step int) {
	load := wire.Load{Running: r.running[of.host], Limit: lateLimit}
	r.meters[of.entry].Of(of.host).Report(load, time.Duration(step)*lateStep)
}

func TestTwoChoicesBeatRandomAndLeastOfAllOnLateLoad(t *testing.T) {
	for _, size := range []fleet{todaysFleet, targetFleet} {
		two, _ := runLate(t, size, twoChoices)
		least, _ := runLate(t, size, leastOfAll)
		random, _ := runLate(t, size, anyAtRandom)
		t.Logf("%+v: share at the limit: two choices %.3f, least of all %.3f, random %.3f", size, two, least, random)
		if two >= random || (size == targetFleet && two >= least) {
			t.Errorf("%+v: two choices %.3f, least of all %.3f, random %.3f", size, two, least, random)
		}
	}
}

func TestBoundedAffinityHitsCachesWithoutTheOverloadOfUnbounded(t *testing.T) {
	for _, size := range []fleet{todaysFleet, targetFleet} {
		above, hits := runLate(t, size, wholePick)
		aboveWithout, hitsWithout := runLate(t, size, withoutPrefix)
		aboveAlone, hitsAlone := runLate(t, size, affinityAlone)
		t.Logf("%+v: bounded: %.3f at the limit, %.3f hits; none: %.3f, %.3f; unbounded: %.3f, %.3f", size, above, hits, aboveWithout, hitsWithout, aboveAlone, hitsAlone)
		if hits < 2*hitsWithout || above >= aboveAlone {
			t.Errorf("%+v: bounded: %.3f at the limit, %.3f hits; none: %.3f, %.3f; unbounded: %.3f, %.3f", size, above, hits, aboveWithout, hitsWithout, aboveAlone, hitsAlone)
		}
	}
}
