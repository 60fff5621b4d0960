package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// noRank is the rank of requests that state none: the least urgent.
const noRank = catalog.LeastUrgent

// noticeableWait is the wait for admission from which a request counts as having waited. Admission without a wait takes less.
const noticeableWait = 2 * time.Millisecond

// removeRequestHeaders removes what the gateway states about the request to the sidecar alone.
func removeRequestHeaders(header http.Header) {
	for _, name := range []string{wire.HeaderFirstEvent, wire.HeaderMinVersion, wire.HeaderTrial, wire.HeaderRank, wire.HeaderAim, wire.HeaderReturned, wire.HeaderRepeatable} {
		header.Del(name)
	}
}

// rankedRequest returns what the call asks of the engine. Only a call with a rank may wait. The bound on its first event, if
// there is one, is tighter than the aim.
func (s *Sidecar) rankedRequest(r *http.Request, c *call.Call, arrived time.Time) admission.RankedRequest {
	began := s.gate.Now() - time.Since(arrived)
	rank, ranked := rankOf(r.Header)
	first, pause := aimOf(r.Header)
	if bound := firstEventBound(r); bound > 0 && first > 0 {
		first = min(first, bound)
	}
	demand := admission.Demand{
		Workspace:    c.Workspace,
		Rank:         rank,
		PromptTokens: c.PromptTokens,
		AnswerTokens: c.OutputTokens,
		LongestPause: pause,
		Deadline:     began + timeoutOf(c),
		Returned:     r.Header.Get(wire.HeaderReturned) != "",
	}
	if first > 0 {
		demand.FirstEventBy = began + first
	}
	return admission.RankedRequest{Demand: demand, Expected: s.prompts.Expect(c.PromptTokens, expectedAnswerTokens(c)), MayWait: ranked}
}

// expectedAnswerTokens returns the caller's estimate of the answer's length, or the most that it allows.
func expectedAnswerTokens(c *call.Call) int {
	if c.OutputHint == 0 {
		return c.OutputTokens
	}
	return c.OutputHint
}

// rankOf returns the rank that the gateway states; false if it states none.
func rankOf(header http.Header) (rank int, stated bool) {
	rank, err := strconv.Atoi(header.Get(wire.HeaderRank))
	if err != nil || rank < 0 {
		return noRank, false
	}
	return rank, true
}

// aimOf returns the time until the first event is late and the longest pause that is on time, as the gateway states them; 0 for
// those that are unstated, both if one is invalid.
func aimOf(header http.Header) (first, pause time.Duration) {
	firstText, pauseText, _ := strings.Cut(header.Get(wire.HeaderAim), ",")
	firstMs, firstErr := strconv.ParseUint(firstText, 10, 31)
	pauseMs, pauseErr := strconv.ParseUint(pauseText, 10, 31)
	if firstErr != nil || pauseErr != nil {
		return 0, 0
	}
	return time.Duration(firstMs) * time.Millisecond, time.Duration(pauseMs) * time.Millisecond
}

// refusalReason returns the sidecar's reason for a refusal by the gate.
func refusalReason(err error) string {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) && refusal.Reason == admission.TooLarge {
		return refusedTooLarge
	}
	return refusedNoCapacity
}

// forecastIn returns the forecast of a refusal by the gate; 0 if there is none.
func forecastIn(err error) time.Duration {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return refusal.Forecast
	}
	return 0
}
