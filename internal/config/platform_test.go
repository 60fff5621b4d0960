package config

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/standin"
	clients "github.com/lovageglade/lovageglade/platform"
)

// testPlatform is the platform stand-in, accessed through the real client. setFaults needs its address.
type testPlatform struct {
	*clients.Services
	t       testing.TB
	address string
}

func newTestPlatform(t testing.TB) *testPlatform {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := standin.NewPlatform(0).App()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	t.Cleanup(func() {
		_ = app.ShutdownWithTimeout(100 * time.Millisecond)
		<-done
	})
	address := listener.Addr().String()
	client := clients.NewServices(settings.Platform{TablesAddress: address, ObjectsAddress: address, HostsAddress: address, OriginAddress: address})
	return &testPlatform{Services: client, t: t, address: address}
}

// setFaults replaces the faults that the stand-in injects, such as {"down":true}.
func (p *testPlatform) setFaults(faults string) {
	p.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address+"/faults", strings.NewReader(faults))
	if err != nil {
		p.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func (p *testPlatform) publisher() Publisher { return Publisher{Tables: p, Objects: p} }

// writeFault is a fault that is injected into one write.
type writeFault int

const (
	noFault      writeFault = iota
	lostRequest             // fails without effect
	lostResponse            // takes effect but fails
	delayedWrite            // fails, and takes effect when the test calls applyDelayed
)

// flakyTables injects the fault that chooseFault returns for the key of a write. chooseFault may act before the write.
type flakyTables struct {
	platform.Tables
	mu          sync.Mutex
	chooseFault func(key string) writeFault
	delayed     [][]platform.Write
}

// applyDelayed applies the delayed writes.
func (f *flakyTables) applyDelayed(ctx context.Context) {
	f.mu.Lock()
	delayed := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, writes := range delayed {
		_, _ = f.Tables.Write(ctx, writes)
	}
}

func (f *flakyTables) Write(ctx context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	f.mu.Lock()
	injected := f.chooseFault(writes[0].Key)
	if injected == delayedWrite {
		f.delayed = append(f.delayed, writes)
	}
	f.mu.Unlock()
	lost := fault.New(fault.PlatformUnavailable, "the response was lost", "try again")
	if injected == lostRequest || injected == delayedWrite {
		return nil, lost
	}
	results, err := f.Tables.Write(ctx, writes)
	if injected == lostResponse {
		return nil, lost
	}
	return results, err
}

// numberedSet returns a valid set that the number distinguishes from others.
func numberedSet(number int) Set {
	set := validSet()
	set.Services[0].Limits.Queue = number
	return set
}

func mustPublish(t *testing.T, publisher Publisher, number int, id string) Head {
	t.Helper()
	head, err := publisher.Publish(t.Context(), numberedSet(number), id)
	if err != nil {
		t.Fatal(err)
	}
	return head
}
