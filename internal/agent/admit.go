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

// admit lets the attempt run, at once or after it has waited in the queue, or says why it will never run here. It sets
// the dispatch's version to the one that has to answer.
func (a *Agent) admit(ctx context.Context, dispatch *wire.Dispatch) error {
	a.node.ReportGeneration(dispatch.Generation, dispatch.Control)
	if a.draining.Load() {
		return fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint")
	}
	if err := a.allowed(dispatch); err != nil {
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
	if err := a.allowed(dispatch); err != nil { // the configuration may have changed while it waited
		a.gate.ReleaseUnmeasured()
		return err
	}
	return nil
}

// leave ends an admitted attempt. One that its caller withdrew says nothing of the back end.
func (a *Agent) leave(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		a.gate.ReleaseUnmeasured()
		return
	}
	a.gate.Release(err == nil)
}

func (a *Agent) allowed(dispatch *wire.Dispatch) error {
	snapshot := a.node.View().Snapshot
	if snapshot == nil || !a.node.Fresh() {
		return fault.New(fault.NotReady, "the agent holds no configuration, or has not compared it since it started or stood still", "send it to another endpoint")
	}
	return a.permitted(snapshot, dispatch)
}

// permitted refuses what the configuration that this agent holds forbids.
func (a *Agent) permitted(snapshot *config.Snapshot, dispatch *wire.Dispatch) error {
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
	version, err := answeringVersion(snapshot, dispatch, a.loader.serving())
	if err != nil {
		return err
	}
	dispatch.Version = version
	return nil
}

// answeringVersion returns the version that answers the dispatch: the one that is served, if the configuration accepts
// it. The entry may have expected another, since it learns late of what is served; that binds only when it decided
// under a newer configuration than the agent holds.
func answeringVersion(snapshot *config.Snapshot, dispatch *wire.Dispatch, serving core.VersionID) (core.VersionID, error) {
	if serving == "" || (serving != dispatch.Version && dispatch.Generation > snapshot.Generation) {
		return "", fault.New(fault.Forbidden, "the host does not serve the version "+string(dispatch.Version), "send it to a host that serves it")
	}
	if !slices.Contains(routing.AcceptedVersions(snapshot, dispatch.Service), serving) {
		return "", fault.New(fault.Forbidden, "the configuration does not hold the version "+string(serving), "read the configuration again")
	}
	return serving, nil
}

// observed is an engine whose answers and lives the gate learns of.
type observed struct {
	backend.Engine
	gate *admission.Gate
}

// Call implements backend.Caller.
func (o observed) Call(ctx context.Context, call backend.Call) (*stream.Response, error) {
	began := time.Now()
	answer, err := o.Engine.Call(ctx, call)
	switch {
	case ctx.Err() != nil: // its caller withdrew it or waits no longer
	case err != nil || answer.Status >= http.StatusInternalServerError:
		o.gate.RecordFailure()
	default:
		o.gate.RecordFirstByte(time.Since(began))
	}
	return answer, err
}

// State implements backend.Engine.
func (o observed) State(ctx context.Context) (backend.EngineState, error) {
	state, err := o.Engine.State(ctx)
	if err == nil {
		o.gate.ObserveIncarnation(state.Incarnation)
	}
	return state, err
}
