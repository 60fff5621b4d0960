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
	resolveTimeout  = time.Second
	maxResolveCalls = 3
	claimTimeout    = 4 * time.Second
	cancelTimeout   = time.Second
)

// perform carries out the effect. It returns the event that results immediately, or nil.
func (f *forwarder) perform(effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case outcome.Pick:
		return f.performPick(effect)
	case outcome.WriteClaim:
		f.tasks.Go(func() { f.post(f.ctx, f.acquireClaim(effect)) })
	case outcome.ReadClaim:
		f.tasks.Go(func() { f.post(f.ctx, f.readClaim()) })
	case outcome.Resolve:
		f.tasks.Go(func() { f.post(f.ctx, f.resolve(effect.Attempt)) })
	case outcome.Dispatch, outcome.Attach, outcome.CloseConn, outcome.Cancel:
		f.performAttempt(effect)
	default:
		return f.performAnswer(effect)
	}
	return nil
}

func (f *forwarder) performAttempt(effect reduce.Effect) {
	switch effect := effect.(type) {
	case outcome.Dispatch:
		f.answer.attemptStarted(effect.Attempt.ID)
		f.dispatch(effect)
	case outcome.Attach:
		f.attach(effect)
	case outcome.CloseConn:
		f.cancelReader(effect.Attempt)
	case outcome.Cancel:
		f.tasks.Go(func() { f.cancelAttempt(effect.Attempt) })
	}
}

func (f *forwarder) performAnswer(effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case outcome.ReportCrash:
		f.entry.outcomeState.suspects.RecordCrash(f.fingerprint, f.start, time.Now())
	case outcome.ForwardHead:
		f.entry.outcomeState.firstByteTimes.Get(f.request.service.Name).Record(time.Since(f.start))
		f.answer.setHead(effect.Status, effect.ContentType)
	case outcome.ForwardData:
		if !f.answer.write(f.deadlineCtx, effect.Data) {
			return outcome.NoRoom{}
		}
	case outcome.Complete:
		f.entry.outcomeState.suspects.RecordSuccess(f.fingerprint, time.Now())
		f.answer.finish("", nil)
	case outcome.Fail:
		f.answer.finish(effect.Outcome, effect.Err)
	}
	return nil
}

func (f *forwarder) performPick(effect outcome.Pick) reduce.Event {
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
	target.Mark = f.entry.outcomeState.marks.latestOf(host.ID, target.Incarnation)
	return outcome.Picked{Attempt: outcome.Attempt{ID: chosen.id, Target: target}}
}

func (f *forwarder) claimKey() claim.Key {
	return claim.Key{Workspace: f.request.workspace, Service: f.request.service.Name, Key: f.request.key}
}

func (f *forwarder) acquireClaim(effect outcome.WriteClaim) reduce.Event {
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
	current, err := f.entry.outcomeState.claims.Acquire(ctx, f.claimKey(), holder, effect.IfRevision)
	if err != nil {
		return outcome.ClaimFailed{Err: err}
	}
	if current.Holder.Attempt == effect.Attempt.ID {
		return outcome.ClaimWritten{Attempt: effect.Attempt.ID, Revision: current.Revision}
	}
	return f.claimFound(current)
}

func (f *forwarder) readClaim() reduce.Event {
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	current, err := f.entry.outcomeState.claims.Read(ctx, f.claimKey())
	if err != nil {
		return outcome.ClaimFailed{Err: err}
	}
	if current.Revision == 0 {
		return outcome.ClaimAbsent{}
	}
	return f.claimFound(current)
}

func (f *forwarder) claimFound(current claim.Record) reduce.Event {
	holder := current.Holder
	target := outcome.Target{Host: holder.Host, Incarnation: holder.Incarnation, Mark: holder.Mark}
	return outcome.ClaimFound{
		Attempt:     outcome.Attempt{ID: holder.Attempt, Target: target},
		Revision:    current.Revision,
		SameContent: holder.Fingerprint == f.fingerprint,
	}
}

// resolve asks the agent for the state of the attempt. It calls up to maxResolveCalls times, each time over a new
// connection.
func (f *forwarder) resolve(attempt outcome.Attempt) reduce.Event {
	request := wire.Resolve{Attempt: attempt.ID, Incarnation: attempt.Target.Incarnation, Mark: attempt.Target.Mark}
	for range maxResolveCalls {
		var resolved wire.ResolveResult
		if f.callOnNewConn(resolveTimeout, attempt.Target.Host, wire.MethodResolve, request, &resolved) == nil {
			return outcome.Resolved{Attempt: attempt.ID, State: resolved.State}
		}
	}
	return outcome.ResolveFailed{Attempt: attempt.ID}
}

func (f *forwarder) cancelAttempt(attempt outcome.Attempt) {
	var cancelled wire.CancelResult
	err := f.callOnNewConn(cancelTimeout, attempt.Target.Host, wire.MethodCancel, wire.Cancel{Attempt: attempt.ID}, &cancelled)
	if err != nil {
		f.entry.logger.Debug().Err(err).Str("request", string(f.request.id)).Str("attempt", string(attempt.ID)).Msg("attempt could not be cancelled")
	}
}

// callOnNewConn calls an agent over a connection of its own. The call continues after the forwarder's context ends.
func (f *forwarder) callOnNewConn(timeout time.Duration, host core.Host, method string, params, result any) error {
	client := rpc.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Call(ctx, host.ControlAddress, method, params, result)
}
