package systemtest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/standin"
)

const (
	maxSuspectCrashes  = 4               // crashes that one repeated request can cause at two endpoints, which learn of each other's crashes
	profileDeadline    = 3 * time.Second // shorter than an entry's timeout for a silent connection
	readsBeforeHedging = 60              // answers after which an entry has enough latency samples to hedge reads
)

// TestDelayedCopyOfATombstonedAttemptIsNotRun holds back an attempt on its way to plain-a until the booking is answered.
// The attempt is declared never run meanwhile, and its delayed copy must be refused.
func TestDelayedCopyOfATombstonedAttemptIsNotRun(t *testing.T) {
	c := newBookingCluster(t)
	resume := c.proxies["plain-a"][0].pause()
	result := book(newCaller(t), c.dataAddresses("entry-a")[0], "", "late", 4*callDeadline)
	if result.outcome != booked {
		t.Errorf("the result of the booking was %+v", result)
	}
	resume()
	c.await("the delayed copy is refused", func() bool { return strings.Contains(c.readLog("plain-a"), "declared never run") })
	if made := c.bookingCounts()["late"]; made != 1 {
		t.Errorf("the booking was made %d times", made)
	}
}

func TestDrainingAgentStillDeliversItsAnswer(t *testing.T) {
	c := newBookingCluster(t)
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":500}`)
	results := make(chan bookingResult, 1)
	client := newCaller(t)
	client.Timeout = 0
	go func() { results <- book(client, c.dataAddresses("entry-a")[0], "", "last", 4*callDeadline) }()
	c.await("the booking runs", func() bool { return c.bookingCounts()["last"] == 1 })
	c.proxies["plain-a"][0].silence()
	c.signal("plain-a", syscall.SIGTERM)
	if got := <-results; got.outcome != booked {
		t.Errorf("the result of the booking was %+v", got)
	}
}

// newStreamCluster starts an entry and a runner behind proxies, whose answers have the given number of tokens.
func newStreamCluster(t *testing.T, tokens int) *cluster {
	c := newCluster(t)
	c.addEntry("entry-a", "a", nil)
	c.engines["runner-a"] = standin.NewEngine(tokens, 20*time.Millisecond)
	c.addAgent("runner-a", "a", "engine", c.engines["runner-a"].App(), c.listenBehindProxy)
	version := c.addVersion("brief", "brief-v1", make([]byte, 100_000), 65536)
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Models:         []config.Model{{Name: "brief"}},
		Versions:       []config.Version{version},
		Services: []config.Service{{
			Name: "models", Kind: config.KindModel, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8},
			Endpoints: []config.Endpoint{{Host: "runner-a", FailureDomain: "a"}},
		}},
		Rules: []config.Rule{{Name: "brief", Service: "models", Version: "brief-v1", Replicas: map[core.FailureDomain]int{"a": 1}}},
	}
	c.applyConfiguration()
	return c
}

// openStream requests a streamed completion, repeatedly until one begins, and returns its body and a scanner of its
// lines.
func (c *cluster) openStream() (io.Closer, *bufio.Scanner) {
	c.t.Helper()
	var answer *http.Response
	c.await("a stream begins", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.dataAddresses("entry-a")[0]+"/v1/chat/completions", strings.NewReader(`{"model":"models","stream":true,"messages":[{"role":"user","content":"brief"}]}`))
		c.must(err)
		request.Header.Set("Lovage-Workspace", "space")
		request.Header.Set("Lovage-Deadline-Ms", "60000")
		answer, err = http.DefaultClient.Do(request)
		c.must(err)
		if answer.StatusCode != http.StatusOK {
			_ = answer.Body.Close()
		}
		return answer.StatusCode == http.StatusOK
	})
	return answer.Body, bufio.NewScanner(answer.Body)
}

// readStream returns the number of tokens and the last line that is not empty. It fails the test if a token is out of
// order, and calls onFirst at the first token.
func readStream(t *testing.T, lines *bufio.Scanner, onFirst func()) (tokens int, lastLine string) {
	t.Helper()
	for lines.Scan() {
		line := lines.Text()
		if line != "" {
			lastLine = line
		}
		if !strings.Contains(line, `"delta"`) {
			continue
		}
		if !strings.Contains(line, fmt.Sprintf(`"t%d "`, tokens)) {
			t.Fatalf("token %d is out of order: %s", tokens, line)
		}
		if tokens == 0 {
			onFirst()
		}
		tokens++
	}
	return tokens, lastLine
}

func TestStreamOverSilentConnectionsIsComplete(t *testing.T) {
	c := newStreamCluster(t, 40)
	body, lines := c.openStream()
	defer body.Close()
	tokens, lastLine := readStream(t, lines, c.proxies["runner-a"][0].silence)
	if tokens != 40 || lastLine != "data: [DONE]" {
		t.Errorf("%d tokens, then %s", tokens, lastLine)
	}
}

func TestStreamOfAKilledAgentIsReported(t *testing.T) {
	c := newStreamCluster(t, 400)
	body, lines := c.openStream()
	defer body.Close()
	tokens, lastLine := readStream(t, lines, func() { c.kill("runner-a") })
	var event struct{ Error fault.Refusal }
	_ = json.Unmarshal([]byte(strings.TrimPrefix(lastLine, "data: ")), &event)
	if tokens == 400 || event.Error.Kind != "outcome_unknown" || event.Error.Outcome != fault.Unknown {
		t.Errorf("%d tokens, then %s", tokens, lastLine)
	}
}

func TestCallerDisconnectStopsItsStream(t *testing.T) {
	c := newStreamCluster(t, 100_000)
	body, lines := c.openStream()
	lines.Scan()
	_ = body.Close()
	c.await("the engine runs no request", func() bool {
		state, err := backend.NewHTTP(c.backendAddr("runner-a")).State(t.Context())
		return err == nil && state.Running == 0
	})
}

func TestRequestThatCrashesEndpointsIsRefusedEverywhere(t *testing.T) {
	c := newBookingCluster(t)
	for id := range c.plainServices {
		c.put(c.backendAddr(id), "/faults", `{"crash_on":"bad"}`)
	}
	client := newCaller(t)
	refused := 0
	for i := range 20 {
		for _, entry := range c.dataAddresses("entry-a", "entry-b") {
			if kind := c.readProfile(client, entry, "bad"); kind == "suspect_request" {
				refused++
			}
			if kind := c.readProfile(client, entry, fmt.Sprint("good", i)); kind != "" {
				t.Errorf("an unrelated request was refused: %s", kind)
			}
		}
	}
	crashes := c.plainServices["plain-a"].Crashes() + c.plainServices["plain-b"].Crashes()
	t.Logf("%d crashes, %d of 40 sends refused as suspect", crashes, refused)
	if crashes > maxSuspectCrashes {
		t.Errorf("the request crashed %d endpoints", crashes)
	}
	if notRefused := 40 - refused; notRefused > crashes {
		t.Errorf("%d sends were not refused as suspect after %d crashes", notRefused, crashes)
	}
}

func TestReadIsHedgedAroundASuspendedAgent(t *testing.T) {
	c := newBookingCluster(t)
	client := newCaller(t)
	entry := c.dataAddresses("entry-a")[0]
	for i := range readsBeforeHedging {
		if kind := c.readProfile(client, entry, fmt.Sprint(i)); kind != "" {
			t.Fatalf("a read was refused: %s", kind)
		}
	}
	c.suspend("plain-a")
	if kind := c.readProfile(client, entry, "hedged"); kind != "" {
		t.Errorf("the read was refused: %s", kind)
	}
}

// readProfile sends a read request and returns the kind of its refusal, or "" if it was answered.
func (c *cluster) readProfile(client *http.Client, entry, id string) string {
	c.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/services/bookings/profile?id="+id, nil)
	c.must(err)
	request.Header.Set("Lovage-Workspace", "space")
	request.Header.Set("Lovage-Deadline-Ms", fmt.Sprint(profileDeadline.Milliseconds()))
	answer, err := client.Do(request)
	c.must(err)
	defer answer.Body.Close()
	var refusal fault.Refusal
	if answer.StatusCode != http.StatusOK {
		c.must(json.NewDecoder(answer.Body).Decode(&refusal))
	}
	return refusal.Kind
}
