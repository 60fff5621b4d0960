package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
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
		{"draft", "stream", "models", 59.2, 6000, 500, 1330, 21},
		{"summary", "stream", "models", 45.1, 6000, 400, 827, 21},
		{"note", "stream", "models", 42.6, 6000, 400, 647, 14},
		{"escrow", "unsafe", "ledger", 12.6, 1500, 150, 0, 0},
		{"profile", "safe", "ledger", 5.03, 1500, 150, 0, 0},
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
