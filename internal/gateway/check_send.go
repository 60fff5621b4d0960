package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// maxSendDelay is the longest time from the pick of an endpoint until the request is sent to it. It is half of the time within which
// the removal of an endpoint must take effect. Only a process that is delayed itself or cannot reach delegates takes longer.
const maxSendDelay = time.Second

// checkSend returns a refusalError if what allowed the call to be sent no longer holds, just before its first byte is sent. The
// process may have been suspended since, and the body may have arrived slowly.
func (a *attempt) checkSend() error {
	now := bootclock.Now()
	switch {
	case now-a.pickedAt >= maxSendDelay:
		return &refusalError{reason: "too much time has passed since the endpoint was picked", outdated: true}
	case now >= a.f.deadline:
		return &refusalError{reason: "the time of the request has passed", outdated: true}
	case a.directVersion > 0 && a.directVersion < a.f.minVersion(a.f.g.follower.View()):
		return &refusalError{reason: "its sidecar is away and its version has passed its bound since the endpoint was picked", outdated: true}
	case a.f.g.recheck(a.f.acceptedCall) != nil:
		return &refusalError{reason: "the key is no longer valid, or the store could not be read for too long to judge it", outdated: true}
	}
	a.sending.Store(true)
	return nil
}
