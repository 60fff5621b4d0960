package fault

import (
	"errors"
	"fmt"
	"testing"
)

func TestKindIsFoundInWrappedAndJoinedErrors(t *testing.T) {
	cause := WithRetryAfter(New(Overloaded, "too many requests", "retry later"), 7)
	for _, err := range []error{cause, fmt.Errorf("outer: %w", cause), errors.Join(cause, errors.New("other"))} {
		if !Is(err, Overloaded) || Is(err, Draining) || Kind(err) != "overloaded" || Remedy(err) != "retry later" || RetryAfter(err) != 7 {
			t.Errorf("%v: kind %s, remedy %q, retry after %d", err, Kind(err), Remedy(err), RetryAfter(err))
		}
	}
	if other := errors.New("other"); Is(other, Overloaded) || Kind(other) != "internal" || Remedy(other) != "" || RetryAfter(other) != 0 {
		t.Error("an untyped error has a kind, a remedy or a retry time")
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	for name, kind := range kindsByName {
		refusal := RefusalOf(WithRetryAfter(New(kind, "wrong", "remedy"), 3), NotRun)
		restored := FromRefusal(refusal)
		if refusal.Kind != name || refusal.Outcome != NotRun || !Is(restored, kind) || Remedy(restored) != "remedy" || RetryAfter(restored) != 3 {
			t.Errorf("%s: refusal %+v, converted back to %v", name, refusal, restored)
		}
		if StatusOf(name) < 400 {
			t.Errorf("%s has status %d", name, StatusOf(name))
		}
	}
}

type causeError struct{}

func (causeError) Error() string { return "cause" }

func TestFindCauseReachesCauses(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Wrap(causeError{}, NotFound, "inner", "remedy"), Conflict, "middle", "remedy"))
	if _, ok := FindCause[causeError](err); !ok {
		t.Error("the cause was not found")
	}
	if _, ok := FindCause[causeError](New(Conflict, "other", "remedy")); ok {
		t.Error("a cause was found where there is none")
	}
}

func TestExplainPrintsOneLinePerCause(t *testing.T) {
	inner := Wrap(errors.New("first\nsecond"), BadConfig, "inner", "do this")
	err := errors.Join(Wrap(inner, Conflict, "outer", "do that"), errors.New("other"))
	if got := Explain(err); got != "outer; do that\ninner; do this\nfirst\nsecond\nother" {
		t.Errorf("got %q", got)
	}
}
