package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/platform"
)

// maxArrivals returns the most requests that an endpoint may get in four seconds once it states the rate.
func maxArrivals(perSecond float64) int { return int(1.5*4*perSecond) + 5 }

// newGatewayGroup returns gateways with the fixture's view whose control addresses are the delegates of all of them.
func newGatewayGroup(fx *fixture, size int) []*Gateway {
	fx.t.Helper()
	config := fx.gateway.settings
	var listeners []net.Listener
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fx.t.Fatal(err)
		}
		listeners = append(listeners, listener)
		config.Delegates = append(config.Delegates, listener.Addr().String())
	}
	var gateways []*Gateway
	for _, listener := range listeners {
		config.ControlAddress = listener.Addr().String()
		g := New(config, platform.Headers{}, fx.gateway.follower, &log.Logger{Level: log.PanicLevel})
		server := rpc.Serve(listener, g.controlMethods())
		fx.t.Cleanup(func() { server.Close() })
		gateways = append(gateways, g)
	}
	return gateways
}

func TestGatewaysTogetherKeepToAStatedRate(t *testing.T) {
	const perSecond, callers, length = 2, 4, 2 * time.Second
	fx := newFixture(t)
	busy := fx.startBackend("r1", "e")
	busy.SetRate(perSecond)
	gateways := newGatewayGroup(fx, 6)
	for _, g := range gateways { // each passes on an answer that states the rate
		fx.callThrough(g, pathIdempotent)
	}
	fx.waitFor("a time in which all delegates answer", func() bool {
		told, starved := len(busy.Runs()), false
		var tasks sync.WaitGroup
		previous := time.Now()
		for end := previous.Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			starved = starved || time.Since(previous) > permissionTimeout
			previous = time.Now()
			for _, g := range gateways {
				tasks.Go(func() { fx.callThrough(g, pathIdempotent) })
			}
		}
		tasks.Wait()
		starved = starved || time.Since(previous) > permissionTimeout
		for _, g := range gateways {
			starved = starved || g.rates.group.avoidsDelegates(g.now())
		}
		got := len(busy.Runs()) - told
		if got > maxArrivals(perSecond) || got < perSecond && !starved {
			t.Errorf("%d requests reached the endpoint in %v, want from %d to %d", got, length, perSecond, maxArrivals(perSecond))
		}
		return got >= perSecond || !starved
	})
}

// avoidsDelegates reports whether a delegate did not answer in the last delegateRetryDelay.
func (d *delegateGroup) avoidsDelegates(now time.Duration) bool {
	return slices.ContainsFunc(d.delegates, func(address string) bool { return !d.mayAsk(address, now) })
}

func TestDirectRequestsRespectAStatedRate(t *testing.T) {
	const perSecond = 1
	fx := newFixture(t)
	busy := fx.startBackend("r1", "e")
	busy.SetRate(perSecond)
	for range 40 { // one after another, past a sidecar that is away
		fx.mustCall(pathModel, nil)
	}
	if got := len(busy.Runs()) - 1; got > maxArrivals(perSecond) {
		t.Errorf("%d requests reached the endpoint after it stated its rate, want at most %d", got, maxArrivals(perSecond))
	}
}

func TestRequestsGoElsewhereOrAreRefusedAtOnceAtAStatedRate(t *testing.T) {
	fx := newFixture(t)
	busy := fx.startBackend("r1", "e")
	busy.SetRate(0.1)
	fx.mustCall(pathAtMostOnce, nil)
	got := fx.mustCall(pathAtMostOnce, nil)
	nextGrant := 1 / (0.1 * sharedRateFraction)
	if seconds := retryAfter(t, got); got.status != http.StatusServiceUnavailable || seconds < nextGrant-1 || seconds > nextGrant+retryAfterJitter.Seconds() {
		t.Errorf("status %d with Retry-After %v, want a refusal until the endpoint takes a request again", got.status, seconds)
	}
	other := fx.startBackend("r2", "w")
	for range 5 {
		if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
			t.Errorf("status %d although another endpoint states no rate", got.status)
		}
	}
	if len(other.Runs()) != 5 {
		t.Errorf("%d requests reached the other endpoint, want 5", len(other.Runs()))
	}
}

func TestGatewayWithoutDelegatesUsesASmallShareOfAStatedRate(t *testing.T) {
	share := newRateShare(newDelegateGroup("127.0.0.1:1", []string{closedAddress(t)}))
	request := takeRateRequest{Endpoint: "a", PerSecond: 32}
	taken := 0
	for now := time.Millisecond; now < 10*time.Second; now += 50 * time.Millisecond {
		wait, ok := share.take(t.Context(), request, now)
		if ok {
			taken++
		}
		if wait > delegateRetryDelay {
			t.Fatalf("delegates are not asked again for %v", wait)
		}
	}
	if taken < 8 || taken > 10 {
		t.Errorf("%d requests in ten seconds, want a share of one a second", taken)
	}
}

func TestNextDelegateGrantsAfterOneThatDoesNotAnswer(t *testing.T) {
	fx := newFixture(t)
	gateways := newGatewayGroup(fx, 2)
	answering := gateways[0].settings.ControlAddress
	closed := closedAddress(t)
	for _, delegates := range [][]string{{closed, answering}, {answering, closed}} { // the endpoint's id selects the first
		share := newRateShare(newDelegateGroup("127.0.0.1:1", delegates))
		request := takeRateRequest{Endpoint: "a", PerSecond: 100}
		deadline := time.Now().Add(testTimeout)
		for granted := false; !granted; time.Sleep(time.Millisecond) {
			if _, granted = share.take(t.Context(), request, time.Second); time.Now().After(deadline) {
				t.Fatal("no delegate granted a request")
			}
		}
	}
}

// More endpoints than a call is offered to are at their rate; they must not use up its attempts.
func TestCallPassesOverEndpointsAtTheirStatedRate(t *testing.T) {
	fx := newFixture(t)
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		fx.startBackend(id, "e")
	}
	rate := 0.1
	for _, endpoint := range fx.gateway.follower.View().AvailableEndpoints("plain") {
		fx.gateway.placer.RecordRate(endpoint, &rate, 0, fx.gateway.now())
	}
	fx.startBackend("free", "w")
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
		t.Errorf("status %d although an endpoint takes requests", got.status)
	}
}
