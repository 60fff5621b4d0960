package admission

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Demand is what a request asks of an engine, and how urgent it is. Its times are on the clock of the events.
type Demand struct {
	Workspace    core.Workspace
	Rank         int           // 0 is the most urgent; see catalog.Precedence
	PromptTokens int           // to read before the first event
	AnswerTokens int           // expected, or the most that the caller allows
	FirstEventBy time.Duration // the first event is late after this time; 0 if it never is
	LongestPause time.Duration // between two events that are on time; 0 for any
	Deadline     time.Duration // when the caller leaves
	Returned     bool          // refused before, and has come back as it was told to
}

// Constraint decides, beside the number of running requests, whether a request may begin. Implementations hold no clock and
// need no lock: one goroutine at a time uses them.
type Constraint interface {
	// Admits reports whether the request may begin now.
	Admits(demand Demand, now time.Duration) bool
	// CanEverAdmit reports whether the request could begin at an idle engine. One that could not is refused at once.
	CanEverAdmit(demand Demand) bool
	// Begin records that the request has begun.
	Begin(id uint64, demand Demand, now time.Duration)
	// FirstEvent records the first event of the request's answer. Only the first call has an effect.
	FirstEvent(id uint64, now time.Duration)
	// End records the end of the request. A request that did not begin is ignored.
	End(id uint64)
}
