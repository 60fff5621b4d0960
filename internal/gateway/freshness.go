package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/settings"
)

const (
	// staleViewAge is the age from which a view counts as stale. It is two of the follower's usual poll waits, so that at least
	// one read of the store has been missed.
	staleViewAge = 2500 * time.Millisecond
	// ageMargin covers the clock drift between two machines over the longest bound, and the way of a request to an endpoint.
	ageMargin = 250 * time.Millisecond
)

// viewLimits holds the ages from which the two tables of a view prove too little for a request with a key; 0 for no limit.
// Requests without a key are served with a view of any age: no store that can be read must not end a service.
type viewLimits struct {
	revocation    time.Duration // of the operators' table: a key that it holds may be revoked for longer than is allowed
	configuration time.Duration // since the store's last answer about that table: its keys and routes may be replaced for longer
	departure     time.Duration // of the registry: an endpoint that it lists may have left longer ago than is allowed
}

func newViewLimits(config settings.Gateway) viewLimits {
	limits := viewLimits{configuration: ageLimit(config.ConfigurationMs.Duration()), departure: ageLimit(config.DepartureMs.Duration())}
	if bound := config.RevocationMs.Duration(); bound > 0 {
		limits.revocation = bound - ageMargin
	}
	return limits
}

// ageLimit returns the age from which a view proves too little for the bound. It is not below staleViewAge, because a view of
// that age is usual between two reads.
func ageLimit(bound time.Duration) time.Duration {
	if bound == 0 {
		return 0
	}
	return max(bound-ageMargin, staleViewAge)
}

// viewAge is the age of a table of the view: it may lack changes made within that time.
type viewAge struct {
	age   time.Duration
	known bool // the table has been read
}

// within reports whether the age is below the limit.
func (a viewAge) within(limit time.Duration) bool { return a.known && (limit == 0 || a.age < limit) }

// viewAges holds the ages that the limits apply to.
type viewAges struct{ operators, answer, endpoints viewAge }

// check returns fault.NotReady if the tables are too old to send a request with a key to an endpoint.
func (l viewLimits) check(ages viewAges) error {
	switch {
	case !ages.operators.within(l.revocation) || !ages.answer.within(l.configuration):
		return fault.New(fault.NotReady, "the store could not be read for too long to judge keys", "retry, or use another gateway")
	case !ages.endpoints.within(l.departure):
		return fault.New(fault.NotReady, "the registry could not be read for too long to know which endpoints have left", "retry, or use another gateway")
	}
	return nil
}

func ageOf(age time.Duration, known bool) viewAge { return viewAge{age, known} }

// canVerifyKeys reports whether a key of the view cannot have been revoked longer ago than the revocation bound.
func (g *Gateway) canVerifyKeys() bool {
	return ageOf(g.follower.Age()).within(newViewLimits(g.settings).revocation)
}

// checkView returns fault.NotReady if the view is too old to send a request with a key to an endpoint now.
func (g *Gateway) checkView() error {
	return newViewLimits(g.settings).check(viewAges{ageOf(g.follower.Age()), ageOf(g.follower.AnswerAge()), ageOf(g.follower.EndpointsAge())})
}

// recheck returns an error if a request that was accepted with a key must not be sent to an endpoint now: the view has become
// too old while the request waited or was tried elsewhere, or the key has been revoked meanwhile.
func (g *Gateway) recheck(a *acceptedCall) error {
	if a.workspace == nil || a.route.Public {
		return nil
	}
	if err := g.checkView(); err != nil {
		return err
	}
	if current := g.follower.View().Workspace(a.call.APIKey); current == nil || current.Name != a.workspace.Name {
		return fault.New(fault.UnknownWorkspace, "the key was revoked before the request was sent to an endpoint", "send a valid key")
	}
	return nil
}
