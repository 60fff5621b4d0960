package systemtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
)

// A caller leaves in the middle of its answer, and others come at once. The engine runs one request at a time and goes on with the
// first until it notices.
func TestEngineIsSentNoMoreWhileItStopsACancelledRequest(t *testing.T) {
	c := newSlowCluster(t, config.Limits{Cold: 1, Max: 1, Queue: 4})
	c.await("the runners are idle", func() bool {
		return c.reportedLoad("slow-a").Running == 0 && c.reportedLoad("slow-b").Running == 0
	})
	for _, id := range []core.HostID{"slow-a", "slow-b"} {
		c.put(c.backendAddr(id), "/faults", fmt.Sprintf(`{"crash_above_run":%d}`, 1))
	}
	for range 10 {
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 { // one for each runner
			answer := c.streamFromSlow(ctx)
			_, err := answer.Body.Read(make([]byte, 1))
			c.must(err)
		}
		cancel()
		answer := c.streamFromSlow(t.Context())
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK || err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			t.Fatalf("the next request was answered with status %d, %q, %v", answer.StatusCode, text, err)
		}
	}
}

// streamFromSlow sends a request to the service "slow" through entry-a.
func (c *cluster) streamFromSlow(ctx context.Context) *http.Response {
	c.t.Helper()
	body := strings.NewReader(`{"model":"slow","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.nodes["entry-a"].host.DataAddress+"/v1/chat/completions", body)
	c.must(err)
	request.Header.Set("Lovage-Workspace", "space")
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	c.must(err)
	return answer
}
