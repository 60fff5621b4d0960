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
	sizeMetricInterval = time.Minute
	maxTokenGaps       = 1 << 14 // gaps between tokens that are recorded per request
	outcomeComplete    = "whole"
	outcomeCallerGone  = "caller_gone"
)

// callerFaultKinds are the kinds of refusals that do not count against the error budget, because only the caller
// can fix them.
var callerFaultKinds = []*errorx.Type{
	fault.BadRequest, fault.UnknownService, fault.UnknownWorkspace, fault.TooLarge, fault.IdempotencyConflict, fault.SuspectRequest,
}

// observer records metrics, a log line per request, and the counts of the burn-rate report.
type observer struct {
	logger         *log.Logger
	start          time.Time
	recorder       *burn.Recorder
	replicas       *burn.ReplicaTracker
	nextSizeUpdate atomic.Int64 // nanoseconds since start
}

func newObserver(logger *log.Logger) *observer {
	return &observer{logger: logger, start: time.Now(), recorder: burn.NewRecorder(), replicas: burn.NewReplicaTracker()}
}

func (o *observer) now() time.Duration { return time.Since(o.start) }

// newObservation returns a wrapper of the answer that records the request's outcome and latencies.
func (o *observer) newObservation(r *request, a *answer) *observation {
	telemetry.RequestStarted(r.service.Name)
	return &observation{answer: a, observer: o, request: r, start: time.Now()}
}

// viewChanged updates metrics from a new view. It is called on the control goroutine.
func (o *observer) viewChanged(view *node.View) {
	telemetry.PublishRecord(view.Self, len(view.Records))
	now := o.now()
	if view.Snapshot != nil {
		for _, reached := range o.replicas.Observe(now, view.Snapshot, view.Records) {
			o.recorder.RecordReplicas(now, reached.Service, reached.Duration)
			o.logger.Info().Str("service", string(reached.Service)).Dur("took", reached.Duration).Msg("version is on its replicas")
		}
	}
	if due := o.nextSizeUpdate.Load(); int64(now) >= due && o.nextSizeUpdate.CompareAndSwap(due, int64(now+sizeMetricInterval)) {
		telemetry.SetBurnSize(o.recorder.Size())
	}
}

// addMethods adds the control method of the burn-rate report.
func (o *observer) addMethods(methods map[string]rpc.Method) map[string]rpc.Method {
	methods[burn.MethodWindows] = rpc.Handle(func(_ context.Context, request burn.WindowsRequest) (burn.PackedResponse, error) {
		now := o.now()
		return o.recorder.Windows(now, request, o.replicas.Pending(now)).Pack()
	})
	return methods
}

// observation records one request in progress. It is used only by the goroutine that handles the request.
type observation struct {
	*answer
	observer      *observer
	request       *request
	start         time.Time
	attempts      int
	latestAttempt core.AttemptID // empty before the first

	lastWritten time.Time // when the last chunk of a stream was queued for the caller
	measured    burn.Observation
}

// attemptStarted records the start of an attempt.
func (o *observation) attemptStarted(id core.AttemptID) {
	o.attempts++
	o.latestAttempt = id
	telemetry.AttemptStarted(o.request.service.Name, o.attempts > 1)
	o.observer.logger.Debug().Str("request", string(o.request.id)).Str("attempt", string(id)).Msg("attempt started")
}

// write measures the time to the first chunk of a stream and between chunks. Time that a slow caller takes to read
// does not count.
func (o *observation) write(ctx context.Context, chunk []byte) bool {
	if !o.streaming {
		return o.answer.write(ctx, chunk)
	}
	now := time.Now()
	if o.measured.FirstToken == 0 {
		o.measured.FirstToken = now.Sub(o.start)
	} else if len(o.measured.TokenGaps) < maxTokenGaps {
		o.measured.TokenGaps = append(o.measured.TokenGaps, now.Sub(o.lastWritten))
	}
	o.answer.write(ctx, chunk)
	o.lastWritten = time.Now()
	return true
}

// finish records the outcome and ends the answer. A request whose caller disconnected does not count against the
// error budget.
func (o *observation) finish(outcome fault.Outcome, err error) {
	label := outcomeComplete
	switch {
	case err != nil && isClosed(o.callerGone):
		label = outcomeCallerGone
	case err != nil:
		label = string(outcome)
		telemetry.RequestRefused(fault.Kind(err))
	}
	service := o.request.service
	telemetry.RequestEnded(service.Name, string(service.Kind), label)
	o.measured.Bad = err != nil || o.status >= http.StatusInternalServerError
	if label != outcomeCallerGone && !isCallerFault(err) {
		o.observer.recorder.Record(o.observer.now(), burn.Key{Service: service.Name, Workspace: o.request.workspace}, o.measured)
	}
	o.logRequest(label, err)
	o.answer.finish(outcome, err)
}

func (o *observation) logRequest(outcome string, err error) {
	line := o.observer.logger.Debug()
	if err != nil {
		line = o.observer.logger.Warn().Err(err)
	}
	line.Str("request", string(o.request.id)).
		Str("attempt", string(o.latestAttempt)).
		Int("attempts", o.attempts).
		Str("service", string(o.request.service.Name)).
		Str("workspace", string(o.request.workspace)).
		Str("outcome", outcome).
		Int("status", o.status).
		Dur("took", time.Since(o.start)).
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

func isCallerFault(err error) bool {
	if err == nil {
		return false
	}
	for _, kind := range callerFaultKinds {
		if fault.Is(err, kind) {
			return true
		}
	}
	return false
}
