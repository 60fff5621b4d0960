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
	a.node.HearGeneration(dispatch.Generation, dispatch.Control)
	if a.draining.Load() {
		return fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint")
	}
	if err := a.checkAllowed(dispatch); err != nil {
		return err
	}
	err := a.gate.Enter(ctx, admission.Ticket{
		Workspace: dispatch.Workspace,
		Priority:  dispatch.Priority,
		Deadline:  time.Now().Add(time.Duration(dispatch.BudgetMS) * time.Millisecond),
	})
	if err != nil {
		return err
	}
	if err := a.checkAllowed(dispatch); err != nil { // the configuration may have changed while it waited
		a.gate.Return()
		return err
	}
	return nil
}

// releaseSlot ends an admitted attempt. One that its caller withdrew says nothing of the back end.
func (a *Agent) releaseSlot(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		a.gate.Return()
		return
	}
	a.gate.Leave(err == nil)
}

func (a *Agent) checkAllowed(dispatch *wire.Dispatch) error {
	snapshot := a.node.View().Snapshot
	if snapshot == nil || !a.node.Fresh() {
		return fault.New(fault.NotReady, "the agent holds no configuration, or has not compared it since it started or stood still", "send it to another endpoint")
	}
	return a.checkConfiguration(snapshot, dispatch)
}

// checkConfiguration refuses what the configuration that this agent holds forbids.
func (a *Agent) checkConfiguration(snapshot *config.Snapshot, dispatch *wire.Dispatch) error {
	service := snapshot.ServiceAt(a.settings.Host.ID)
	if service == nil || service.Name != dispatch.Service {
		return fault.New(fault.Forbidden, "this host does not serve "+string(dispatch.Service), "read the configuration again")
	}
	if snapshot.DomainOut(a.settings.Host.FailureDomain) {
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

// observedEngine is an engine whose answers and lives the gate learns of.
type observedEngine struct {
	backend.Engine
	gate *admission.Gate
}

// Call implements backend.Caller.
func (o observedEngine) Call(ctx context.Context, call backend.Call) (*stream.Response, error) {
	start := time.Now()
	answer, err := o.Engine.Call(ctx, call)
	switch {
	case ctx.Err() != nil: // its caller withdrew it or waits no longer
	case err != nil || answer.Status >= http.StatusInternalServerError:
		o.gate.Failed()
	default:
		o.gate.Observe(time.Since(start))
	}
	return answer, err
}

// State implements backend.Engine.
func (o observedEngine) State(ctx context.Context) (backend.EngineState, error) {
	state, err := o.Engine.State(ctx)
	if err == nil {
		o.gate.SawLife(state.Life)
	}
	return state, err
}
