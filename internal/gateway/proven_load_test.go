package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// startModelEngine starts an engine whose entry shows version 1 of the model "m".
func (fx *fixture) startModelEngine(id string) *platformtest.Engine {
	fx.t.Helper()
	engine := platformtest.NewEngine(id, platformtest.Weights{Model: "m", Chunks: 1, ChunkBytes: 64}, 1)
	fx.t.Cleanup(engine.Close)
	fx.store.Put("servers", id, engine.RegistryRow("plain", "e", "ready", "m", 1))
	fx.waitFor("the endpoint "+id, func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) > 0 })
	return engine
}

// startSidecarStand starts a sidecar that refuses all requests and states the load. It returns its port.
func startSidecarStand(t *testing.T, load *wire.ProvenLoad) (port int, stop func()) {
	t.Helper()
	return startSidecarStandWith(t, func(w http.ResponseWriter) {
		if load != nil {
			w.Header().Set(wire.HeaderProvenLoad, load.String())
		}
	})
}

// startSidecarStandWith starts a sidecar that refuses all requests with the headers that setHeaders sets.
func startSidecarStandWith(t *testing.T, setHeaders func(w http.ResponseWriter)) (port int, stop func()) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		setHeaders(w)
		w.Header().Set(wire.HeaderRefused, "no_capacity")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	_, text, err := net.SplitHostPort(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	port, err = strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port, server.Close
}

func TestDirectRequestsReachOnlyLoadsThatTheSidecarHasProven(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  *wire.ProvenLoad // that the sidecar stated before it went away
		heard bool             // the gateway has had a response of the sidecar
		want  int
	}{
		{"the sidecar was never heard", nil, false, 0},
		{"no load was proven", nil, true, 0},
		{"another version was proven", &wire.ProvenLoad{Version: 2}, true, 0},
		{"it was proven for another start of the engine", &wire.ProvenLoad{Version: 1, StartedMs: 5}, true, 0},
		{"the version was proven", &wire.ProvenLoad{Version: 1}, true, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			fx := newFixture(t)
			engine := fx.startModelEngine("r1")
			load := test.load
			if load != nil && load.StartedMs == 0 {
				load = &wire.ProvenLoad{Version: load.Version, StartedMs: fx.gateway.follower.View().AvailableEndpoints("plain")[0].Born}
			}
			port, stop := startSidecarStand(t, load)
			fx.gateway.settings.Ports = []int{port, port}
			withModel := func(r *http.Request) {
				r.Header.Set("X-Model", "m")
				r.Header.Set("X-Deadline-Ms", "300")
			}
			if test.heard {
				fx.mustCall(pathModel, withModel)
			}
			stop()
			time.Sleep(sidecarRetryDelay) // any retry at the sidecar ends
			got := fx.mustCall(pathModel, withModel)
			if ran := len(engine.Runs()); (ran > 0) != (test.want == http.StatusOK) || test.want != 0 && got.status != test.want {
				t.Errorf("status %d after %d runs", got.status, ran)
			}
			for _, run := range engine.Runs() {
				if version := run.Header.Get("X-Expect-Version"); version != "1" {
					t.Errorf("the engine was asked for version %q, want the proven one", version)
				}
			}
		})
	}
}

func TestProvenLoadIsNotPassedOn(t *testing.T) {
	var loads provenLoads
	endpoint := &catalog.Endpoint{ID: "i-1", Born: 7, Loaded: []catalog.LoadedVersion{{Model: "m", Version: 3}}}
	header := http.Header{wire.HeaderProvenLoad: {(wire.ProvenLoad{Version: 3, StartedMs: 7}).String()}}
	loads.record(endpoint, header)
	if version, ok := loads.version(endpoint, core.Model("m")); version != 3 || !ok || len(header) != 0 {
		t.Errorf("version %d, proven %v, header %v", version, ok, header)
	}
}
