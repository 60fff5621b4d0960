package entry

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func (e *Entry) methods() map[string]rpc.Method {
	methods := e.observer.addMethods(e.node.Methods())
	methods[wire.MethodRoutable] = rpc.Handle(e.routable)
	return methods
}

func (e *Entry) routable(context.Context, struct{}) (wire.Routable, error) {
	return wire.Routable{Hosts: e.index().Hosts()}, nil
}
