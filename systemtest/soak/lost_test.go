package soak

import (
	"context"
	"errors"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// lossSlack is how long after its last byte a request that no endpoint has received may still cross the end of its
// connection; the platform's documentation gives it.
const lossSlack = 200 * time.Millisecond

// noteWritten returns a context that records when the request was sent completely.
func (r *request) noteWritten(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			r.written.Store(time.Now().UnixNano())
		}
	}})
}

// runKey identifies a run of a request at a back end.
type runKey struct {
	id      string
	started int64 // Unix time in nanoseconds
}

func keyOf(run platformtest.Run) runKey { return runKey{run.ID, run.StartedAt.UnixNano()} }

// breakOff records that the back end breaks the run off by itself, and whether it sends a part of the answer that a caller can use.
func (b *backend) breakOff(run platformtest.Run, useful bool) { b.brokenOff.Store(keyOf(run), useful) }

// decidingRun returns the last run that did anything for the caller. A run that was broken off without a useful part is no reason to
// end another one. It returns false if there is none, or if the back end broke it off.
func decidingRun(runs []backendRun) (backendRun, bool) {
	runs = slices.DeleteFunc(slices.Clone(runs), func(run backendRun) bool {
		useful, broken := run.backend.brokenOff.Load(keyOf(run.Run))
		return broken && !useful.(bool)
	})
	if len(runs) == 0 {
		return backendRun{}, false
	}
	last := slices.MaxFunc(runs, func(a, b backendRun) int { return a.StartedAt.Compare(b.StartedAt) })
	_, broken := last.backend.brokenOff.Load(keyOf(last.Run))
	return last, !broken
}

// checkLostAnswers checks that no request ends without a complete answer that a healthy endpoint had begun to process, or that a
// gateway had time to read and no endpoint received.
func (s *system) checkLostAnswers(requests map[string]*request, runs map[string][]backendRun) {
	for id, r := range requests {
		if r.err == nil || errors.Is(r.err, context.Canceled) || errors.Is(r.err, context.DeadlineExceeded) || r.written.Load() == 0 {
			continue // answered, left by its caller, or not sent
		}
		if r.ended.Sub(r.sent) >= routeTimeoutMs*time.Millisecond {
			continue
		}
		gateway := s.gateways[r.gateway].name
		if len(runs[id]) == 0 {
			late := r.ended.UnixNano()-r.written.Load() > int64(lossSlack)
			if late && s.disruptions.unharmedBetween(r.sent.Add(-settleTime), r.ended, gateway) {
				s.t.Errorf("lost answers: %s on %s by gateway %d reached no endpoint and ended at %s after %v: %v", id, r.route, r.gateway, s.sinceStart(r.ended), r.ended.Sub(r.sent), r.err)
			}
			continue
		}
		last, sound := decidingRun(runs[id])
		if sound && s.disruptions.unharmedBetween(r.sent.Add(-settleTime), r.ended, gateway, last.backend.ID, s.senderOf(last.backend, r).name) {
			s.t.Errorf("lost answers: %s on %s by gateway %d ended at %s after %v with status %d and %d bytes: %v; the last of its %d runs began after %v at %s, which was sound", id, r.route, r.gateway, s.sinceStart(r.ended), r.ended.Sub(r.sent), r.status, len(r.body), r.err, len(runs[id]), last.StartedAt.Sub(r.sent), last.backend.ID)
		}
	}
}

func (s *system) sinceStart(at time.Time) time.Duration {
	return at.Sub(s.started).Round(time.Millisecond)
}
