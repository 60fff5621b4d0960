package admission

import (
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/retry"
)

// Reason is the reason for a decision.
type Reason int

// The reasons for decisions. All but Admitted mean that the request has not run and will not run at this endpoint.
const (
	Admitted            Reason = iota
	QueueFull                  // the limit is reached and the queue has no room for it
	Displaced                  // displaced by a request with a higher priority or of a workspace with fewer waiters
	DeadlineUnreachable        // it is not expected to end before its deadline
	Abandoned                  // its caller cancelled it or its deadline passed
	NoRoomInTime               // it cannot start early enough
	TooLarge                   // it needs more than the endpoint has when idle
)

// refusalError returns the error for a reason other than Admitted. For a queue that is full or a displaced request,
// it has a retry delay that depends on the load; demand and limit are in requests.
func refusalError(reason Reason, demand, limit int, seed uint64) error {
	switch reason {
	case DeadlineUnreachable:
		return fault.New(fault.Overloaded, "the endpoint cannot answer within the deadline now", "send the request to another endpoint or allow more time")
	case TooLarge:
		return fault.New(fault.Overloaded, "the request is larger than the memory of the endpoint", "send a shorter prompt or allow fewer tokens in the answer")
	case Abandoned:
		return fault.New(fault.DeadlinePassed, "the deadline passed before the request could run", "allow more time or retry when the load is lower")
	}
	err := fault.New(fault.Overloaded, "the endpoint bears no more now", "send the request to another endpoint or retry later")
	return fault.WithRetryAfter(err, retry.RetryAfterSeconds(demand, limit, seed))
}
