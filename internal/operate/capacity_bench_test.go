package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/standin"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// BenchmarkGather measures the time that lovagectl takes to collect the status of every host. x is the number of hosts.
func BenchmarkGather(b *testing.B) {
	for _, hostCount := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("x=%d", hostCount), func(b *testing.B) {
			operator := newTestOperator(b, hostCount)
			for b.Loop() {
				statuses, err := operator.Gather(context.Background())
				if err != nil || len(statuses) != hostCount {
					b.Fatalf("%d of %d hosts: %v", len(statuses), hostCount, err)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/gather")
		})
	}
}

// newTestOperator returns an operator for a test platform. The platform lists the given number of hosts, each of which
// serves its status.
func newTestOperator(b testing.TB, hostCount int) *Operator {
	b.Helper()
	platform := listen(b)
	app := standin.NewPlatform(0).App()
	go func() { _ = app.Listener(platform, fiber.ListenConfig{DisableStartupMessage: true}) }()
	b.Cleanup(func() { _ = app.Shutdown() })
	var hosts []core.Host
	for i := range hostCount {
		hosts = append(hosts, serveStatus(b, core.HostID(fmt.Sprintf("runner-%d", i))))
	}
	address := platform.Addr().String()
	putHosts(b, address, hosts)
	operator := New(settings.Platform{TablesAddress: address, ObjectsAddress: address, HostsAddress: address, OriginAddress: address}, io.Discard)
	b.Cleanup(operator.Peers.Close)
	return operator
}

func serveStatus(b testing.TB, id core.HostID) core.Host {
	b.Helper()
	listener := listen(b)
	host := core.Host{ID: id, Role: core.RoleAgent, FailureDomain: "a", Region: "a", ControlAddress: listener.Addr().String()}
	record := wire.Record{Host: host, Incarnation: 1, Phase: wire.PhaseReady, Generation: 1}
	server := rpc.Serve(listener, map[string]rpc.Method{
		wire.MethodStatus: rpc.Handle(func(context.Context, struct{}) (wire.Record, error) { return record, nil }),
	})
	b.Cleanup(server.Close)
	return host
}

func listen(b testing.TB) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

func putHosts(b testing.TB, address string, hosts []core.Host) {
	b.Helper()
	raw, err := json.Marshal(hosts)
	if err != nil {
		b.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/hosts", bytes.NewReader(raw))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_ = response.Body.Close()
}
