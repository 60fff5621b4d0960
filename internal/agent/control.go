package agent

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func (a *Agent) methods() map[string]rpc.Method {
	methods := a.node.Methods()
	methods[wire.MethodResolve] = rpc.Handle(a.resolve)
	return methods
}

func (a *Agent) resolve(_ context.Context, request wire.Resolve) (wire.Resolved, error) {
	if request.Incarnation != a.incarnation {
		return wire.Resolved{State: wire.ResolveOtherLife, Incarnation: a.incarnation}, nil
	}
	state := a.table.Resolve(request.Attempt, time.Now())
	return wire.Resolved{State: state, Incarnation: a.incarnation}, nil
}
