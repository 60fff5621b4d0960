package admission

import (
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/retry"
)

// Reason says why a verdict was given.
type Reason int

// The reasons of verdicts. All but Admitted mean that the request did not and will not run here.
const (
	Admitted            Reason = iota
	QueueFull                  // the limit is reached and the queue has no place for it
	Displaced                  // its place in the queue went to a request of a workspace with fewer, or of a higher priority
	DeadlineUnreachable        // it cannot be answered here before its deadline
	Abandoned                  // its caller withdrew it, or its deadline passed in the queue
)

// refusalError returns the typed error of a refusal under the load.
func refusalError(reason Reason, demand, limit int, seed uint64) error {
	switch reason {
	case DeadlineUnreachable:
		return fault.New(fault.Overloaded, "the endpoint cannot answer within the deadline now", "send it to another endpoint or allow more time")
	case Abandoned:
		return fault.New(fault.Expired, "the deadline passed before the request could run", "allow more time or come back when the load is lower")
	}
	err := fault.New(fault.Overloaded, "the endpoint bears no more now", "send it to another endpoint or come back later")
	return fault.WithRetryAfter(err, retry.After(demand, limit, seed))
}
