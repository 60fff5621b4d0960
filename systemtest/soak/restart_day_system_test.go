package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

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
