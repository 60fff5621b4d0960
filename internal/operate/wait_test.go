package operate

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestRoundThatTheDeadlineCutsOffDoesNotNameHostsAsSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	const answeredCalls = 3 // a round calls the host twice: for the host list and for its status
	var calls atomic.Int32
	server := rpc.Serve(listener, map[string]rpc.Method{wire.MethodStatus: rpc.Handle(func(ctx context.Context, _ struct{}) (wire.Record, error) {
		if calls.Add(1) > answeredCalls {
			<-ctx.Done()
		}
		return wire.Record{Host: core.Host{ID: "a", ControlAddress: address}, Generation: 2}, nil
	})})
	t.Cleanup(server.Close)
	operator := New(settings.Platform{TablesAddress: "127.0.0.1:1", ObjectsAddress: "127.0.0.1:1", HostsAddress: "127.0.0.1:1", OriginAddress: "127.0.0.1:1"}, io.Discard)
	operator.Hosts = []string{address}
	t.Cleanup(operator.Peers.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	err = operator.WaitConfirmed(ctx, 3, false)
	if !fault.Is(err, fault.DeadlinePassed) || !strings.Contains(err.Error(), "a in  holds generation 2") || calls.Load() <= answeredCalls {
		t.Errorf("after %d calls: %v", calls.Load(), err)
	}
}
