package agent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// admit waits until the attempt may run, or returns the reason why it will never run here. It sets the dispatch's
// version to the one that will answer.
func (a *Agent) admit(ctx context.Context, dispatch *wire.Dispatch) error {
	a.node.ReportGeneration(dispatch.Generation, dispatch.ControlAddress)
	if a.draining.Load() {
		return fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint")
	}
	if err := a.checkAllowed(dispatch); err != nil {
		return err
	}
	err := a.gate.Acquire(ctx, admission.Request{
		Workspace: dispatch.Workspace,
		Priority:  dispatch.Priority,
		Deadline:  time.Now().Add(time.Duration(dispatch.BudgetMS) * time.Millisecond),
	})
	if err != nil {
		return err
	}
	if err := a.checkAllowed(dispatch); err != nil { // the configuration may have changed during the wait
		a.gate.ReleaseUnmeasured()
		return err
	}
	return nil
}

// cancelSettleTime is how long a cancelled attempt keeps its slot. An engine notices that its connection was closed when it writes
// the second token after it, and tokens are 51 ms apart at the target.
const cancelSettleTime = 100 * time.Millisecond

// releaseSlot releases the gate's slot of an attempt that has ended. The failure of an attempt that its caller
// cancelled is not counted, because it says nothing about the back end, which goes on with it for a moment.
func (a *Agent) releaseSlot(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		time.AfterFunc(cancelSettleTime, a.gate.ReleaseUnmeasured)
		return
	}
	a.gate.Release(err == nil)
}

// checkAllowed rejects a dispatch if this agent's configuration is missing, may be stale, or does not allow it.
func (a *Agent) checkAllowed(dispatch *wire.Dispatch) error {
	snapshot := a.node.View().Snapshot
	if snapshot == nil || !a.node.Fresh() {
		return fault.New(fault.NotReady, "the agent has no configuration, or has not checked it with other nodes since it started or resumed", "send it to another endpoint")
	}
	return a.checkConfiguration(snapshot, dispatch)
}

// checkConfiguration rejects a dispatch that this agent's configuration does not allow.
func (a *Agent) checkConfiguration(snapshot *config.Snapshot, dispatch *wire.Dispatch) error {
	service := snapshot.ServiceForHost(a.settings.Host.ID)
	if service == nil || service.Name != dispatch.Service {
		return fault.New(fault.Forbidden, "this host does not serve "+string(dispatch.Service), "read the configuration again")
	}
	if snapshot.IsDomainOut(a.settings.Host.FailureDomain) {
		return fault.New(fault.Forbidden, "the failure domain is out of service", "send it to another failure domain")
	}
	if service.Kind != config.KindModel {
		return nil
	}
	version, err := answeringVersion(snapshot, dispatch, a.loader.servedVersion())
	if err != nil {
		return err
	}
	dispatch.Version = version
	return nil
}

// answeringVersion returns the version that answers the dispatch: the served one, if the configuration accepts it.
// The entry may expect another version, because it learns late which one is served. Its expectation is binding only
// if it used a newer configuration than the agent has.
func answeringVersion(snapshot *config.Snapshot, dispatch *wire.Dispatch, serving core.VersionID) (core.VersionID, error) {
	if serving == "" || (serving != dispatch.Version && dispatch.Generation > snapshot.Generation) {
		return "", fault.New(fault.Forbidden, "the host does not serve the version "+string(dispatch.Version), "send it to a host that serves it")
	}
	if !slices.Contains(routing.AcceptedVersions(snapshot, dispatch.Service), serving) {
		return "", fault.New(fault.Forbidden, "the configuration does not accept the version "+string(serving), "read the configuration again")
	}
	return serving, nil
}

// observedEngine reports the engine's responses, failures and restarts to the gate.
type observedEngine struct {
	backend.Engine
	gate *admission.Gate
}

// Call implements backend.Caller.
func (o observedEngine) Call(ctx context.Context, call backend.Call) (*stream.Response, error) {
	start := time.Now()
	answer, err := o.Engine.Call(ctx, call)
	switch {
	case ctx.Err() != nil: // the caller cancelled it or its deadline passed
	case err != nil || answer.Status >= http.StatusInternalServerError:
		o.gate.RecordFailure()
	default:
		o.gate.RecordFirstByte(time.Since(start))
	}
	return answer, err
}

// State implements backend.Engine.
func (o observedEngine) State(ctx context.Context) (backend.EngineState, error) {
	state, err := o.Engine.State(ctx)
	if err == nil {
		o.gate.ObserveIncarnation(state.Incarnation)
	}
	return state, err
}
