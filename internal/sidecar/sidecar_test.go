package sidecar

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	patience   = 30 * time.Second // of a test for something that has to happen
	model      = core.Model("m")
	pieceBytes = 1 << 10
	pieceCount = 6
)

func pieceOf(version int64, piece int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%d/%d;", version, piece), pieceBytes)[:pieceBytes])
}

// fakeEngine holds staged pieces and loads them at once. It notes what it loaded that was not the version.
type fakeEngine struct {
	mu      sync.Mutex
	version int64
	staged  map[int][]byte
	spoil   int // this piece turns bad once after it was staged; -1 for none
	loads   int
	wrong   int
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := make(map[core.Model]int64)
	if e.version > 0 {
		loaded[model] = e.version
	}
	return Report{Loaded: loaded}, nil
}

func (e *fakeEngine) Staged(context.Context, core.Model) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []int
	for piece := range maps.Keys(e.staged) {
		held = append(held, piece)
	}
	return held, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ core.Model, piece int, raw []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = raw
	if piece == e.spoil {
		e.spoil = -1
		e.staged[piece] = append([]byte("bad"), raw[3:]...)
	}
	return nil
}

func (e *fakeEngine) ReadStaged(_ context.Context, _ core.Model, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if raw := e.staged[piece]; raw != nil {
		return raw, nil
	}
	return nil, fault.New(fault.NotFound, "not staged", "stage it")
}

func (e *fakeEngine) Start(_ context.Context, _ core.Model, version int64) (OrderOutcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for piece := range pieceCount {
		if string(e.staged[piece]) != string(pieceOf(version, piece)) {
			e.wrong++
		}
	}
	e.version = version
	e.loads++
	return OrderBegun, nil
}

func (e *fakeEngine) holds() (version int64, loads, wrong int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.loads, e.wrong
}

// fakeOrigin counts what it serves, and corrupts the first piece that is asked for.
type fakeOrigin struct {
	mu     sync.Mutex
	pieces int
	spoilt bool
	lacks  int64 // a version whose pieces it does not give; 0 for none
}

func (o *fakeOrigin) Manifest(_ context.Context, _ string, _ core.Model, version int64) (weights.Manifest, error) {
	manifest := weights.Manifest{Model: model, Object: fmt.Sprint(version), ChunkBytes: pieceBytes, SizeBytes: pieceBytes * pieceCount}
	for piece := range pieceCount {
		manifest.Chunks = append(manifest.Chunks, weights.Sum(pieceOf(version, piece)))
	}
	return manifest, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _ string, _ core.Model, version int64, piece int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version == o.lacks {
		return nil, fault.New(fault.Interrupted, "away", "wait")
	}
	o.pieces++
	raw := pieceOf(version, piece)
	if !o.spoilt {
		o.spoilt = true
		raw[0]++
	}
	return raw, nil
}

// fakeSource lists one engine and the versions that a test names.
type fakeSource struct {
	mu      sync.Mutex
	address string
	version int64
	coldFor time.Duration
}

func (s *fakeSource) Operator(ctx context.Context, _ follow.Cursor, _ time.Duration) (follow.OperatorChanges, error) {
	time.Sleep(5 * time.Millisecond) // a paced reader
	s.mu.Lock()
	defer s.mu.Unlock()
	engine := &catalog.Engine{Slots: 2, Chunks: pieceCount, ChunkBytes: pieceBytes, Models: []core.Model{model}}
	configuration := &catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "s", Engine: engine, ColdPerSecond: 1}, {Name: "o", Origin: &catalog.Origin{Address: "origin"}}}}
	wanted := map[core.Model]int64{}
	if s.version > 0 {
		wanted[model] = s.version
	}
	return follow.OperatorChanges{Cursor: follow.Cursor{Read: true}, Configuration: configuration, Wanted: wanted}, ctx.Err()
}

func (s *fakeSource) Endpoints(context.Context, follow.Cursor) (follow.EndpointChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := &catalog.Endpoint{ID: "i-1", Service: "s", Address: s.address, FailureDomain: "x", Region: "east", ColdFor: s.coldFor}
	return follow.EndpointChanges{Whole: true, Cursor: follow.Cursor{Read: true}, Present: []*catalog.Endpoint{endpoint}}, nil
}

func (s *fakeSource) name(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// plainCodec passes headers on as they are.
type plainCodec struct{}

func (plainCodec) Decode(r *http.Request) (*call.Call, error) { return plainCodec{}.DecodeForwarded(r) }

func (plainCodec) DecodeForwarded(r *http.Request) (*call.Call, error) {
	return &call.Call{ID: "c", Method: r.Method, Target: r.RequestURI, Forward: r.Header}, nil
}

func (plainCodec) Encode(c *call.Call, _ call.Send) http.Header          { return c.Forward }
func (plainCodec) EncodeForwarded(c *call.Call, _ call.Send) http.Header { return c.Forward }
func (plainCodec) Reply(int, http.Header) call.Reply                     { return call.Reply{} }
func (plainCodec) Answer(header http.Header) http.Header                 { return header }

// newSidecar returns a sidecar beside the engine, at ports that are free.
func newSidecar(t *testing.T, engine Engine, origin Origin, source *fakeSource, engineAddress string) *Sidecar {
	t.Helper()
	return newLoggedSidecar(t, engine, origin, source, engineAddress, &log.Logger{Level: log.PanicLevel})
}

func newLoggedSidecar(t *testing.T, engine Engine, origin Origin, source *fakeSource, engineAddress string, logger *log.Logger) *Sidecar {
	t.Helper()
	source.address = engineAddress
	config := settings.Sidecar{EngineAddress: engineAddress, Service: "s", VersionMs: 300, GraceMs: 1000}
	config.Address, config.Region, config.FailureDomain = "127.0.0.1", "east", "x"
	config.Ports = []int{1, 3}
	follower := follow.New(source, follow.Pace{EndpointsInterval: 20 * time.Millisecond}, follow.Delegates{}, logger)
	s := New(config, plainCodec{}, follower, engine, origin, logger)
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){follower.Run, s.distributor.Run, s.keepVersion} {
		tasks.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		tasks.Wait()
	})
	return s
}

func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// TestAnEngineIsBroughtToEachVersion lets the origin corrupt a piece and a staged piece turn bad.
func TestAnEngineIsBroughtToEachVersion(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int][]byte), spoil: 3}
	origin := &fakeOrigin{}
	source := &fakeSource{}
	s := newSidecar(t, engine, origin, source, "127.0.0.1:9")
	for _, version := range []int64{1, 2, 4} {
		source.name(version)
		wait(t, fmt.Sprintf("version %d", version), func() bool { return s.serving.Load() == version })
	}
	version, loads, wrong := engine.holds()
	if version != 4 || loads != 3 || wrong != 0 {
		t.Errorf("version %d after %d loads, %d wrong pieces", version, loads, wrong)
	}
}

// TestTheVersionBeforeIsLoadedWhenTheNewestCannotBeHad names two versions of which the origin gives the first: on the
// days on which the origin crashed between them, all engines had to stop on the version before both.
func TestTheVersionBeforeIsLoadedWhenTheNewestCannotBeHad(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int][]byte), spoil: -1}
	origin := &fakeOrigin{lacks: 3}
	source := &fakeSource{}
	s := newSidecar(t, engine, origin, source, "127.0.0.1:9")
	wait(t, "version 1", func() bool { return s.serving.Load() == 1 })
	source.name(2)
	wait(t, "the naming", func() bool { return s.follower.View().Wanted[model].Newest() == 2 })
	time.Sleep(s.settings.VersionMs.Duration() / 4) // versions that are named together are brought as one
	source.name(3)
	wait(t, "version 2", func() bool { version, _, _ := engine.holds(); return version == 2 })
	origin.mu.Lock()
	origin.lacks = 0
	origin.mu.Unlock()
	wait(t, "version 3", func() bool { return s.serving.Load() == 3 })
	if _, loads, wrong := engine.holds(); loads != 3 || wrong != 0 {
		t.Errorf("%d loads, %d wrong pieces", loads, wrong)
	}
}

// TestStagedPiecesAreNotFetchedAgain starts beside an engine that runs the version.
func TestStagedPiecesAreNotFetchedAgain(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}
	for piece := range pieceCount {
		engine.staged[piece] = pieceOf(1, piece)
	}
	origin := &fakeOrigin{}
	s := newSidecar(t, engine, origin, &fakeSource{}, "127.0.0.1:9")
	manifest, _ := origin.Manifest(context.Background(), "", model, 1)
	wait(t, "the pieces", func() bool { return len(s.store.Missing(manifest)) == 0 })
	if origin.pieces != 0 {
		t.Errorf("%d pieces were fetched", origin.pieces)
	}
}

// TestTheGateHoldsTheEngineAtItsSlots sends more requests than the engine has slots.
func TestTheGateHoldsTheEngineAtItsSlots(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	running, most := 0, 0
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		<-release
		mu.Lock()
		running--
		mu.Unlock()
		_, _ = w.Write([]byte("ran"))
	})
	engine := &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}
	s := newSidecar(t, engine, &fakeOrigin{}, &fakeSource{}, address)
	wait(t, "the gate to open", func() bool { return s.serving.Load() == 1 && s.gate.Load().Limit == 2 })
	relay := serve(t, s.serveRelay)
	results := make(chan *http.Response, 5)
	for range 5 {
		go func() {
			answer, err := http.Post("http://"+relay+"/x", "", nil)
			if err != nil {
				t.Error(err)
			}
			results <- answer
		}()
	}
	refused := 0
	for range 3 {
		answer := <-results
		if answer.Header.Get(wire.HeaderRefused) != refusedFull || answer.Header.Get(wire.HeaderLoad) != "2,0,2" {
			t.Errorf("%v", answer.Header)
		}
		refused++
		_ = answer.Body.Close()
	}
	wait(t, "both admitted requests to reach the engine", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return running == 2
	})
	close(release)
	for range 2 {
		answer := <-results
		if answer.Header.Get(wire.HeaderRefused) != "" {
			t.Errorf("%v", answer.Header)
		}
		_ = answer.Body.Close()
	}
	if most != 2 || refused != 3 {
		t.Errorf("%d ran at once, %d were refused", most, refused)
	}
}

func TestNothingIsLetInWhileWeightsAreMissing(t *testing.T) {
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1}, failingOrigin{}, &fakeSource{}, "127.0.0.1:9")
	answer, err := http.Post("http://"+serve(t, s.serveRelay)+"/x", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(wire.HeaderRefused) != refusedLoading {
		t.Errorf("%d %v", answer.StatusCode, answer.Header)
	}
}

// TestAnEngineThatCannotBeReachedRanNothing refuses instead of breaking off.
func TestAnEngineThatCannotBeReachedRanNothing(t *testing.T) {
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	wait(t, "the gate to open", func() bool { return s.serving.Load() == 1 && s.gate.Load().Limit == 2 })
	answer, err := http.Post("http://"+serve(t, s.serveRelay)+"/x", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.Header.Get(wire.HeaderRefused) != refusedUnreachable {
		t.Errorf("%d %v", answer.StatusCode, answer.Header)
	}
}

type failingOrigin struct{}

func (failingOrigin) Manifest(context.Context, string, core.Model, int64) (weights.Manifest, error) {
	return weights.Manifest{}, fault.New(fault.Interrupted, "away", "wait")
}

func (failingOrigin) Piece(context.Context, string, core.Model, int64, int) ([]byte, error) {
	return nil, fault.New(fault.Interrupted, "away", "wait")
}

// serve serves the handler and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestLongRequestsGoElsewhereBeforeAChangeOfWeights answers the load of a service that changes its weights at two
// thirds of its capacity: one long stream would keep all slots of an engine empty until it has ended.
func TestLongRequestsGoElsewhereBeforeAChangeOfWeights(t *testing.T) {
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	s.reading.SetModel(admission.EngineModel{Step: 9 * time.Millisecond, Stride: 5, ReadPerSecond: 19000})
	short, long := &call.Call{OutputHint: 10}, &call.Call{OutputHint: 10, OutputTokens: 400}
	long.OutputHint = 400
	if !s.endsInTime(long) {
		t.Error("a long request is refused although no change is near")
	}
	s.leaving.Store(int64(bootclock.Now() + time.Second))
	if !s.endsInTime(short) || s.endsInTime(long) || s.endsInTime(&call.Call{OutputTokens: 400}) {
		t.Error("the requests that end before a change are not told from those that don't")
	}
}

func TestAColdEngineIsSentWhatItBears(t *testing.T) {
	source := &fakeSource{coldFor: time.Hour}
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1}, &fakeOrigin{}, source, "127.0.0.1:9")
	wait(t, "the engine's entry", func() bool { return s.coldUntil(s.follower.View()) > bootclock.Now() })
	wait(t, "the configuration", func() bool { return s.follower.View().Index != nil })
	now := bootclock.Now()
	if !s.cold.Admit(now) || s.cold.Admit(now) {
		t.Error("an engine that bears one request a second when cold was sent none or two")
	}
}

// Gateways send requests also to engines whose entries are behind; an engine that runs an older version takes none that
// must not run there.
func TestAnOlderVersionTakesNothingThatNeedsANewerOne(t *testing.T) {
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	wait(t, "the gate to open", func() bool { return s.serving.Load() == 1 && s.gate.Load().Limit == 2 })
	address := serve(t, s.serveRelay)
	for version, want := range map[string]string{"1": refusedUnreachable, "2": refusedLoading} {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(wire.HeaderLeastVersion, version)
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if got := answer.Header.Get(wire.HeaderRefused); got != want {
			t.Errorf("a request that needs version %s is answered %q, want %q", version, got, want)
		}
	}
}

func TestTheLinesOfASidecarHaveTheirInputs(t *testing.T) {
	engine := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	var mu sync.Mutex
	var lines []string
	logger := &log.Logger{Level: log.InfoLevel, Writer: log.WriterFunc(func(entry *log.Entry) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, string(entry.Value()))
		return 0, nil
	})}
	s := newLoggedSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1, version: 1}, &fakeOrigin{}, &fakeSource{}, engine, logger)
	wait(t, "the gate to open", func() bool { return s.serving.Load() == 1 && s.gate.Load().Limit == 2 })
	address := serve(t, s.serveRelay)
	has := func(text string) bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, text) })
	}
	for _, least := range []string{"1", "2"} {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(wire.HeaderLeastVersion, least)
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
	}
	wait(t, "both lines", func() bool { return has("request let in") && has("request not let in") })
	mu.Lock()
	defer mu.Unlock()
	for line, fields := range map[string][]string{
		"request let in":     {"request", "tokens", "version", "running", "estimated", "first_event", "took"},
		"request not let in": {"request", "reason", "version", "running", "limit"},
	} {
		i := slices.IndexFunc(lines, func(text string) bool { return strings.Contains(text, `"`+line+`"`) })
		if i < 0 {
			t.Errorf("%q is missing: %v", line, lines)
			continue
		}
		for _, field := range fields {
			if !strings.Contains(lines[i], `"`+field+`":`) {
				t.Errorf("%q lacks %s: %s", line, field, lines[i])
			}
		}
	}
}
