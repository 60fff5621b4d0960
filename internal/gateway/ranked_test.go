package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// newRankedForwarder returns a forwarder of a call that a service with the ranks of the routes takes.
func newRankedForwarder(fx *fixture, otherRank int) *forwarder {
	routes := []catalog.Route{
		{Generates: true, Objective: time.Minute, PauseObjective: 400 * time.Millisecond, Priority: 1, Backends: []catalog.Backend{{Service: "models", Weight: 1}}},
		{Objective: time.Minute, Priority: otherRank, Backends: []catalog.Backend{{Service: "models", Weight: 1}}},
	}
	view := &catalog.View{Index: catalog.NewIndex(&catalog.Configuration{Routes: routes})}
	f := &forwarder{g: fx.gateway, arrived: time.Now(), tried: make(map[catalog.EndpointID]bool)}
	f.acceptedCall = &acceptedCall{view: view, route: &routes[0], service: "models", call: &call.Call{}}
	f.ranking = f.newRanking()
	return f
}

func TestOnlyCallsOfRankedServicesStateTheirRank(t *testing.T) {
	fx := newFixture(t)
	for otherRank, want := range map[int]string{1: "", 2: "11"} {
		f := newRankedForwarder(fx, otherRank)
		header := make(http.Header)
		(&attempt{f: f}).setRankHeaders(header)
		if got := header.Get(wire.HeaderRank); got != want || (header.Get(wire.HeaderAim) != "") != (want != "") {
			t.Errorf("with a route of rank %d beside one of rank 1 the headers are %v, want the place %q", otherRank, header, want)
		}
		if stated := f.ranking.urgency() != nil; stated != (want != "") {
			t.Errorf("the urgency is stated to the engine: %t", stated)
		}
	}
}

func TestCallersCannotStateARank(t *testing.T) {
	fx := newFixture(t)
	f := newRankedForwarder(fx, 1)
	f.call.Forward = http.Header{wire.HeaderRank: {"0"}, wire.HeaderAim: {"9,9"}, wire.HeaderReturned: {"1"}}
	if header := (&attempt{f: f, endpoint: &catalog.Endpoint{}}).newRequest().Header; header.Get(wire.HeaderRank)+header.Get(wire.HeaderAim)+header.Get(wire.HeaderReturned) != "" {
		t.Errorf("the caller's headers are sent on: %v", header)
	}
}

// A call that may be offered once more waits where the forecast is earliest, as long as that is within its aim.
func TestLastOfferGoesToTheEarliestForecast(t *testing.T) {
	fx := newFixture(t)
	endpoints := []*catalog.Endpoint{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}, {ID: "c", Slots: 1}}
	for name, c := range map[string]struct {
		forecasts []time.Duration
		tried     int
		want      catalog.EndpointID
	}{
		"earliest":                  {[]time.Duration{3 * time.Second, time.Second, 2 * time.Second}, maxEndpoints - 1, "b"},
		"more offers are left":      {[]time.Duration{3 * time.Second, time.Second, 2 * time.Second}, maxEndpoints - 2, ""},
		"none is within the aim":    {[]time.Duration{time.Hour, time.Hour, time.Hour}, maxEndpoints - 1, ""},
		"no sidecar had a forecast": {[]time.Duration{0, 0, 0}, maxEndpoints - 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRankedForwarder(fx, 2)
			for i, endpoint := range endpoints {
				f.ranking.recordForecast(endpoint.ID, &refusalError{forecast: c.forecasts[i]})
			}
			for i := range c.tried {
				f.tried[catalog.EndpointID(rune('a'+i))] = true
			}
			var got catalog.EndpointID
			if endpoint := f.pickToWait(endpoints, placement.Query{Now: fx.gateway.now()}); endpoint != nil {
				got = endpoint.ID
			}
			if got != c.want {
				t.Errorf("offered to %q, want %q", got, c.want)
			}
			if got != "" && f.pickToWait(endpoints, placement.Query{Now: fx.gateway.now()}) != nil {
				t.Error("offered a second time after it was refused there")
			}
		})
	}
}

func TestForecastOfARefusalReachesTheCallersReturn(t *testing.T) {
	fx := newFixture(t)
	f := newRankedForwarder(fx, 2)
	f.call.Timeout = 6 * time.Second
	header := make(http.Header)
	header.Set(wire.HeaderForecast, "900")
	refusal := &refusalError{forecast: forecastOf(header)}
	if refusal.forecast != 900*time.Millisecond {
		t.Fatalf("the forecast is %v, want 900 ms", refusal.forecast)
	}
	f.ranking.recordForecast("a", refusal)
	if after := f.retryAfter(); after < refusal.forecast || after > 2*refusal.forecast {
		t.Errorf("the caller returns after %v, want 900 to 1800 ms", after)
	}
}

func TestCallersReturnWhenEnginesHaveChangedTheirWeights(t *testing.T) {
	fx := newFixture(t)
	full := &refusalError{forecast: 100 * time.Millisecond}
	changing := &refusalError{changing: true}
	for name, c := range map[string]struct {
		refusals []*refusalError
		earliest time.Duration
	}{
		"all change":       {[]*refusalError{changing, changing, changing}, changeForecast},
		"the rest is full": {[]*refusalError{changing, changing, full}, changeForecast},
		"one changes":      {[]*refusalError{changing, full, full}, full.forecast},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRankedForwarder(fx, 2)
			f.call.Timeout = 6 * time.Second
			for i, refusal := range c.refusals {
				f.ranking.recordForecast(catalog.EndpointID(rune('a'+i)), refusal)
			}
			latest := c.earliest + max(c.earliest, minRetryAfter)
			if after := f.retryAfter(); after < c.earliest || after > latest {
				t.Errorf("the caller returns after %v, want %v to %v", after, c.earliest, latest)
			}
		})
	}
}

// An endpoint that cannot be reached leaves most of the objective to the next one.
func TestTimeToConnectIsAShareOfTheObjective(t *testing.T) {
	f := newRankedForwarder(newFixture(t), 2)
	for objective, want := range map[time.Duration]time.Duration{
		0:                      0,
		200 * time.Millisecond: minDialTimeout,
		800 * time.Millisecond: 200 * time.Millisecond,
		time.Minute:            dispatch.DefaultDialTimeout,
	} {
		f.route.Objective = objective
		if got := f.dialTimeout(); got != want {
			t.Errorf("objective %v: %v, want %v", objective, got, want)
		}
	}
	f.ranking.ranked = false
	if got := f.dialTimeout(); got != 0 {
		t.Errorf("without a rank: %v, want the default", got)
	}
}
