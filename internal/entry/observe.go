package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

const (
	sizeInterval   = time.Minute
	maxGapsPerCall = 1 << 14 // gaps between tokens kept of one request
	outcomeWhole   = "whole"
	outcomeGone    = "caller_gone"
)

// callersFaults are the kinds of refusals that spend no budget, since the caller alone can mend them.
var callersFaults = []*errorx.Type{
	fault.BadRequest, fault.UnknownService, fault.UnknownSpace, fault.TooLarge, fault.KeyConflict, fault.Suspect,
}

// observer records what callers get: metrics, a log line for each request and the sums of the burn report.
type observer struct {
	logger   *log.Logger
	start    time.Time
	recorder *burn.Recorder
	replicas *burn.ReplicaTracker
	sizeDue  atomic.Int64 // nanoseconds since start
}

func newObserver(logger *log.Logger) *observer {
	return &observer{logger: logger, start: time.Now(), recorder: burn.NewRecorder(), replicas: burn.NewReplicaTracker()}
}

func (o *observer) now() time.Duration { return time.Since(o.start) }

// observe returns what passes the request's answer on and takes its times.
func (o *observer) observe(r *request, into *answer) *observation {
	telemetry.RequestStarted(r.service.Name)
	return &observation{answer: into, observer: o, request: r, begun: time.Now()}
}

// viewChanged takes note of a new view. It runs on the control thread.
func (o *observer) viewChanged(view *node.View) {
	telemetry.ShowRecord(view.Self, len(view.Records))
	now := o.now()
	if view.Snapshot != nil {
		for _, reached := range o.replicas.Observe(now, view.Snapshot, view.Records) {
			o.recorder.RecordReplicas(now, reached.Service, reached.Duration)
			o.logger.Info().Str("service", string(reached.Service)).Dur("took", reached.Duration).Msg("version is on its replicas")
		}
	}
	if due := o.sizeDue.Load(); int64(now) >= due && o.sizeDue.CompareAndSwap(due, int64(now+sizeInterval)) {
		telemetry.SetBurnSize(o.recorder.Size())
	}
}

// methods adds the control method of the burn report.
func (o *observer) methods(methods map[string]rpc.Method) map[string]rpc.Method {
	methods[burn.MethodWindows] = rpc.Handle(func(_ context.Context, request burn.WindowsRequest) (burn.PackedAnswer, error) {
		now := o.now()
		return o.recorder.Windows(now, request, o.replicas.Pending(now)).Pack()
	})
	return methods
}

// observation is one request under way. Only the request's own goroutine uses it.
type observation struct {
	*answer
	observer *observer
	request  *request
	begun    time.Time
	attempts int
	attempt  core.AttemptID // the latest

	last time.Time // when the caller's side had taken the latest part of a stream
	seen burn.Observation
}

// attempted takes note that an attempt of the request begins.
func (o *observation) attempted(id core.AttemptID) {
	o.attempts++
	o.attempt = id
	telemetry.AttemptStarted(o.request.service.Name, o.attempts > 1)
	o.observer.logger.Debug().Str("request", string(o.request.id)).Str("attempt", string(id)).Msg("attempt started")
}

// data times the parts of a stream. The time that a slow caller takes does not count.
func (o *observation) data(ctx context.Context, piece []byte) {
	if !o.streaming {
		o.answer.data(ctx, piece)
		return
	}
	now := time.Now()
	if o.seen.FirstToken == 0 {
		o.seen.FirstToken = now.Sub(o.begun)
	} else if len(o.seen.TokenGaps) < maxGapsPerCall {
		o.seen.TokenGaps = append(o.seen.TokenGaps, now.Sub(o.last))
	}
	o.answer.data(ctx, piece)
	o.last = time.Now()
}

// finish takes note of the request's outcome and ends the answer. A caller that left spends no budget.
func (o *observation) finish(outcome fault.Outcome, err error) {
	named := outcomeWhole
	switch {
	case err != nil && isClosed(o.gone):
		named = outcomeGone
	case err != nil:
		named = string(outcome)
		telemetry.RequestRefused(fault.Kind(err))
	}
	service := o.request.service
	telemetry.RequestEnded(service.Name, string(service.Kind), named)
	o.seen.Bad = err != nil || o.status >= http.StatusInternalServerError
	if named != outcomeGone && !isCallersFault(err) {
		o.observer.recorder.Record(o.observer.now(), burn.Key{Service: service.Name, Workspace: o.request.workspace}, o.seen)
	}
	o.log(named, err)
	o.answer.finish(outcome, err)
}

func (o *observation) log(outcome string, err error) {
	line := o.observer.logger.Debug()
	if err != nil {
		line = o.observer.logger.Warn().Err(err)
	}
	line.Str("request", string(o.request.id)).
		Str("attempt", string(o.attempt)).
		Int("attempts", o.attempts).
		Str("service", string(o.request.service.Name)).
		Str("workspace", string(o.request.workspace)).
		Str("outcome", outcome).
		Int("status", o.status).
		Dur("took", time.Since(o.begun)).
		Msg("request ended")
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func isCallersFault(err error) bool {
	if err == nil {
		return false
	}
	for _, kind := range callersFaults {
		if fault.Is(err, kind) {
			return true
		}
	}
	return false
}
