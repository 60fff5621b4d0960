// Package fault defines the typed kinds of errors that the system reports. Each message names the remedy, and each
// kind says whether the request it refuses has run.
package fault

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

// Outcome says whether a refused request has run.
type Outcome string

// The outcomes that a refusal can state.
const (
	NotRun  Outcome = "not_run" // the endpoint did not and will not run it
	Unknown Outcome = "unknown" // it may have run; it must not be sent again if it is not idempotent
)

// Namespace holds every kind of the project.
var Namespace = errorx.NewNamespace("lovageglade")

var (
	remedyProperty     = errorx.RegisterPrintableProperty("remedy")
	retryAfterProperty = errorx.RegisterProperty("retry_after_s")
)

// The kinds of errors. The name of a kind is what callers see in the "kind" field.
var (
	BadRequest     = Namespace.NewType("bad_request")
	UnknownService = Namespace.NewType("unknown_service")
	UnknownSpace   = Namespace.NewType("unknown_workspace")
	TooLarge       = Namespace.NewType("too_large")
	NoEndpoint     = Namespace.NewType("no_endpoint")
	Overloaded     = Namespace.NewType("overloaded")
	Draining       = Namespace.NewType("draining")
	NotReady       = Namespace.NewType("not_ready")
	Expired        = Namespace.NewType("deadline_passed")
	Suspect        = Namespace.NewType("suspect_request")
	KeyConflict    = Namespace.NewType("idempotency_conflict")
	WrongLife      = Namespace.NewType("wrong_incarnation")
	Tombstoned     = Namespace.NewType("tombstoned")
	Forbidden      = Namespace.NewType("forbidden_by_configuration")
	Interrupted    = Namespace.NewType("interrupted")
	EndpointFault  = Namespace.NewType("endpoint_fault")
	LostOutcome    = Namespace.NewType("outcome_unknown")
	PlatformDown   = Namespace.NewType("platform_unavailable")
	Conflict       = Namespace.NewType("conflict")
	NotFound       = Namespace.NewType("not_found")
	BadConfig      = Namespace.NewType("bad_configuration")
	BadSettings    = Namespace.NewType("bad_settings")
	Corrupted      = Namespace.NewType("corrupted")
	Burning        = Namespace.NewType("objective_burning")
	Internal       = Namespace.NewType("internal")
)

// New returns an error of the kind, with a message that says what is wrong and a remedy that says what to do.
func New(kind *errorx.Type, message, remedy string) *errorx.Error {
	return kind.New("%s; %s", message, remedy).WithProperty(remedyProperty, remedy)
}

// Wrap returns an error of the kind with a cause.
func Wrap(cause error, kind *errorx.Type, message, remedy string) *errorx.Error {
	return kind.Wrap(cause, "%s; %s", message, remedy).WithProperty(remedyProperty, remedy)
}

// WithRetryAfter attaches the time in seconds after which the caller may try again.
func WithRetryAfter(err *errorx.Error, seconds int) *errorx.Error {
	return err.WithProperty(retryAfterProperty, seconds)
}

// RetryAfter returns the time in seconds after which the caller may try again, or 0 when none is attached.
func RetryAfter(err error) int {
	value, ok := property(err, retryAfterProperty)
	if !ok {
		return 0
	}
	seconds, _ := value.(int)
	return seconds
}

// Remedy returns the remedy that the error names, or "" when it names none.
func Remedy(err error) string {
	value, ok := property(err, remedyProperty)
	if !ok {
		return ""
	}
	remedy, _ := value.(string)
	return remedy
}

func property(err error, name errorx.Property) (any, bool) {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return nil, false
	}
	return typed.Property(name)
}

// Kind returns the short name of the error's kind, or "internal" for an error of another origin.
func Kind(err error) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) || !strings.HasPrefix(typed.Type().FullName(), Namespace.FullName()+".") {
		return shortName(Internal)
	}
	return shortName(typed.Type())
}

// Is tells whether the error, or the first typed one that it wraps or joins, is of the kind.
func Is(err error, kind *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(kind)
}

func shortName(kind *errorx.Type) string {
	return kind.FullName()[len(Namespace.FullName())+1:]
}
