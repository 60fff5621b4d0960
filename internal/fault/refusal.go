package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Refusal is the JSON body of a refused request. It is sent to callers and between the system's processes.
type Refusal struct {
	Kind        string  `json:"kind"`
	Outcome     Outcome `json:"outcome"`
	Message     string  `json:"message"`
	Remedy      string  `json:"remedy"`
	RetryAfterS int     `json:"retry_after_s,omitempty"` // seconds
}

// RefusalOf converts the error to a refusal with the given outcome.
func RefusalOf(err error, outcome Outcome) Refusal {
	message := err.Error()
	var typed *errorx.Error
	if errors.As(err, &typed) {
		message = typed.Message()
	}
	return Refusal{
		Kind:        Kind(err),
		Outcome:     outcome,
		Message:     message,
		Remedy:      Remedy(err),
		RetryAfterS: RetryAfter(err),
	}
}

// StatusOf returns the HTTP status for a kind of error, 500 for a kind that has none of its own.
func StatusOf(kind string) int {
	status, ok := statusByKind[kind]
	if !ok {
		return statusInternal
	}
	return status
}

const statusInternal = 500

var statusByKind = map[string]int{
	"bad_request":                400,
	"unknown_service":            404,
	"unknown_workspace":          403,
	"too_large":                  413,
	"no_endpoint":                503,
	"overloaded":                 503,
	"draining":                   503,
	"not_ready":                  503,
	"deadline_passed":            504,
	"suspect_request":            422,
	"idempotency_conflict":       409,
	"wrong_incarnation":          503,
	"tombstoned":                 503,
	"forbidden_by_configuration": 503,
	"interrupted":                502,
	"endpoint_fault":             502,
	"outcome_unknown":            502,
	"platform_unavailable":       503,
	"conflict":                   409,
	"not_found":                  404,
}

// FromRefusal converts a received refusal back to a typed error. An unknown kind becomes Internal.
func FromRefusal(refusal Refusal) *errorx.Error {
	kind, ok := kindsByName[refusal.Kind]
	if !ok {
		kind = Internal
	}
	err := kind.New("%s", refusal.Message).WithProperty(remedyProperty, refusal.Remedy)
	if refusal.RetryAfterS > 0 {
		err = WithRetryAfter(err, refusal.RetryAfterS)
	}
	return err
}

var kindsByName = indexKinds(
	BadRequest, UnknownService, UnknownWorkspace, TooLarge, NoEndpoint, Overloaded, Draining, NotReady, DeadlinePassed, SuspectRequest,
	IdempotencyConflict, WrongIncarnation, Tombstoned, Forbidden, Interrupted, EndpointFault, LostOutcome, PlatformUnavailable, Conflict,
	NotFound, BadConfig, BadSettings, Corrupted, ObjectiveBurning, Internal,
)

func indexKinds(kinds ...*errorx.Type) map[string]*errorx.Type {
	index := make(map[string]*errorx.Type, len(kinds))
	for _, kind := range kinds {
		index[shortName(kind)] = kind
	}
	return index
}
