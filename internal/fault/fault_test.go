package fault

import (
	"errors"
	"fmt"
	"testing"
)

func TestKindIsFoundThroughWrappingAndJoining(t *testing.T) {
	cause := WithRetryAfter(New(Overloaded, "too much", "come back"), 7)
	for _, err := range []error{cause, fmt.Errorf("outer: %w", cause), errors.Join(cause, errors.New("other"))} {
		if !Is(err, Overloaded) || Is(err, Draining) || Kind(err) != "overloaded" || Remedy(err) != "come back" || RetryAfter(err) != 7 {
			t.Errorf("%v: kind %s, remedy %q, retry after %d", err, Kind(err), Remedy(err), RetryAfter(err))
		}
	}
	if other := errors.New("other"); Is(other, Overloaded) || Kind(other) != "internal" || Remedy(other) != "" || RetryAfter(other) != 0 {
		t.Error("an untyped error has a kind, a remedy or a time")
	}
}

func TestRefusalKeepsKindRemedyAndTime(t *testing.T) {
	for name, kind := range kindsByName {
		refusal := RefusalOf(WithRetryAfter(New(kind, "wrong", "remedy"), 3), NotRun)
		back := FromRefusal(refusal)
		if refusal.Kind != name || refusal.Outcome != NotRun || !Is(back, kind) || Remedy(back) != "remedy" || RetryAfter(back) != 3 {
			t.Errorf("%s came back as %+v, %v", name, refusal, back)
		}
		if StatusOf(name) < 400 {
			t.Errorf("%s has status %d", name, StatusOf(name))
		}
	}
}

type cause struct{}

func (cause) Error() string { return "cause" }

func TestFindReachesCauses(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Wrap(cause{}, NotFound, "inner", "remedy"), Conflict, "middle", "remedy"))
	if _, ok := Find[cause](err); !ok {
		t.Error("the cause was not found")
	}
	if _, ok := Find[cause](New(Conflict, "other", "remedy")); ok {
		t.Error("a cause was found where there is none")
	}
}

func TestExplainGivesALineToEachCause(t *testing.T) {
	inner := Wrap(errors.New("first\nsecond"), BadConfig, "inner", "do this")
	err := errors.Join(Wrap(inner, Conflict, "outer", "do that"), errors.New("other"))
	if got := Explain(err); got != "outer; do that\ninner; do this\nfirst\nsecond\nother" {
		t.Errorf("got %q", got)
	}
}
