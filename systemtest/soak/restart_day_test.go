package soak

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

var (
	dayCount    = flag.Int("days", 0, "number of days that TestVersionBeforeRestartOfAll plays")
	dayPrograms = flag.String("programs", "", "folder of the programs that it runs, such as those of another commit; those of this tree by default")
	dayOrigin   = flag.Duration("origin-away", 0, "time from the publication of the version for which the origin is away in it")
	daySlowdown = flag.Float64("slowdown", 1, "how much more time its engines take than they state")
	daySpread   = flag.Duration("start-spread", 300*time.Millisecond, "time within which all its processes start again")
)

// The day is that of review/4 at its size. Times are counted from the start of traffic.
const (
	dayLead         = 10 * time.Second // from the start of the processes to that of traffic
	dayPublication  = 21500 * time.Millisecond
	dayKill         = 24 * time.Second
	dayDowntime     = 1600 * time.Millisecond
	dayEnd          = 38 * time.Second
	daySlots        = 16
	dayOriginMbps   = 15
	dayLinkMbps     = 9.4
	dayStoreDelay   = 4 * time.Millisecond
	dayRegistration = 1200 * time.Millisecond // between two renewals of an engine's entry
	dayRetryShare   = 1.0 / 3                 // of the time left that a client waits before it returns after a refusal
)

var (
	dayWeights = platformtest.Weights{Model: "m", Chunks: 48, ChunkBytes: 49152}
	dayPace    = platformtest.Pace{StepMs: 8.87, PerSequenceMs: 0.0388, ReadPerS: 19100, ChunkTokens: 2048, Stride: 5, CapacityTokens: 1_180_000}
	dayDomains = []dayDomain{{"cn-a", "cascadia-north", 3, 4, 64.3, 28}, {"wl-a", "willamette", 2, 4, 53.5, 23}, {"ie-a", "inland-empire", 2, 4, 46.7, 20}}
	dayKinds   = []dayKind{
		{"draft", "stream", "models", 59.2, 6000, 500, 1330, 21}, {"summary", "stream", "models", 45.1, 6000, 400, 827, 21}, {"note", "stream", "models", 42.6, 6000, 400, 647, 14},
		{"escrow", "unsafe", "ledger", 12.6, 1500, 150, 0, 0}, {"profile", "safe", "ledger", 5.03, 1500, 150, 0, 0},
	}
)

// dayDomain is a failure domain with its processes and clients.
type dayDomain struct {
	name              core.FailureDomain
	region            core.Region
	gateways, engines int
	perSecond         float64
	clients           int
}

// dayKind is a kind of request.
type dayKind struct {
	route, kind, service string
	perSecond            float64
	deadlineMs           int
	objectiveMs          int
	promptTokens, events int
}

// day is one play with its stand-ins and processes.
type day struct {
	t        *testing.T
	prefix   string
	store    *platformtest.Store
	origin   *platformtest.Origin
	gateways map[core.FailureDomain][]*process
	sidecars []*process
	engines  []*platformtest.Engine

	mu      sync.Mutex
	begins  []dayBegin
	answers map[int]int
}

// dayBegin is the first event of a request at an engine.
type dayBegin struct {
	request, engine string
	version         int64
	at              time.Time
}

// TestVersionBeforeRestartOfAll guards against processes that count the bound of a version from their own start, and against requests
// that are admitted before the bound and begin after it: no request begins on an older version after the bound. No period is exempt, as
// all processes are in touch again before the bound. One day, alone:
//
//	go test ./systemtest/soak -run TestVersionBeforeRestartOfAll -count=1 -v -args -days 1
func TestVersionBeforeRestartOfAll(t *testing.T) {
	if *dayCount == 0 {
		t.Skip("no days are selected; see the flag -days")
	}
	if *dayPrograms != "" {
		binaryFolder = *dayPrograms
	}
	for number := range *dayCount {
		t.Run(fmt.Sprint(number), playDay)
	}
}

func playDay(t *testing.T) {
	d := newDay(t)
	time.Sleep(dayLead)
	began := time.Now()
	at := func(offset time.Duration) { time.Sleep(time.Until(began.Add(offset))) }
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, domain := range dayDomains {
		for range domain.clients {
			clients.Go(func() { d.runClient(ctx, domain) })
		}
	}
	at(dayPublication)
	if *dayOrigin > 0 {
		d.origin.SetUnavailable(true)
		time.AfterFunc(*dayOrigin, func() { d.origin.SetUnavailable(false) })
	}
	d.store.SetTargetVersion(dayWeights.Model, 2)
	acknowledged := time.Now()
	at(dayKill)
	d.restartAll()
	at(dayEnd)
	stop()
	clients.Wait()
	d.check(acknowledged)
}

func newDay(t *testing.T) *day {
	d := &day{
		t: t, prefix: fmt.Sprintf("127.%d.%d", 220+networkNumber.Add(1)%30, syscall.Getpid()%250), store: platformtest.NewStore(), origin: platformtest.NewOrigin(dayWeights),
		gateways: make(map[core.FailureDomain][]*process), answers: make(map[int]int),
	}
	t.Cleanup(d.store.Close)
	t.Cleanup(d.origin.Close)
	d.store.SetDelay(dayStoreDelay)
	d.origin.SetRate(dayOriginMbps)
	d.startEngines()
	d.startPlain()
	d.configure()
	d.startProcesses()
	return d
}

func (d *day) ip(number int) string { return fmt.Sprintf("%s.%d", d.prefix, number) }

// startEngines starts the engines at the addresses of their sidecars' hosts.
func (d *day) startEngines() {
	number := 0
	for _, domain := range dayDomains {
		for range domain.engines {
			e := platformtest.NewEngine(fmt.Sprintf("engine-%d", number), dayWeights, 1)
			e.FinishRunsBeforeLoads()
			e.RegisteredSlots = daySlots
			e.RegisteredAddress = newProxy(d.t, fmt.Sprintf("%s:%d", d.ip(50+number), enginePort), e.Address()).address()
			pace := dayPace
			pace.StepMs, pace.PerSequenceMs, pace.ReadPerS = pace.StepMs**daySlowdown, pace.PerSequenceMs**daySlowdown, pace.ReadPerS / *daySlowdown
			batch := platformtest.NewBatch(pace, daySlots)
			e.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { d.serveStream(e, batch, w, run) })
			d.t.Cleanup(e.Close)
			d.engines = append(d.engines, e)
			go d.renew(e, domain.name)
			number++
		}
	}
}

func (d *day) renew(e *platformtest.Engine, domain core.FailureDomain) {
	for d.t.Context().Err() == nil {
		d.store.Register(e.Runner, "models", string(domain), "ready", dayWeights.Model, max(1, e.Version()))
		time.Sleep(dayRegistration)
	}
}

func (d *day) startPlain() {
	for i, domain := range dayDomains {
		r := platformtest.NewRunner(fmt.Sprintf("plain-%d", i))
		d.t.Cleanup(r.Close)
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
			time.Sleep(30 * time.Millisecond)
			r.Reply(w, run, http.StatusOK, strings.Repeat("a", 800))
		})
		d.store.Register(r, "ledger", string(domain.name), "ready", "", 0)
	}
}

func (d *day) serveStream(e *platformtest.Engine, batch *platformtest.Batch, w http.ResponseWriter, run platformtest.Run) {
	var prompt, answer int
	if _, err := fmt.Sscanf(run.Header.Get(platformtest.HeaderTokens), "%d,%d", &prompt, &answer); err != nil {
		d.t.Errorf("%s: %v", run.ID, err)
		return
	}
	flusher := w.(http.Flusher)
	batch.Run(run.Done, prompt, (answer+dayPace.Stride-1)/dayPace.Stride, func(number int) bool {
		if number == 1 {
			d.mu.Lock()
			d.begins = append(d.begins, dayBegin{run.ID, e.ID, run.WeightsVersion, time.Now()})
			d.mu.Unlock()
			e.Sign(w, run)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(platformtest.HeaderWeights, fmt.Sprint(run.WeightsVersion))
		}
		_, err := io.WriteString(w, platformtest.FormatEvent(number))
		flusher.Flush()
		return err == nil
	})
}

func (d *day) configure() {
	var routes []platformtest.Route
	for _, kind := range dayKinds {
		route := platformtest.Route{Name: kind.route, Kind: kind.kind, Service: kind.service, TimeoutMs: kind.deadlineMs, MaxAttempts: 2, ObjectiveMs: kind.objectiveMs}
		if kind.kind == "stream" {
			route.Resumable, route.Generates, route.PauseMs = true, true, 400
		}
		routes = append(routes, route)
	}
	d.store.Configure(platformtest.Configuration{
		Version: 1, Routes: routes, Services: []string{"ledger"}, EngineService: "models", Slots: daySlots, Pace: &dayPace, Weights: dayWeights,
		Origin: d.origin.Address(), OriginMbps: dayOriginMbps, Keys: []string{"kept"},
	})
}

func (d *day) startProcesses() {
	regions := make(map[core.FailureDomain]core.Region)
	var delegates []string
	first := 10
	for _, domain := range dayDomains {
		regions[domain.name] = domain.region
		delegates = append(delegates, fmt.Sprintf("%s:%d", d.ip(first), controlPort))
		first += domain.gateways
	}
	folder := d.t.TempDir()
	d.t.Cleanup(func() { keepLogs(d.t, folder, true) })
	place := func(name string, number int, domain dayDomain) settings.Place {
		return settings.Place{
			Host: core.HostID(name), FailureDomain: domain.name, Region: domain.region, Regions: regions, Address: d.ip(number),
			StoreAddress: d.store.Address(), Delegates: delegates, Ports: []int{firstPort, lastPort}, GCPercent: 40,
		}
	}
	gateway, sidecar := 0, 0
	for _, domain := range dayDomains {
		for range domain.gateways {
			ip := d.ip(10 + gateway)
			config := settings.Gateway{
				Place: place(fmt.Sprintf("gateway-%d", gateway), 10+gateway, domain), FrontAddress: fmt.Sprintf("%s:%d", ip, frontPort), ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort),
				ControlAddress: fmt.Sprintf("%s:%d", ip, controlPort), GraceMs: toMillis(gracePeriod), RevocationMs: toMillis(revocationBound), ConfigurationMs: toMillis(configurationBound),
				DepartureMs: toMillis(drainBound), VersionRolloutMs: toMillis(versionBound), RetryRatio: retryShare,
			}
			p := newProcess(d.t, folder, "lovage-gateway", string(config.Host), config)
			p.address = config.FrontAddress
			d.gateways[domain.name] = append(d.gateways[domain.name], p)
			gateway++
		}
		for range domain.engines {
			config := settings.Sidecar{
				Place: place(fmt.Sprintf("sidecar-%d", sidecar), 50+sidecar, domain), EngineAddress: d.engines[sidecar].RegisteredAddress, Service: "models",
				GraceMs: toMillis(gracePeriod), VersionRolloutMs: toMillis(versionBound), LinkMbps: dayLinkMbps,
			}
			d.sidecars = append(d.sidecars, newProcess(d.t, folder, "lovage-sidecar", string(config.Host), config))
			sidecar++
		}
	}
}

func (d *day) processes() []*process {
	all := slices.Clone(d.sidecars)
	for _, gateways := range d.gateways {
		all = append(all, gateways...)
	}
	return all
}

// restartAll kills all processes at once and starts them again in any order.
func (d *day) restartAll() {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	killed := time.Now()
	for _, p := range d.processes() {
		restarts.Go(func() {
			p.stop(syscall.SIGKILL)
			time.Sleep(time.Until(killed.Add(dayDowntime + rand.N(*daySpread))))
			p.start()
		})
	}
}

// runClient sends requests at random times over a connection that it keeps, to one gateway after another if they fail.
func (d *day) runClient(ctx context.Context, domain dayDomain) {
	interval := time.Duration(float64(domain.clients) / domain.perSecond * float64(time.Second))
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	number := rand.IntN(domain.gateways)
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
		kind := drawKind()
		requests.Go(func() {
			deadline := time.Now().Add(time.Duration(kind.deadlineMs) * time.Millisecond)
			for attempt := range 2 {
				gateway := d.gateways[domain.name][(number+attempt)%domain.gateways]
				wait, again := d.send(transport, gateway.address, kind, deadline)
				if !again || wait > time.Duration(float64(time.Until(deadline))*dayRetryShare) {
					return
				}
				time.Sleep(wait)
			}
		})
	}
}

func drawKind() dayKind {
	sum := 0.0
	for _, kind := range dayKinds {
		sum += kind.perSecond
	}
	draw := rand.Float64() * sum
	for _, kind := range dayKinds {
		if draw -= kind.perSecond; draw < 0 {
			return kind
		}
	}
	return dayKinds[0]
}

// send sends a request and reports whether the client may send it again, after the wait.
func (d *day) send(transport *http.Transport, gateway string, kind dayKind, deadline time.Time) (wait time.Duration, again bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/"+kind.route+"/x", strings.NewReader(strings.Repeat("b", 400)))
	if err != nil {
		d.t.Error(err)
		return 0, false
	}
	request.Host = platformtest.Host
	request.Header.Set(platformtest.HeaderAttempt, id)
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"kept")
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(time.Until(deadline).Milliseconds()))
	if kind.kind == "stream" {
		prompt := max(60, int(float64(kind.promptTokens)*min(3, rand.ExpFloat64())))
		events := max(1, int(float64(kind.events)*min(2.5, rand.ExpFloat64())))
		request.Header.Set(platformtest.HeaderModel, dayWeights.Model)
		request.Header.Set(platformtest.HeaderTokens, fmt.Sprintf("%d,%d", prompt, events*dayPace.Stride))
		request.Header.Set(platformtest.HeaderPrompt, fmt.Sprintf("%x:40,%s:%d", rand.IntN(60)+1, id, prompt-40))
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		d.count(0)
		return 0, kind.kind != "unsafe" || errors.Is(err, syscall.ECONNREFUSED)
	}
	defer answer.Body.Close()
	d.count(answer.StatusCode)
	_, err = io.Copy(io.Discard, bufio.NewReader(answer.Body))
	if answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests {
		var seconds float64
		_, _ = fmt.Sscan(answer.Header.Get("Retry-After"), &seconds) // absent means at once
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, err != nil && kind.kind != "unsafe"
}

func (d *day) count(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[status]++
}

// check reports requests that began on version 1 after the bound, counted from the acknowledgement of version 2.
func (d *day) check(acknowledged time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	broken, lastOld, first := 0, time.Duration(0), make(map[string]time.Duration) // first requests on version 2 by engine
	for _, begin := range d.begins {
		since := begin.at.Sub(acknowledged)
		if begin.version >= 2 {
			if before, found := first[begin.engine]; !found || since < before {
				first[begin.engine] = since
			}
			continue
		}
		lastOld = max(lastOld, since)
		if since > versionBound {
			broken++
			d.t.Logf("%s began on version %d at %s %v after the acknowledgement", begin.request, begin.version, begin.engine, since)
		}
	}
	d.t.Logf("%d requests began; last on version 1 %.3f s after the acknowledgement; version 2 first at %v; answers by status %v", len(d.begins), lastOld.Seconds(), first, d.answers)
	if broken > 0 {
		d.t.Errorf("model versions: %d requests began on version 1 after its bound", broken)
	}
}
