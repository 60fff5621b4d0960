package entry

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/claim"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/outcome"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	resolveTimeout = time.Second
	resolveTries   = 3
	claimTimeout   = 4 * time.Second
	cancelTimeout  = time.Second
)

// perform does what the effect says. It returns the event that follows at once, or nil.
func (f *flow) perform(effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case outcome.Pick:
		return f.performPick(effect)
	case outcome.WriteClaim:
		f.tasks.Go(func() { f.post(f.ctx, f.takeClaim(effect)) })
	case outcome.ReadClaim:
		f.tasks.Go(func() { f.post(f.ctx, f.readClaim()) })
	case outcome.Resolve:
		f.tasks.Go(func() { f.post(f.ctx, f.resolve(effect.Attempt)) })
	case outcome.Dispatch, outcome.Attach, outcome.CloseConn, outcome.Cancel:
		f.performAttempt(effect)
	default:
		f.performAnswer(effect)
	}
	return nil
}

func (f *flow) performAttempt(effect reduce.Effect) {
	switch effect := effect.(type) {
	case outcome.Dispatch:
		f.answer.attempted(effect.Attempt.ID)
		f.dispatch(effect)
	case outcome.Attach:
		f.attach(effect)
	case outcome.CloseConn:
		f.drop(effect.Attempt)
	case outcome.Cancel:
		f.tasks.Go(func() { f.cancel(effect.Attempt) })
	}
}

func (f *flow) performAnswer(effect reduce.Effect) {
	switch effect := effect.(type) {
	case outcome.ReportCrash:
		f.entry.outcomes.suspects.RecordCrash(f.fingerprint, f.begun, time.Now())
	case outcome.ForwardHead:
		f.entry.outcomes.firstBytes.Get(f.request.service.Name).Record(time.Since(f.begun))
		f.answer.head(effect.Status, effect.ContentType)
	case outcome.ForwardData:
		f.answer.data(f.deadline, effect.Data)
	case outcome.Complete:
		f.entry.outcomes.suspects.RecordSuccess(f.fingerprint, time.Now())
		f.answer.finish("", nil)
	case outcome.Fail:
		f.answer.finish(effect.Outcome, effect.Err)
	}
}

func (f *flow) performPick(effect outcome.Pick) reduce.Event {
	f.excluded = make(map[core.HostID]bool, len(effect.Exclude))
	for _, host := range effect.Exclude {
		f.excluded[host] = true
	}
	chosen, err := f.pick()
	if err != nil {
		return outcome.PickFailed{Err: err}
	}
	host := chosen.endpoint.Host
	target := outcome.Target{Host: host, Incarnation: chosen.endpoint.Incarnation, Version: chosen.endpoint.Version}
	target.Mark = f.entry.outcomes.marks.of(host.ID, target.Incarnation)
	return outcome.Picked{Attempt: outcome.Attempt{ID: chosen.id, Target: target}}
}

func (f *flow) claimKey() claim.Key {
	return claim.Key{Workspace: f.request.workspace, Service: f.request.service.Name, Key: f.request.key}
}

func (f *flow) takeClaim(effect outcome.WriteClaim) reduce.Event {
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	target := effect.Attempt.Target
	holder := claim.Holder{
		Fingerprint: f.fingerprint,
		Attempt:     effect.Attempt.ID,
		Host:        target.Host,
		Incarnation: target.Incarnation,
		Mark:        target.Mark,
	}
	standing, err := f.entry.outcomes.claims.Acquire(ctx, f.claimKey(), holder, effect.IfRevision)
	if err != nil {
		return outcome.ClaimFailed{Err: err}
	}
	if standing.Holder.Attempt == effect.Attempt.ID {
		return outcome.ClaimWritten{Attempt: effect.Attempt.ID, Revision: standing.Revision}
	}
	return f.claimStands(standing)
}

func (f *flow) readClaim() reduce.Event {
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	standing, err := f.entry.outcomes.claims.Read(ctx, f.claimKey())
	if err != nil {
		return outcome.ClaimFailed{Err: err}
	}
	if standing.Revision == 0 {
		return outcome.ClaimAbsent{}
	}
	return f.claimStands(standing)
}

func (f *flow) claimStands(standing claim.Record) reduce.Event {
	holder := standing.Holder
	target := outcome.Target{Host: holder.Host, Incarnation: holder.Incarnation, Mark: holder.Mark}
	return outcome.ClaimFound{
		Attempt:  outcome.Attempt{ID: holder.Attempt, Target: target},
		Revision: standing.Revision,
		SameContent:     holder.Fingerprint == f.fingerprint,
	}
}

// resolve asks the agent over a fresh connection what became of the attempt.
func (f *flow) resolve(attempt outcome.Attempt) reduce.Event {
	request := wire.Resolve{Attempt: attempt.ID, Incarnation: attempt.Target.Incarnation, Mark: attempt.Target.Mark}
	for range resolveTries {
		var resolved wire.Resolved
		if f.callFresh(resolveTimeout, attempt.Target.Host, wire.MethodResolve, request, &resolved) == nil {
			return outcome.Resolved{Attempt: attempt.ID, State: resolved.State}
		}
	}
	return outcome.ResolveFailed{Attempt: attempt.ID}
}

func (f *flow) cancel(attempt outcome.Attempt) {
	var cancelled wire.Cancelled
	err := f.callFresh(cancelTimeout, attempt.Target.Host, wire.MethodCancel, wire.Cancel{Attempt: attempt.ID}, &cancelled)
	if err != nil {
		f.entry.logger.Debug().Err(err).Str("request", string(f.request.id)).Str("attempt", string(attempt.ID)).Msg("attempt not cancelled")
	}
}

// callFresh calls an agent over a connection of its own. It is not cut short by the end of the flow.
func (f *flow) callFresh(timeout time.Duration, host core.Host, method string, request, answer any) error {
	client := rpc.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Call(ctx, host.ControlAddress, method, request, answer)
}
