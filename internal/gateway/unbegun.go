package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
)

const (
	// unbegunMargin is how long before the bound of a version a call past the sidecar that has not begun is taken back. It leaves the
	// engine time to notice that its connection is closed.
	unbegunMargin = 200 * time.Millisecond
	// boundCheckInterval is the time between two looks at the bound, since a newer version may be requested while the call waits.
	boundCheckInterval = 500 * time.Millisecond
)

var errNotBegun = errors.New("the engine has not begun the call by the bound of its version")

// isRepeatable reports whether the call may run at another endpoint after one that may have begun it.
func (a *attempt) isRepeatable() bool {
	return a.f.route.Repeat == catalog.Idempotent || a.f.route.Resumable
}

// timeToBound returns the time until calls that have not begun with the version are taken back; false if no newer version is requested.
func (a *attempt) timeToBound(version int64) (time.Duration, bool) {
	g := a.f.g
	deadline, replaced := g.follower.View().Rollouts[a.query.Model].Deadline(version, g.settings.VersionRolloutMs.Duration())
	return deadline - unbegunMargin - bootclock.Now(), replaced
}

// exchangeBeforeBound exchanges like exchange, and takes the call back if the engine has not begun its answer by the bound of the
// version: no sidecar does that, and the call may wait at the engine for longer than was left when it was sent.
func (a *attempt) exchangeBeforeBound(request *dispatch.Request, version int64) (*dispatch.Response, call.ResponseInfo, error) {
	if !a.isRepeatable() {
		return a.exchange(request)
	}
	var settled atomic.Bool // by the begin of the answer or by the bound, whichever is first
	begun := make(chan struct{})
	go func() {
		for {
			wait, replaced := a.timeToBound(version)
			if replaced && wait <= 0 {
				if settled.CompareAndSwap(false, true) {
					a.cancel(errNotBegun)
				}
				return
			}
			if !replaced || wait > boundCheckInterval {
				wait = boundCheckInterval
			}
			select {
			case <-begun:
				return
			case <-time.After(wait):
			}
		}
	}()
	answer, info, err := a.exchange(request)
	close(begun)
	if settled.CompareAndSwap(false, true) {
		return answer, info, err
	}
	if answer != nil {
		answer.Close()
	}
	return nil, info, &refusalError{reason: "its sidecar is away, and " + errNotBegun.Error(), takenBack: true}
}
