package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Refusal is why a request is refused before it has arrived whole. It has not run and will not run.
type Refusal struct {
	Status     int           // of the answer
	RetryAfter time.Duration // 0 if the same request will not be taken either
	name       string        // in metrics
	cause      *errorx.Error
}

// Error implements error.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the typed error.
func (r *Refusal) Unwrap() error { return r.cause }

const retryAfter = time.Second

var (
	errNoRoom = &Refusal{
		name: "no room", Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		cause: fault.New(fault.Overloaded, "what callers have sent fills the memory that this process has for it", "come back later, on a new connection"),
	}
	errTooSlow = &Refusal{
		name: "too slow", Status: http.StatusRequestTimeout,
		cause: fault.New(fault.DeadlinePassed, "the request did not arrive in time", "send it at once, on a new connection"),
	}
	errHeadTooLong = &Refusal{
		name: "head too long", Status: http.StatusRequestHeaderFieldsTooLarge,
		cause: fault.New(fault.TooLarge, "the head of the request is longer than the configuration allows", "send fewer or shorter header lines"),
	}
	errStopping = &Refusal{
		name: "stopping", Status: http.StatusServiceUnavailable,
		cause: fault.New(fault.NotReady, "the process stops before the request has arrived", "send it again on a new connection"),
	}
)

// Answer returns the whole answer to a request that no handler knows of.
func (r *Refusal) Answer() []byte {
	document := fault.RefusalOf(r.cause, fault.NotRun)
	body, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen: the document holds only texts and numbers
	}
	after := ""
	if r.Status == http.StatusServiceUnavailable {
		after = fmt.Sprintf("Retry-After: %d\r\n", int(r.RetryAfter.Seconds()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s", r.Status, http.StatusText(r.Status), len(body), after, body)
}
