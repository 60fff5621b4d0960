package gateway

import (
	"errors"
	"time"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

const (
	// silenceRecheckInterval is the time after which another endpoint is sought again while all that are asked are silent.
	silenceRecheckInterval = 250 * time.Millisecond
	// fallbackHold is how long a server error of one endpoint is held back while another one is silent and may give a better answer.
	fallbackHold = 500 * time.Millisecond
)

// silence is the state of a call while all endpoints that are asked are silent and no other one could be asked.
type silence struct {
	recheck     <-chan time.Time // nil while nothing is to be checked again
	fallbackDue time.Time        // when the fallback answer is sent; zero without one
}

// recordSilence records that the attempt's endpoint is silent. If another endpoint may run the call, the silence counts as a failure
// until the endpoint goes on.
func (f *forwarder) recordSilence(a *attempt) {
	a.stall.seen.Store(true)
	if a.sentAt.Load() == 0 || f.possibleRuns() >= f.route.MaxAttempts {
		return
	}
	a.failedAt = f.g.now()
	f.g.recordFailure(a.endpoint)
	if a.sending.Load() {
		f.recordBreak(a)
	}
}

// recordProgress takes back the failure that the silence of the attempt's endpoint was counted as.
func (f *forwarder) recordProgress(a *attempt) {
	if a.failedAt == 0 {
		return
	}
	f.g.placer.TakeBackError(a.endpoint.ID, a.failedAt, f.g.now())
	f.g.recordSuccess(a.endpoint)
	a.failedAt = 0
}

// askBeside asks another endpoint while that of the attempt is silent. The attempt stays open. A call that may run no more often is
// left to its endpoint without a word in the log.
func (f *forwarder) askBeside(silent *attempt) {
	asked, err := f.askAnother()
	if err != nil {
		f.waitInSilence(err)
	}
	if errors.Is(err, errMaxRuns) {
		return
	}
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(silent.endpoint.ID))
	if err != nil {
		telemetry.EndpointSilent("no other asked")
		entry.Err(err).Msg("endpoint is silent, and no other one can be asked")
		return
	}
	telemetry.EndpointSilent("other asked")
	entry.Str("asked", string(asked.endpoint.ID)).Msg("endpoint is silent, another one is asked")
}

// askAfterFailure asks another endpoint after one that gave no whole answer. Those that are still open are silent.
func (f *forwarder) askAfterFailure() {
	if _, err := f.askAnother(); err != nil && len(f.open) > 0 {
		f.waitInSilence(err)
	}
}

// waitInSilence has the search for another endpoint repeated after it ended with the error. An endpoint that is silent may be dead, and
// another one may be available shortly, or a retry be allowed again.
func (f *forwarder) waitInSilence(err error) {
	if f.fallback != nil && f.silence.fallbackDue.IsZero() {
		f.silence.fallbackDue = time.Now().Add(fallbackHold)
	}
	if f.fallback != nil || !errors.Is(err, errMaxRuns) {
		f.silence.recheck = time.After(silenceRecheckInterval)
	}
}

// recheckSilence asks another endpoint if all that are open are still silent. If none can be asked, a fallback answer that was held
// back long enough is sent.
func (f *forwarder) recheckSilence() {
	f.silence.recheck = nil
	if !f.open.allSilent() {
		return
	}
	asked, err := f.askAnother()
	switch {
	case err == nil:
		telemetry.EndpointSilent("other asked")
		f.g.logger.Info().Str("request", string(f.call.ID)).Str("asked", string(asked.endpoint.ID)).Msg("endpoint is silent, another one is asked")
	case f.fallback != nil && !time.Now().Before(f.silence.fallbackDue):
		f.open = nil
	default:
		f.waitInSilence(err)
	}
}

// overtake ends an attempt because another one has gone on.
func (f *forwarder) overtake(loser, winner *attempt) {
	outcome := "other took over"
	wentOn := winner.id < loser.id
	if wentOn {
		outcome = "went on"
	}
	telemetry.EndpointSilent(outcome)
	loser.cancel(errOvertaken)
	loser.pick.recordOutcome(errOvertaken)
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(loser.endpoint.ID)).Str("by", string(winner.endpoint.ID)).Bool("went_on", wentOn)
	f.addEndReason(entry, loser).Msg("attempt overtaken")
}
