package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
)

// While a sidecar is away no gateway knows what the others send to its engine, so that a cold one gets nothing.
func TestColdEngineGetsNoDirectRequests(t *testing.T) {
	fx := newFixture(t)
	f := &forwarder{g: fx.gateway}
	engine := &catalog.Endpoint{ID: "i-1", Address: "127.0.0.1:1", ColdUntil: bootclock.Now() + time.Hour}
	if _, _, err := f.sendDirect(context.Background(), engine, &dispatch.Request{}); !isRefusal(err) {
		t.Errorf("a cold engine was sent a request: %v", err)
	}
	engine.ColdUntil = 0
	if _, _, err := f.sendDirect(context.Background(), engine, &dispatch.Request{Method: "GET", Target: "/"}); isRefusal(err) {
		t.Errorf("a warm engine is kept from requests: %v", err)
	}
}
