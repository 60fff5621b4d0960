package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/operate"
)

// metrics reads a node's own metrics.
func (c *cluster) metrics(address string) map[string]json.RawMessage {
	c.t.Helper()
	answer, err := http.Get("http://" + address + "/debug/vars")
	c.must(err)
	defer answer.Body.Close()
	var all map[string]json.RawMessage
	c.must(json.NewDecoder(answer.Body).Decode(&all))
	return all
}

func (c *cluster) counts(address, metric string) map[string]int {
	c.t.Helper()
	counts := make(map[string]int)
	c.must(json.Unmarshal(c.metrics(address)[metric], &counts))
	return counts
}

// writeSet writes the cluster's configuration to a folder.
func (c *cluster) writeSet() string {
	c.t.Helper()
	folder := c.t.TempDir()
	raw, err := json.Marshal(c.set)
	c.must(err)
	c.must(os.WriteFile(filepath.Join(folder, "all.json"), raw, 0o600))
	return folder
}

// operate runs an action of the operator's and returns what it printed.
func (c *cluster) operate(limit time.Duration, action func(context.Context, *operate.Operator) error) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var out bytes.Buffer
	operator := *c.operator
	operator.Out = &out
	err := action(ctx, &operator)
	return out.String(), err
}

func TestBurnAndMetricsFollowTheTraffic(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	for i := range c.set.Services {
		c.set.Services[i].Objectives = config.Objectives{Availability: 0.99}
	}
	c.set.Services[0].Objectives.FirstTokenMS = 60_000
	c.apply()
	report := load.Run(context.Background(), c.loadOptions(time.Second))
	if report.Completed != report.Sent {
		t.Fatalf("not every answer was whole: %+v", report)
	}
	served := 0
	for _, address := range c.entries("entry-a", "entry-b") {
		c.await("the last requests have ended at the entry", func() bool {
			flying := c.counts(address, "lovage_requests_in_flight")
			return flying["models"] == 0 && flying["bookings"] == 0
		})
		requests := c.counts(address, "lovage_requests")
		served += requests["models/model/whole"] + requests["bookings/plain/whole"]
		if generation := string(c.metrics(address)["lovage_generation"]); generation != "2" {
			t.Errorf("%s holds generation %s", address, generation)
		}
	}
	if served < report.Sent {
		t.Errorf("%d requests in the metrics, %d sent", served, report.Sent)
	}
	if progress := string(c.metrics(c.entries("runner-a")[0])["lovage_versions"]); !strings.Contains(progress, `"serving"`) {
		t.Errorf("the runner shows %s", progress)
	}
	options := operate.BurnOptions{Windows: []time.Duration{10 * time.Minute, time.Hour}}
	gather := func(ctx context.Context, operator *operate.Operator) error { return operator.Burn(ctx, options) }
	out, err := c.operate(awaitLimit, gather)
	if err != nil || !strings.Contains(strings.Join(strings.Fields(out), " "), "models * first token 95% in 60000 ms 0.00 0.00 100.0%") {
		t.Errorf("%v:\n%s", err, out)
	}
	c.kill("entry-b")
	out, err = c.operate(awaitLimit, gather)
	if err != nil || !strings.Contains(out, "failure domain b was not reached: none of its 1 entries answered") {
		t.Errorf("%v:\n%s", err, out)
	}
}

func TestApplyReachesEveryNodeAndWaitNamesTheDead(t *testing.T) {
	c := newPathCluster(t)
	c.set.Services[0].Limits.Queue = 9
	folder := c.writeSet()
	apply := func(ctx context.Context, operator *operate.Operator) error {
		return operator.Apply(ctx, folder, operate.PublishOptions{By: "ana", PublishID: "nine"})
	}
	c.put(c.platformAddr, "/faults", `{"down":true}`)
	if _, err := c.operate(awaitLimit, apply); !fault.Is(err, fault.PlatformUnavailable) {
		t.Errorf("with the platform down: %v", err)
	}
	c.put(c.platformAddr, "/faults", `{"lose_answers":true}`)
	if _, err := c.operate(awaitLimit, apply); err != nil {
		t.Errorf("with every answer to a write lost: %v", err)
	}
	c.put(c.platformAddr, "/faults", `{}`)
	if out, err := c.operate(awaitLimit, apply); err != nil || !strings.Contains(out, "generation 2 is accepted") {
		t.Errorf("%v: %s", err, out)
	}
	wait := func(ctx context.Context, operator *operate.Operator) error {
		return operator.WaitConfirmed(ctx, 0, false)
	}
	if out, err := c.operate(awaitLimit, wait); err != nil || !strings.Contains(out, "generation 2 is confirmed by all 6 hosts") {
		t.Errorf("%v: %s", err, out)
	}
	c.kill("plain-b")
	_, err := c.operate(3*time.Second, wait)
	if !fault.Is(err, fault.DeadlinePassed) || !strings.Contains(err.Error(), "confirmed by 5 of 6 hosts, not by: plain-b in b gave no answer") {
		t.Errorf("with a dead host: %v", err)
	}
}

func TestTimeToReplicasIsMeasured(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	second := c.addVersion("brief", "brief-v2", bytes.Repeat([]byte("2"), 300_000), 65536)
	c.set.Versions = append(c.set.Versions, second)
	c.set.Rules[0].Version = second.Name
	c.set.Services[0].Objectives.ReplicasS = 3600
	c.apply()
	for _, id := range []core.HostID{"entry-a", "entry-b"} {
		c.await("the entry saw the version on its replicas", func() bool {
			raw, err := os.ReadFile(c.nodes[id].log.Name())
			c.must(err)
			return strings.Contains(string(raw), "version is on its replicas")
		})
	}
	options := operate.BurnOptions{Windows: []time.Duration{10 * time.Minute}, JSON: true}
	out, err := c.operate(awaitLimit, func(ctx context.Context, operator *operate.Operator) error { return operator.Burn(ctx, options) })
	c.must(err)
	var report operate.BurnReport
	c.must(json.Unmarshal([]byte(out), &report))
	for _, row := range report.Rows {
		if row.Objective == burn.ObjectiveTimeToReplicas && row.Rates[0] == (burn.Rate{Total: 2}) {
			return
		}
	}
	t.Errorf("the report has no two times to replicas: %s", out)
}
