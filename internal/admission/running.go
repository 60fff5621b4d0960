package admission

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// overrunShare is the share of its expected run time that a request which has exceeded it is expected to need still, about the
// spread of the run times of requests of one kind.
const overrunShare = 0.1

// runningRequest is an admitted request whose demand is known.
type runningRequest struct {
	demand   Demand
	expected Expected
	began    time.Duration
}

// runningTable holds the running requests whose demand is known, so its size is bounded by the limit of the endpoint.
type runningTable struct {
	requests map[uint64]runningRequest
	ratio    runRatio
}

func newRunningTable() runningTable {
	return runningTable{requests: make(map[uint64]runningRequest)}
}

func (r *runningTable) begin(id uint64, request runningRequest) { r.requests[id] = request }

// end removes the request, and learns from its run time if it is measured.
func (r *runningTable) end(id uint64, now time.Duration, measured bool) {
	request, known := r.requests[id]
	if !known {
		return
	}
	delete(r.requests, id)
	if measured {
		r.ratio.record(now-request.began, request.expected.Run)
	}
}

// countByWorkspace returns how many requests each workspace runs.
func (r *runningTable) countByWorkspace() map[core.Workspace]int {
	counts := make(map[core.Workspace]int)
	for _, request := range r.requests {
		counts[request.demand.Workspace]++
	}
	return counts
}

// expectedEnds returns when the requests are expected to end, earliest first. Of those that have exceeded their expected run time,
// the ends are now plus the given share of that time.
func (r *runningTable) expectedEnds(now time.Duration, overrun float64) []time.Duration {
	ends := make([]time.Duration, 0, len(r.requests))
	for _, request := range r.requests {
		run := r.expectedRun(request.expected)
		ends = append(ends, max(request.began+run, now+time.Duration(overrun*float64(run))))
	}
	slices.Sort(ends)
	return ends
}

func (r *runningTable) expectedRun(expected Expected) time.Duration {
	return time.Duration(r.ratio.value() * float64(expected.Run))
}
