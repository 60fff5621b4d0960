package soak

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The bounds of the platform's pages.
const (
	drainBound         = 2 * time.Second
	evacuationBound    = 5 * time.Second
	configurationBound = 2 * time.Second
	backBound          = 250 * time.Millisecond // a process handles nothing by an older configuration this long after a newer one showed
	recoveryBound      = 12 * time.Second
	recoveryPause      = 100 * time.Millisecond
)

// ran is one run of a request at a back end.
type ran struct {
	platformtest.Run
	backend *backend
	request *request
}

// checkRuns checks what back ends ran against what clients sent and got, and against what operators wrote.
func (w *world) checkRuns() {
	requests := make(map[string]*request)
	for _, r := range w.requests.list() {
		requests[r.id] = r
	}
	runs := w.runsByRequest(requests)
	w.checkOnce(requests, runs)
	var all []ran
	for _, list := range runs {
		all = append(all, list...)
	}
	w.checkWrites(all)
	w.checkNeverBack(all)
	w.checkEngines()
	w.t.Logf("%d requests, %d runs, %d faults' marks, %s", len(requests), len(all), len(w.calm.spans), w.outcomes(requests))
}

func (w *world) runsByRequest(requests map[string]*request) map[string][]ran {
	runs := make(map[string][]ran)
	for _, b := range w.all {
		for _, run := range b.Runs() {
			r := requests[run.ID]
			if r == nil {
				w.t.Errorf("unasked: %s ran %q, which no client sent", b.ID, run.ID)
				continue
			}
			if run.Body != "body of "+run.ID || !strings.HasPrefix(run.Target, "/"+r.route+"/") || run.Header.Get(platformtest.HeaderKey) != "" {
				w.t.Errorf("unasked: %s ran %s changed: %s %q", b.ID, run.ID, run.Target, run.Body)
			}
			runs[run.ID] = append(runs[run.ID], ran{Run: run, backend: b, request: r})
		}
	}
	return runs
}

// checkOnce checks that what must not run twice did not, and that what was refused never ran.
func (w *world) checkOnce(requests map[string]*request, runs map[string][]ran) {
	for id, r := range requests {
		count := len(runs[id])
		if r.route == "once" && count > 1 {
			w.t.Errorf("at most once: %s ran %d times", id, count)
		}
		refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		if r.route == "once" && refused && count > 0 {
			w.t.Errorf("true refusals: %s was answered %d and ran at %s", id, r.status, runs[id][0].backend.ID)
		}
		if r.key == "kept" && (r.status == http.StatusUnauthorized || r.status == http.StatusNotFound) {
			w.t.Errorf("refused although allowed: %s was answered %d: %s", id, r.status, r.body)
		}
	}
}

// checkWrites checks that what operators and back ends wrote is in force within its bound.
func (w *world) checkWrites(all []ran) {
	for _, written := range w.writes {
		for _, run := range all {
			if what := w.breaks(written, run); what != "" {
				w.t.Errorf("%s: %s ran at %s by gateway %d, %v after %s %s %d was written", what, run.ID, run.backend.ID, run.request.gateway, run.StartedAt.Sub(written.at), written.what, written.target, written.number)
			}
		}
	}
}

// breaks names the promise that the run breaks, or returns "".
func (w *world) breaks(written written, run ran) string {
	late := func(from time.Time, bound time.Duration) bool { return from.Sub(written.at) > bound }
	calm := w.calm.none(w.gateways[run.request.gateway].name, run.StartedAt)
	switch written.what {
	case "revoked":
		if run.request.key == written.target && late(run.request.sent, revocation) {
			return "revoked keys"
		}
	case "drained":
		if run.backend.ID == written.target && late(run.StartedAt, drainBound) && calm {
			return "drained back ends"
		}
	case "evacuated":
		if string(run.backend.domain) == written.target && late(run.StartedAt, evacuationBound) && calm && !w.takenBack(written, run.StartedAt) {
			return "evacuated failure domains"
		}
	case "moved":
		if run.request.route == "moving" && moveOf(run) < written.number && late(run.request.sent, configurationBound) && calm {
			return "configuration in force"
		}
	case "named":
		stretch := w.calm.noneBetween(w.gateways[run.request.gateway].name, written.at, run.StartedAt)
		if run.WeightsVersion > 0 && run.WeightsVersion < written.number && late(run.StartedAt, version) && calm && stretch {
			return "model versions"
		}
	}
	return ""
}

// takenBack tells whether the evacuated domain was taken back before the time.
func (w *world) takenBack(evacuated written, before time.Time) bool {
	for _, other := range w.writes {
		if other.what == "back" && other.target == evacuated.target && other.at.After(evacuated.at) && other.at.Before(before) {
			return true
		}
	}
	return false
}

// moveOf is the move of the route "moving" by which the run was routed.
func moveOf(run ran) int64 {
	number, err := strconv.ParseInt(strings.TrimPrefix(run.backend.service, "move-"), 10, 64)
	if err != nil {
		return -1
	}
	return number
}

// checkNeverBack checks that no life of a gateway goes back to an older configuration.
func (w *world) checkNeverBack(all []ran) {
	type life struct{ gateway, number int }
	byLife := make(map[life][]ran)
	for _, run := range all {
		if run.request.route == "moving" {
			key := life{run.request.gateway, run.request.life}
			byLife[key] = append(byLife[key], run)
		}
	}
	for key, runs := range byLife {
		for _, first := range runs {
			for _, later := range runs {
				if moveOf(later) < moveOf(first) && later.request.sent.Sub(first.StartedAt) > backBound && w.calm.none(w.gateways[key.gateway].name, later.StartedAt) {
					w.t.Errorf("never back: gateway %d sent %s to %s %v after %s to %s", key.gateway, later.ID, later.backend.ID, later.request.sent.Sub(first.StartedAt), first.ID, first.backend.ID)
				}
			}
		}
	}
}

// checkEngines checks that engines loaded only verified weights, and got no more than their slots from their sidecars
// and the shares of the gateways.
func (w *world) checkEngines() {
	for _, b := range w.engines {
		if _, wrong := b.engine.Stats(); wrong > 0 {
			w.t.Errorf("verified weights: %s loaded wrong pieces %d times", b.ID, wrong)
		}
	}
}

// checkRecovery checks that every gateway serves every route within the bound after the last fault. Time in which the
// machine gave no processor time does not count.
func (w *world) checkRecovery(ctx context.Context) {
	begun := time.Now()
	for gateway := range w.gateways {
		for {
			err := w.succeeds(ctx, gateway)
			if err == nil {
				break
			}
			if time.Since(begun)-w.calm.held(begun) > recoveryBound {
				w.t.Errorf("recovery: %v after the last fault: %v", recoveryBound, err)
				break
			}
			time.Sleep(recoveryPause)
		}
	}
	w.t.Logf("recovered after %v", time.Since(begun).Round(time.Millisecond))
}

func (w *world) outcomes(requests map[string]*request) string {
	counts := make(map[int]int)
	for _, r := range requests {
		counts[r.status]++
	}
	var text strings.Builder
	for _, status := range []int{0, 200, 401, 404, 502, 503, 504} {
		text.WriteString(strconv.Itoa(status) + ": " + strconv.Itoa(counts[status]) + " ")
	}
	return text.String()
}
