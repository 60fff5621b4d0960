package gateway

import (
	"errors"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// recordSilence records that the attempt's endpoint is silent. If another endpoint may run the call, the silence counts as a failure
// until the endpoint goes on.
func (f *forwarder) recordSilence(a *attempt) {
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
