// Package fault defines the typed errors that the system reports. Each message ends with a remedy. A refusal also
// carries an outcome, which says whether the refused request may have run.
package fault

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

// Outcome says whether a refused request may have run.
type Outcome string

// The outcomes of a refused request.
const (
	NotRun  Outcome = "not_run" // it has not run and will not run
	Unknown Outcome = "unknown" // it may have run: retry it only if it is idempotent
)

// Namespace contains all error kinds of the project.
var Namespace = errorx.NewNamespace("lovageglade")

var (
	remedyProperty     = errorx.RegisterPrintableProperty("remedy")
	retryAfterProperty = errorx.RegisterProperty("retry_after_s")
)

// The kinds of errors. The string is what callers read in the "kind" field.
var (
	BadRequest          = Namespace.NewType("bad_request")
	UnknownService      = Namespace.NewType("unknown_service")
	UnknownWorkspace    = Namespace.NewType("unknown_workspace")
	TooLarge            = Namespace.NewType("too_large")
	NoEndpoint          = Namespace.NewType("no_endpoint")
	Overloaded          = Namespace.NewType("overloaded")
	Draining            = Namespace.NewType("draining")
	NotReady            = Namespace.NewType("not_ready")
	DeadlinePassed      = Namespace.NewType("deadline_passed")
	SuspectRequest      = Namespace.NewType("suspect_request")
	QuarantinedPrompt   = Namespace.NewType("quarantined_prompt")
	IdempotencyConflict = Namespace.NewType("idempotency_conflict")
	WrongIncarnation    = Namespace.NewType("wrong_incarnation")
	Tombstoned          = Namespace.NewType("tombstoned")
	Forbidden           = Namespace.NewType("forbidden_by_configuration")
	Interrupted         = Namespace.NewType("interrupted")
	EndpointFault       = Namespace.NewType("endpoint_fault")
	LostOutcome         = Namespace.NewType("outcome_unknown")
	PlatformUnavailable = Namespace.NewType("platform_unavailable")
	Conflict            = Namespace.NewType("conflict")
	NotFound            = Namespace.NewType("not_found")
	BadConfig           = Namespace.NewType("bad_configuration")
	BadSettings         = Namespace.NewType("bad_settings")
	Corrupted           = Namespace.NewType("corrupted")
	ObjectiveBurning    = Namespace.NewType("objective_burning")
	Internal            = Namespace.NewType("internal")
)

// New returns an error of the given kind. The message says what is wrong and the remedy what to do about it.
func New(kind *errorx.Type, message, remedy string) *errorx.Error {
	return kind.New("%s; %s", message, remedy).WithProperty(remedyProperty, remedy)
}

// Wrap is like New and records the cause.
func Wrap(cause error, kind *errorx.Type, message, remedy string) *errorx.Error {
	return kind.Wrap(cause, "%s; %s", message, remedy).WithProperty(remedyProperty, remedy)
}

// WithRetryAfter attaches the number of seconds after which the caller may retry.
func WithRetryAfter(err *errorx.Error, seconds int) *errorx.Error {
	return err.WithProperty(retryAfterProperty, seconds)
}

// RetryAfter returns the number of seconds after which the caller may retry, or 0 if none is attached.
func RetryAfter(err error) int {
	value, ok := property(err, retryAfterProperty)
	if !ok {
		return 0
	}
	seconds, _ := value.(int)
	return seconds
}

// Remedy returns the remedy attached to the error, or "" if there is none.
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

// Kind returns the short name of the error's kind, or "internal" for an error that is not of this project.
func Kind(err error) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) || !strings.HasPrefix(typed.Type().FullName(), Namespace.FullName()+".") {
		return shortName(Internal)
	}
	return shortName(typed.Type())
}

// Is reports whether the error is of the given kind. For a wrapped or joined error, the first typed error found
// decides.
func Is(err error, kind *errorx.Type) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(kind)
}

func shortName(kind *errorx.Type) string {
	return kind.FullName()[len(Namespace.FullName())+1:]
}
