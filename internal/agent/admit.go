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
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// admit lets the attempt run, at once or after it has waited in the queue, or says why it will never run here.
func (a *Agent) admit(ctx context.Context, dispatch wire.Dispatch) error {
	a.node.HearGeneration(dispatch.Generation, dispatch.Control)
	if a.draining.Load() {
		return fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint")
	}
	if err := a.allowed(dispatch); err != nil {
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
	if err := a.allowed(dispatch); err != nil { // the configuration may have changed while it waited
		a.gate.Return()
		return err
	}
	return nil
}

// leave ends an admitted attempt. One that its caller withdrew says nothing of the back end.
func (a *Agent) leave(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		a.gate.Return()
		return
	}
	a.gate.Leave(err == nil)
}

func (a *Agent) allowed(dispatch wire.Dispatch) error {
	snapshot := a.node.View().Snapshot
	if snapshot == nil || !a.node.Fresh() {
		return fault.New(fault.NotReady, "the agent holds no configuration, or has not compared it since it started or stood still", "send it to another endpoint")
	}
	return a.permitted(snapshot, dispatch)
}

// permitted refuses what the configuration that this agent holds forbids.
func (a *Agent) permitted(snapshot *config.Snapshot, dispatch wire.Dispatch) error {
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
	if dispatch.Version != a.loader.serving() {
		return fault.New(fault.Forbidden, "the host does not serve the version "+string(dispatch.Version), "send it to a host that serves it")
	}
	if !slices.Contains(routing.AcceptedVersions(snapshot, service.Name), dispatch.Version) {
		return fault.New(fault.Forbidden, "the configuration no longer holds the version "+string(dispatch.Version), "read the configuration again")
	}
	return nil
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
		o.gate.Failed()
	default:
		o.gate.Observe(time.Since(began))
	}
	return answer, err
}

// State implements backend.Engine.
func (o observed) State(ctx context.Context) (backend.EngineState, error) {
	state, err := o.Engine.State(ctx)
	if err == nil {
		o.gate.SawLife(state.Life)
	}
	return state, err
}
