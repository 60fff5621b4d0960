package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// Incarnation identifies one life of an engine, from its start to its end, to all processes that see it.
type Incarnation string

// IncarnationOf returns the incarnation that the entry in the service registry shows.
func IncarnationOf(endpoint *catalog.Endpoint) Incarnation {
	return Incarnation(endpoint.Address + "/" + string(endpoint.ID) + "/" + strconv.FormatInt(endpoint.Born, 10))
}

// ending is the end of one engine under a part, by what all observers know of it.
type ending struct {
	engine   Incarnation   // the crash's id if its reporter did not tell the engine
	unnamed  bool          // its reporter did not tell the engine
	at       time.Duration // when it was first noticed
	began    time.Duration // when the request was first sent to the engine
	requests map[core.RequestID]bool
}

// addEnding adds what the crash shows of an end of an engine under the suspect.
func (e *evidence) addEnding(crash timedCrash, suspect Suspect) {
	engine := crash.Engine
	if engine == "" {
		engine = Incarnation(crash.ID)
	}
	at, began := crash.localTime(suspect.Broke), crash.localTime(suspect.Sent)
	known := e.endings[engine]
	if known == nil {
		known = &ending{engine: engine, unnamed: crash.Engine == "", at: at, began: began, requests: make(map[core.RequestID]bool)}
		e.endings[engine] = known
	}
	known.at, known.began = min(known.at, at), min(known.began, began)
	known.requests[suspect.Request] = true
}

// localTime returns a time of the reporter's clock by this process's clock; if it is 0, when the crash was recorded.
func (c timedCrash) localTime(reported time.Duration) time.Duration {
	if reported == 0 {
		return c.at
	}
	return c.at - (c.Recorded - reported)
}

// orderedEndings returns the ends of engines under the part in the order of their times.
func (e *evidence) orderedEndings() []*ending {
	return slices.SortedFunc(maps.Values(e.endings), func(a, b *ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.engine, b.engine))
	})
}

// separateEndings returns the times of the ends of engines that speak against the request: the first one, and each of an engine to
// which the request was sent only after the one before. Engines that end together have one cause, which need not be the request.
func (e *evidence) separateEndings() []time.Duration {
	var counted []time.Duration
	requests := make(map[core.RequestID]bool)
	for _, next := range e.orderedEndings() {
		if len(counted) > 0 && !next.isSeparate(counted[len(counted)-1], requests) {
			continue
		}
		counted = append(counted, next.at)
		maps.Copy(requests, next.requests)
	}
	return counted
}

// resumedEndings returns the times of the ends of engines that speak against a shared part: each that came later than simultaneity after the
// last one, or of an engine to which a request with the part was sent only after that one.
func (e *evidence) resumedEndings() []time.Duration {
	var counted []time.Duration
	for _, next := range e.orderedEndings() {
		if last := len(counted) - 1; last < 0 || next.at-counted[last] > simultaneity || !next.unnamed && next.began > counted[last] {
			counted = append(counted, next.at)
		}
	}
	return counted
}

// isSeparate reports whether the end counts beside the last one that does, under requests with the given ids.
func (n *ending) isSeparate(last time.Duration, requests map[core.RequestID]bool) bool {
	if !n.unnamed {
		return n.began > last
	}
	if n.at-last <= simultaneity {
		return false
	}
	for id := range n.requests {
		if !requests[id] {
			return true
		}
	}
	return false
}
