package systemtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	callDeadline        = 8 * time.Second
	callerTimeout       = 5 * time.Second // below callDeadline, so that callers can give up before their deadline
	historyCheckTimeout = time.Minute
)

// newBookingCluster starts two entries and two plain services whose agents are behind proxies.
func newBookingCluster(t testing.TB) *cluster {
	c := newCluster(t)
	c.addEntry("entry-a", "a", nil)
	c.addEntry("entry-b", "b", nil)
	c.addProxiedPlainService("plain-a", "a")
	c.addProxiedPlainService("plain-b", "b")
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}, {Name: "b", Region: "b"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Services: []config.Service{{
			Name:      "bookings",
			Kind:      config.KindPlain,
			Limits:    config.Limits{Cold: 16, Max: 32, Queue: 8},
			Endpoints: endpoints("plain"),
			Calls:     []config.Call{{Method: "GET", Path: "/", Idempotent: true}},
		}},
	}
	c.applyConfiguration()
	client := newCaller(t)
	for _, entry := range c.dataAddresses("entry-a", "entry-b") {
		c.await("the entry answers a booking", func() bool {
			return book(client, entry, "", fmt.Sprint("warm", time.Now().UnixNano()), callDeadline).outcome == booked
		})
	}
	return c
}

func newCaller(t testing.TB) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callerTimeout}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// bookAll starts workers that book each key at all entries at once, with a few retries. The returned group ends when
// all keys are done.
func bookAll(h *history, client *http.Client, entries []string, keys, workers int) *conc.WaitGroup {
	var callers conc.WaitGroup
	for worker := range workers {
		callers.Go(func() {
			for key := worker; key < keys; key += workers {
				var pair conc.WaitGroup
				for i, entry := range entries {
					pair.Go(func() { bookWithRetries(h, client, worker*len(entries)+i, entry, fmt.Sprint("key-", key)) })
				}
				pair.Wait()
			}
		})
	}
	return &callers
}

func bookWithRetries(h *history, client *http.Client, number int, entry, key string) {
	for range 3 {
		if h.book(client, number, entry, key, callDeadline).outcome == booked {
			return
		}
	}
}

// faultStep is a fault that a test begins and ends while calls run.
type faultStep struct {
	name       string
	begin, end func()
}

func (c *cluster) faultSteps() []faultStep {
	both := func(action func(*tcpProxy)) func() {
		return func() {
			for _, proxies := range c.proxies {
				for _, p := range proxies {
					action(p)
				}
			}
		}
	}
	none := func() {}
	platform := func(faults string) func() {
		return func() { c.put(c.platformAddr, "/faults", faults) }
	}
	return []faultStep{
		{"silent connections", both((*tcpProxy).silence), none},
		{"cut connections", both((*tcpProxy).closeConnections), none},
		{"lost platform answers", platform(`{"lose_answers":true}`), platform(`{}`)},
		{"agent suspended", func() { c.suspend("plain-a") }, func() { c.signal("plain-a", syscall.SIGCONT) }},
		{"entry suspended", func() { c.suspend("entry-a") }, func() { c.signal("entry-a", syscall.SIGCONT) }},
		{"agent killed", func() { c.kill("plain-b") }, func() { c.restart("plain-b") }},
		{"entry killed", func() { c.kill("entry-b") }, func() { c.restart("entry-b") }},
		{"platform slower than its callers' timeouts", platform(`{"delay_ms":2500}`), platform(`{}`)},
		{"platform down", platform(`{"down":true}`), platform(`{}`)},
		{"silent connections again", both((*tcpProxy).silence), none},
	}
}

// checkHistory adds to the history how often each key's booking was made, and checks that the history is linearizable.
func (c *cluster) checkHistory(h *history, keys int) {
	c.t.Helper()
	made := c.bookingCounts()
	for key := range keys {
		name := fmt.Sprint("key-", key)
		h.record(-1, bookingCall{key: name, countOnly: true}, h.now(), bookingResult{count: made[name]})
	}
	c.t.Logf("results by outcome and kind: %v", h.outcomeCounts)
	if result := porcupine.CheckOperationsTimeout(bookingModel, h.operations, historyCheckTimeout); result != porcupine.Ok {
		c.t.Fatalf("the answers to callers contradict the bookings (%s); bookings made more than once: %v", result, bookedMoreThanOnce(made))
	}
}

func bookedMoreThanOnce(made map[string]int) map[string]int {
	duplicates := make(map[string]int)
	for id, count := range made {
		if count > 1 {
			duplicates[id] = count
		}
	}
	return duplicates
}

func TestKeyedBookingsAreMadeAtMostOnceUnderFaults(t *testing.T) {
	c := newBookingCluster(t)
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":40}`)
	c.put(c.backendAddr("plain-b"), "/faults", `{"delay_ms":40}`)
	const keys, workers, callsPerFault = 400, 8, 16
	h := newHistory()
	callers := bookAll(h, newCaller(t), c.dataAddresses("entry-a", "entry-b"), keys, workers)
	for _, step := range c.faultSteps() {
		c.awaitCalls(h, callsPerFault, keys)
		step.begin()
		t.Logf("%s after %d calls", step.name, h.length())
		c.awaitCalls(h, callsPerFault, keys)
		step.end()
	}
	callers.Wait()
	c.checkHistory(h, keys)
}

// awaitCalls waits until the given number of further calls have ended, or 2*keys calls in all. The callers make at least
// that many: one for each key at each of the two entries.
func (c *cluster) awaitCalls(h *history, more, keys int) {
	c.t.Helper()
	goal := min(h.length()+more, 2*keys)
	c.await("calls end", func() bool { return h.length() >= goal })
}

func TestResendAfterAgentRestartIsNotRunAgain(t *testing.T) {
	c := newBookingCluster(t)
	h := newHistory()
	client := newCaller(t)
	if first := h.book(client, 0, c.dataAddresses("entry-a")[0], "key-0", callDeadline); first.outcome != booked {
		t.Fatalf("the result of the booking was %+v", first)
	}
	for id := range c.plainServices {
		c.kill(id)
		c.restart(id)
		c.await("the agent is ready again", func() bool {
			record, err := c.record(id)
			return err == nil && record.Phase == wire.PhaseReady
		})
	}
	if again := h.book(client, 0, c.dataAddresses("entry-b")[0], "key-0", callDeadline); again.outcome != unknown {
		t.Errorf("the resend after the agents' restarts had the result %+v", again)
	}
	c.checkHistory(h, 1)
}

func TestConcurrentResendGetsTheResultOfTheFirstRun(t *testing.T) {
	c := newBookingCluster(t)
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":1000}`)
	client := newCaller(t)
	first := make(chan bookingResult, 1)
	go func() { first <- book(client, c.dataAddresses("entry-a")[0], "key", "once", callDeadline) }()
	c.await("the booking runs", func() bool { return c.bookingCounts()["once"] == 1 })
	second := book(client, c.dataAddresses("entry-b")[0], "key", "once", callDeadline)
	if (<-first).outcome != booked || second.outcome != booked || c.bookingCounts()["once"] != 1 {
		t.Errorf("the result of the resend was %+v; bookings made: %v", second, c.bookingCounts())
	}
}

func TestKeyReuseWithOtherContentIsRefused(t *testing.T) {
	c := newBookingCluster(t)
	client := newCaller(t)
	book(client, c.dataAddresses("entry-a")[0], "key", "first", callDeadline)
	second := book(client, c.dataAddresses("entry-b")[0], "key", "second", callDeadline)
	if second.refusalKind != "idempotency_conflict" || c.bookingCounts()["second"] != 0 {
		t.Fatalf("another request with the same key had the result %+v", second)
	}
}

func TestKeyedCallInPlatformOutageRunsNothing(t *testing.T) {
	c := newBookingCluster(t)
	client := newCaller(t)
	c.put(c.platformAddr, "/faults", `{"down":true}`)
	outage := book(client, c.dataAddresses("entry-a")[0], "key-0", "key-0", callDeadline)
	if outage.refusalKind != "platform_unavailable" || outage.outcome != unknown || c.bookingCounts()["key-0"] != 0 {
		t.Errorf("in the outage the call had the result %+v", outage)
	}
	if other := book(client, c.dataAddresses("entry-a")[0], "", "unkeyed", callDeadline); other.outcome != booked {
		t.Errorf("in the outage a call without a key had the result %+v", other)
	}
	c.put(c.platformAddr, "/faults", `{}`)
	c.await("the resend is booked", func() bool {
		return book(client, c.dataAddresses("entry-b")[0], "key-0", "key-0", callDeadline).outcome == booked
	})
	if made := c.bookingCounts()["key-0"]; made != 1 {
		t.Errorf("the booking was made %d times", made)
	}
}

func (c *cluster) addProxiedPlainService(id core.HostID, domain core.FailureDomain) {
	c.t.Helper()
	c.addPlainServiceWith(id, domain, c.listenBehindProxy)
}

// BenchmarkBooking measures a booking through an entry and an agent, with and without an idempotency key.
func BenchmarkBooking(b *testing.B) {
	c := newBookingCluster(b)
	client := newCaller(b)
	number := 0
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%t", keyed), func(b *testing.B) {
			for b.Loop() {
				number++
				id := fmt.Sprint("bench-", number)
				key := ""
				if keyed {
					key = id
				}
				if result := book(client, c.dataAddresses("entry-a")[0], key, id, callDeadline); result.outcome != booked {
					b.Fatalf("the result of the booking was %+v", result)
				}
			}
		})
	}
}
