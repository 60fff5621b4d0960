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

// metrics returns the metrics that a node publishes, by name.
func (c *cluster) metrics(address string) map[string]json.RawMessage {
	c.t.Helper()
	answer, err := http.Get("http://" + address + "/debug/vars")
	c.must(err)
	defer answer.Body.Close()
	var all map[string]json.RawMessage
	c.must(json.NewDecoder(answer.Body).Decode(&all))
	return all
}

func (c *cluster) metricCounts(address, metric string) map[string]int {
	c.t.Helper()
	counts := make(map[string]int)
	c.must(json.Unmarshal(c.metrics(address)[metric], &counts))
	return counts
}

// writeConfiguration writes the cluster's configuration to a new folder and returns its path.
func (c *cluster) writeConfiguration() string {
	c.t.Helper()
	folder := c.t.TempDir()
	raw, err := json.Marshal(c.configuration)
	c.must(err)
	c.must(os.WriteFile(filepath.Join(folder, "all.json"), raw, 0o600))
	return folder
}

// runOperator runs an operator command with a timeout and returns its output.
func (c *cluster) runOperator(timeout time.Duration, action func(context.Context, *operate.Operator) error) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out bytes.Buffer
	operator := *c.operator
	operator.Out = &out
	err := action(ctx, &operator)
	return out.String(), err
}

func TestBurnReportAndMetricsMatchTraffic(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	for i := range c.configuration.Services {
		c.configuration.Services[i].Objectives = config.Objectives{Availability: 0.99}
	}
	c.configuration.Services[0].Objectives.FirstTokenMS = 60_000
	c.applyConfiguration()
	report := load.Run(context.Background(), c.loadOptions(time.Second))
	if report.Completed != report.Sent {
		t.Fatalf("not every answer was complete: %+v", report)
	}
	served := 0
	for _, address := range c.dataAddresses("entry-a", "entry-b") {
		c.await("the entry has no requests in flight", func() bool {
			inFlight := c.metricCounts(address, "lovage_requests_in_flight")
			return inFlight["models"] == 0 && inFlight["bookings"] == 0
		})
		requests := c.metricCounts(address, "lovage_requests")
		served += requests["models/model/whole"] + requests["bookings/plain/whole"]
		if generation := string(c.metrics(address)["lovage_generation"]); generation != "2" {
			t.Errorf("%s has generation %s", address, generation)
		}
	}
	if served < report.Sent {
		t.Errorf("the metrics count %d requests, %d were sent", served, report.Sent)
	}
	if progress := string(c.metrics(c.dataAddresses("runner-a")[0])["lovage_versions"]); !strings.Contains(progress, `"serving"`) {
		t.Errorf("the runner does not report a serving version: %s", progress)
	}
	options := operate.BurnOptions{Windows: []time.Duration{10 * time.Minute, time.Hour}}
	runBurn := func(ctx context.Context, operator *operate.Operator) error { return operator.Burn(ctx, options) }
	out, err := c.runOperator(awaitTimeout, runBurn)
	if err != nil || !strings.Contains(strings.Join(strings.Fields(out), " "), "models * first token 95% in 60000 ms 0.00 0.00 100.0%") {
		t.Errorf("%v:\n%s", err, out)
	}
	c.kill("entry-b")
	out, err = c.runOperator(awaitTimeout, runBurn)
	if err != nil || !strings.Contains(out, "failure domain b was not reached: none of its 1 entries answered") {
		t.Errorf("%v:\n%s", err, out)
	}
}

func TestApplyReachesAllNodesAndWaitNamesUnreachableHosts(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.configuration.Services[0].Limits.Queue = 9
	folder := c.writeConfiguration()
	apply := func(ctx context.Context, operator *operate.Operator) error {
		return operator.Apply(ctx, folder, operate.PublishOptions{By: "ana", PublishID: "nine"})
	}
	c.put(c.platformAddr, "/faults", `{"down":true}`)
	if _, err := c.runOperator(awaitTimeout, apply); !fault.Is(err, fault.PlatformUnavailable) {
		t.Errorf("with the platform down: %v", err)
	}
	c.put(c.platformAddr, "/faults", `{"lose_answers":true}`)
	if _, err := c.runOperator(awaitTimeout, apply); err != nil {
		t.Errorf("with every answer to a write lost: %v", err)
	}
	c.put(c.platformAddr, "/faults", `{}`)
	if out, err := c.runOperator(awaitTimeout, apply); err != nil || !strings.Contains(out, "generation 2 is accepted") {
		t.Errorf("%v: %s", err, out)
	}
	wait := func(ctx context.Context, operator *operate.Operator) error {
		return operator.WaitConfirmed(ctx, 0, false)
	}
	if out, err := c.runOperator(awaitTimeout, wait); err != nil || !strings.Contains(out, "generation 2 is confirmed by all 6 hosts") {
		t.Errorf("%v: %s", err, out)
	}
	c.kill("plain-b")
	_, err := c.runOperator(3*time.Second, wait)
	if !fault.Is(err, fault.DeadlinePassed) || !strings.Contains(err.Error(), "confirmed by 5 of 6 hosts, not by: plain-b in b gave no answer") {
		t.Errorf("with an unreachable host: %v", err)
	}
}

func TestTimeToReplicasIsMeasured(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	second := c.addVersion("brief", "brief-v2", bytes.Repeat([]byte("2"), 300_000), 65536)
	c.configuration.Versions = append(c.configuration.Versions, second)
	c.configuration.Rules[0].Version = second.Name
	c.configuration.Services[0].Objectives.ReplicasS = 3600
	c.applyConfiguration()
	for _, id := range []core.HostID{"entry-a", "entry-b"} {
		c.await("the entry has logged that the version is on its replicas", func() bool {
			raw, err := os.ReadFile(c.nodes[id].log.Name())
			c.must(err)
			return strings.Contains(string(raw), "version is on its replicas")
		})
	}
	options := operate.BurnOptions{Windows: []time.Duration{10 * time.Minute}, JSON: true}
	out, err := c.runOperator(awaitTimeout, func(ctx context.Context, operator *operate.Operator) error { return operator.Burn(ctx, options) })
	c.must(err)
	var report operate.BurnReport
	c.must(json.Unmarshal([]byte(out), &report))
	for _, row := range report.Rows {
		if row.Objective == burn.ObjectiveTimeToReplicas && row.Rates[0] == (burn.Rate{Total: 2}) {
			return
		}
	}
	t.Errorf("the report does not count two times to replicas: %s", out)
}
