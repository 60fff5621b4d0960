package agent

import (
	"context"
	"maps"
	"time"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func (a *Agent) methods() map[string]rpc.Method {
	methods := a.node.Methods()
	maps.Copy(methods, a.loader.distributor.Methods())
	methods[wire.MethodVersions] = rpc.Handle(a.loader.versions)
	methods[wire.MethodResolve] = rpc.Handle(a.resolve)
	methods[wire.MethodCancel] = rpc.Handle(a.cancel)
	return methods
}

func (a *Agent) resolve(_ context.Context, request wire.Resolve) (wire.ResolveResult, error) {
	if request.Incarnation != a.incarnation {
		return wire.ResolveResult{State: wire.ResolveOtherIncarnation, Incarnation: a.incarnation}, nil
	}
	state := a.attemptTable.Resolve(request.Attempt, request.Mark, time.Now())
	return wire.ResolveResult{State: state, Incarnation: a.incarnation}, nil
}

// cancel stops an attempt whose caller has disconnected. An attempt that is not idempotent continues.
func (a *Agent) cancel(_ context.Context, request wire.Cancel) (wire.CancelResult, error) {
	record := a.attemptTable.Find(request.Attempt, time.Now())
	return wire.CancelResult{Stopped: record != nil && record.Stop()}, nil
}
