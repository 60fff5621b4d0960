package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

func listedEndpoint(i int) *catalog.Endpoint {
	return &catalog.Endpoint{
		ID: catalog.EndpointID(fmt.Sprintf("i-%010x", i*7919)), Service: "models", Address: fmt.Sprintf("10.%d.0.%d:8107", i%5, i), FailureDomain: core.FailureDomain(fmt.Sprintf("zone-%d", i%5)),
		Region: core.Region(fmt.Sprintf("region-%d", i%5)), Slots: 8, Born: 1_760_000_000_000 + int64(i)*31, Loaded: []catalog.LoadedVersion{{Model: "model", Version: 2}},
	}
}

// On mt-flota-large a failure domain that was reachable again made each of 477 processes read 150 endpoints in one second. The
// delegates' links carried nothing else meanwhile, and configurations came late.
func TestManyEndpointsAreSentCompressed(t *testing.T) {
	const (
		count               = 150
		maxBytesPerEndpoint = 50 // 150 endpoints for a third of 477 processes within a second over a link of 40 Mbit/s, which carries requests too
	)
	delegate := New(&fakeStore{}, testIntervals, Delegates{}, &log.Logger{Level: log.PanicLevel}) // not running
	delegate.asOf.Store(int64(bootclock.Now()))
	if err := delegate.mirror.addOperator(operatorRead{changes: operatorsAt(cursorAt(1))}); err != nil {
		t.Fatal(err)
	}
	var present []*catalog.Endpoint
	for i := range count {
		present = append(present, listedEndpoint(i))
	}
	delegate.mirror.addEndpoints(0, EndpointChanges{Cursor: cursorAt(1 << 40), Present: present})
	response, err := delegate.serveRead(context.Background(), readRequest{PackEndpoints: true})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(response.PackedEndpoints)
	if err != nil || len(raw) > count*maxBytesPerEndpoint || len(response.Endpoints.Present) != 0 {
		t.Errorf("%d bytes compressed and %d endpoints beside them, %v", len(raw), len(response.Endpoints.Present), err)
	}
	if err := response.unpack(); err != nil || len(response.Endpoints.Present) != count || response.Endpoints.Present[0].Loaded[0].Version != 2 {
		t.Errorf("%d endpoints arrive, %v", len(response.Endpoints.Present), err)
	}
	older, err := delegate.serveRead(context.Background(), readRequest{})
	if err != nil || len(older.Endpoints.Present) != count || older.PackedEndpoints != nil {
		t.Errorf("a follower of an earlier release gets %d endpoints, %v", len(older.Endpoints.Present), err)
	}
	if _, err := packedEndpoints("no gzip").unpack(); err == nil {
		t.Error("invalid bytes are accepted as endpoints")
	}
}

// Changes of endpoints are gathered, except for those of the endpoint that a sidecar belongs to.
func TestOnlyUrgentEndpointChangesEndAWaitAtOnce(t *testing.T) {
	m := newMirror()
	m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{listedEndpoint(1), listedEndpoint(2)}})
	changed := *listedEndpoint(2)
	changed.Draining = true
	m.addEndpoints(0, EndpointChanges{Cursor: cursorAt(2), Present: []*catalog.Endpoint{&changed}})
	for _, test := range []struct {
		name     string
		gathered bool
		address  string
		want     bool
	}{
		{"before the end of the wait", false, "", false},
		{"after it", true, "", true},
		{"of another endpoint", false, listedEndpoint(1).Address, false},
		{"of the own endpoint", false, changed.Address, true},
	} {
		if got := m.endpointsChangedSince(cursorAt(1), test.gathered, test.address); got != test.want {
			t.Errorf("%s: the wait ends: %v", test.name, got)
		}
	}
}

func TestOperatorChangesEndAWaitAtOnce(t *testing.T) {
	m := newMirror()
	if err := m.addOperator(operatorRead{changes: operatorsAt(cursorAt(1))}); err != nil {
		t.Fatal(err)
	}
	m.addEndpoints(0, registryAt(cursorAt(1)))
	done := make(chan bool, 1)
	request := readRequest{Operator: cursorAt(1), Endpoints: cursorAt(1), Wait: testTimeout, EndpointsWait: testTimeout}
	go func() { done <- m.waitForChange(context.Background(), request) }()
	if err := m.addOperator(operatorRead{changes: OperatorChanges{Cursor: cursorAt(2), Evacuations: map[core.FailureDomain]bool{"x": true}}}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done:
	case <-time.After(testTimeout / 2):
		t.Error("an evacuation did not end the wait")
	}
}
