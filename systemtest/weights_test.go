package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/standin"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	weightsBytes      = 512 << 10
	weightsChunkBytes = 16 << 10
	slowOriginFaults  = `{"origin_bytes_per_s":131072}` // a copy takes four seconds
)

var weightsRunners = []core.HostID{"runner-a", "runner-b", "runner-c"}

// newWeightsCluster starts three runners in one failure domain and adds the versions v1 and v2.
func newWeightsCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.addEntry("entry-a", "a", nil)
	var runnerEndpoints []config.Endpoint
	for _, id := range weightsRunners {
		c.addRunner(id, "a", 40, 20*time.Millisecond)
		runnerEndpoints = append(runnerEndpoints, config.Endpoint{Host: id, FailureDomain: "a"})
	}
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Models:         []config.Model{{Name: "brief"}},
		Versions:       []config.Version{c.randomVersion("v1", 1), c.randomVersion("v2", 2)},
		Services:       []config.Service{{Name: "models", Kind: config.KindModel, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}, Endpoints: runnerEndpoints}},
		Rules:          []config.Rule{{Name: "brief", Service: "models", Version: "v1", Replicas: map[core.FailureDomain]int{"a": len(weightsRunners)}}},
	}
	return c
}

func (c *cluster) randomVersion(name string, seed byte) config.Version {
	raw := make([]byte, weightsBytes)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(raw)
	return c.addVersion("brief", name, raw, weightsChunkBytes)
}

// publishVersion publishes a rule for the version with the number of replicas. It does not wait until they serve it.
func (c *cluster) publishVersion(version string, replicas int) {
	c.t.Helper()
	c.configuration.Rules[0].Version = version
	c.configuration.Rules[0].Replicas = map[core.FailureDomain]int{"a": replicas}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	publisher := config.Publisher{Tables: c.operator.Platform, Objects: c.operator.Platform}
	_, err := publisher.Publish(ctx, c.configuration, core.NewID())
	c.must(err)
}

func (c *cluster) manifestOf(name string) core.VersionID {
	for _, version := range c.configuration.Versions {
		if version.Name == name {
			return version.Manifest
		}
	}
	return ""
}

func (c *cluster) phaseOf(id core.HostID, name string) wire.VersionPhase {
	record, err := c.record(id)
	if err != nil {
		return ""
	}
	for _, status := range record.Versions {
		if status.Version == c.manifestOf(name) {
			return status.Phase
		}
	}
	return ""
}

func (c *cluster) awaitPhase(name string, phase wire.VersionPhase, ids ...core.HostID) {
	c.t.Helper()
	for _, id := range ids {
		c.await(fmt.Sprintf("%s is %s at %s", name, phase, id), func() bool { return c.phaseOf(id, name) == phase })
	}
}

func (c *cluster) engineState(id core.HostID) backend.EngineState {
	c.t.Helper()
	answer, err := http.Get("http://" + c.backendAddr(id) + "/admin/state")
	c.must(err)
	defer answer.Body.Close()
	var state backend.EngineState
	c.must(json.NewDecoder(answer.Body).Decode(&state))
	return state
}

// sendUnexpectedLoad sends an engine a load order that does not come from its agent, and returns the HTTP status.
func (c *cluster) sendUnexpectedLoad(id core.HostID, fence core.FenceNumber) int {
	c.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.backendAddr(id)+"/admin/load", strings.NewReader("stray"))
	c.must(err)
	request.Header.Set("X-Version", "stray")
	request.Header.Set("X-Fence", strconv.FormatUint(uint64(fence), 10))
	answer, err := http.DefaultClient.Do(request)
	c.must(err)
	c.must(answer.Body.Close())
	return answer.StatusCode
}

func (c *cluster) restartEngine(id core.HostID) {
	c.t.Helper()
	answer, err := http.Post("http://"+c.backendAddr(id)+"/admin/restart", "", http.NoBody)
	c.must(err)
	c.must(answer.Body.Close())
}

// originCopies returns how many bytes the origin has sent, in multiples of the size of one version.
func (c *cluster) originCopies() float64 {
	c.t.Helper()
	answer, err := http.Get("http://" + c.platformAddr + "/stats")
	c.must(err)
	defer answer.Body.Close()
	var stats standin.PlatformStats
	c.must(json.NewDecoder(answer.Body).Decode(&stats))
	return float64(stats.OriginBytes) / weightsBytes
}

// TestEngineWithWrongWeightsServesNothing makes an engine load another version, or wrong bytes under the right version.
// It must not serve until it loads the right weights.
func TestEngineWithWrongWeightsServesNothing(t *testing.T) {
	for _, faults := range []string{`{"load_other":true}`, `{"load_wrong":true}`} {
		t.Run(faults, func(t *testing.T) {
			c := newWeightsCluster(t)
			c.put(c.backendAddr("runner-a"), "/faults", faults)
			c.publishVersion("v1", 3)
			c.awaitPhase("v1", wire.VersionServing, "runner-b", "runner-c")
			c.awaitPhase("v1", wire.VersionFailed, "runner-a")
			c.put(c.backendAddr("runner-a"), "/faults", `{}`)
			c.awaitPhase("v1", wire.VersionServing, "runner-a")
			if copies := c.originCopies(); copies > 1.3 {
				t.Errorf("%.2f copies came from the origin", copies)
			}
		})
	}
}

// TestEngineRestartTakesTheEndpointOut restarts an engine that then loads another version. The endpoint stays out of
// service until the engine loads the right one.
func TestEngineRestartTakesTheEndpointOut(t *testing.T) {
	c := newWeightsCluster(t)
	c.applyConfiguration()
	c.put(c.backendAddr("runner-a"), "/faults", `{"load_other":true}`)
	c.restartEngine("runner-a")
	c.awaitPhase("v1", wire.VersionFailed, "runner-a")
	c.put(c.backendAddr("runner-a"), "/faults", `{}`)
	c.awaitPhase("v1", wire.VersionServing, "runner-a")
	if state := c.engineState("runner-a"); state.Version != c.manifestOf("v1") {
		t.Errorf("the engine holds %q", state.Version)
	}
}

// TestStaleFenceNumberChangesNothing sends an engine that runs a request an order with an old fence number, as an agent
// does that was suspended and has lost its lease. An engine that checks the number refuses the order. One that ignores
// it obeys, and the current agent orders the right version again.
func TestStaleFenceNumberChangesNothing(t *testing.T) {
	for _, ignoresFences := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores=%t", ignoresFences), func(t *testing.T) {
			c := newWeightsCluster(t)
			c.configuration.Rules[0].Replicas["a"] = 1
			c.applyConfiguration()
			options := load.Options{Entries: c.dataAddresses("entry-a"), Workspace: "space", ModelService: "models", Rate: 5, Duration: time.Second, Deadline: 5 * time.Second}
			c.await("the entry answers", func() bool {
				report := load.Run(context.Background(), options)
				return report.Sent > 0 && report.Completed == report.Sent
			})
			c.put(c.backendAddr("runner-a"), "/faults", fmt.Sprintf(`{"ignore_fences":%t}`, ignoresFences))
			report := c.runDuringLoad(options, func() {
				c.await("a request runs", func() bool { return c.engineState("runner-a").Running > 0 })
				status := c.sendUnexpectedLoad("runner-a", 0)
				if refused := status == http.StatusConflict; refused == ignoresFences {
					t.Errorf("the engine answered the stale order with status %d", status)
				}
			})
			if !ignoresFences && report.Completed != report.Sent {
				t.Errorf("a refused order cut answers: %+v", report)
			}
			c.await("the engine holds the published version", func() bool { return c.engineState("runner-a").Version == c.manifestOf("v1") })
			c.awaitPhase("v1", wire.VersionServing, "runner-a")
		})
	}
}

// TestSupersededAgentLoadsNothing takes over an engine by an order with a higher fence number. Its agent must not give
// it any further order.
func TestSupersededAgentLoadsNothing(t *testing.T) {
	c := newWeightsCluster(t)
	c.applyConfiguration()
	c.sendUnexpectedLoad("runner-a", 1000)
	c.awaitPhase("v1", wire.VersionFailed, "runner-a")
	c.publishVersion("v2", 3)
	c.awaitPhase("v2", wire.VersionServing, "runner-b", "runner-c")
	c.awaitPhase("v2", wire.VersionFailed, "runner-a")
	if state := c.engineState("runner-a"); state.Version != "stray" || state.Fence != 1000 {
		t.Errorf("the superseded agent changed what the engine holds: %+v", state)
	}
}

// TestVersionReplacedAndRolledBack replaces a version while it is being fetched, changes the version while the old one
// serves, rolls back without another download, and withdraws one replica.
func TestVersionReplacedAndRolledBack(t *testing.T) {
	c := newWeightsCluster(t)
	c.put(c.platformAddr, "/faults", slowOriginFaults)
	c.publishVersion("v1", 3)
	c.awaitPhase("v1", wire.VersionFetching, weightsRunners...)
	c.await("the origin has sent part of a copy", func() bool { return c.originCopies() > 0.2 })
	c.publishVersion("v2", 3)
	c.awaitPhase("v2", wire.VersionServing, weightsRunners...)
	for _, id := range weightsRunners {
		if c.phaseOf(id, "v1") != "" {
			t.Errorf("%s still reports the replaced version", id)
		}
	}
	c.publishVersion("v1", 3)
	c.awaitPhase("v1", wire.VersionFetching, weightsRunners...)
	for _, id := range weightsRunners {
		record, err := c.record(id)
		c.must(err)
		phases := make(map[core.VersionID]wire.VersionPhase)
		for _, status := range record.Versions {
			phases[status.Version] = status.Phase
		}
		if phases[c.manifestOf("v1")] == wire.VersionFetching && phases[c.manifestOf("v2")] != wire.VersionServing {
			t.Errorf("%s does not serve the old version while it fetches the new one", id)
		}
	}
	c.awaitPhase("v1", wire.VersionServing, weightsRunners...)
	copies := c.originCopies()
	if copies > 4 {
		t.Errorf("%.2f copies came from the origin for two versions", copies)
	}
	c.publishVersion("v2", 3)
	c.awaitPhase("v2", wire.VersionServing, weightsRunners...)
	if copiesAfterRollback := c.originCopies(); copiesAfterRollback > copies {
		t.Errorf("the rollback fetched %.2f copies from the origin", copiesAfterRollback-copies)
	}
	c.publishVersion("v1", 2)
	c.await("the engine of a withdrawn replica holds nothing", func() bool { return c.engineState("runner-c").Version == "" })
}

// TestCorruptOriginDataIsNeverServed makes the origin send corrupt chunks, then correct ones.
func TestCorruptOriginDataIsNeverServed(t *testing.T) {
	c := newWeightsCluster(t)
	c.put(c.platformAddr, "/faults", `{"corrupt":true}`)
	c.publishVersion("v1", 3)
	c.await("the origin has sent corrupt chunks", func() bool { return c.originCopies() > 0.05 })
	for _, id := range weightsRunners {
		if state := c.engineState(id); state.Version != "" {
			t.Errorf("the engine of %s was given version %q", id, state.Version)
		}
	}
	c.put(c.platformAddr, "/faults", `{}`)
	c.awaitPhase("v1", wire.VersionServing, weightsRunners...)
}

// TestHostsKilledWhileFetching kills one host early and one late during a download, and restarts the first. The origin
// must not send more than three copies.
func TestHostsKilledWhileFetching(t *testing.T) {
	c := newWeightsCluster(t)
	c.put(c.platformAddr, "/faults", slowOriginFaults)
	c.publishVersion("v1", 3)
	for _, kill := range []struct {
		share float64
		host  core.HostID
	}{{0.2, "runner-a"}, {0.7, "runner-b"}} {
		c.await("the origin has sent part of a copy", func() bool { return c.originCopies() > kill.share })
		c.kill(kill.host)
	}
	c.awaitPhase("v1", wire.VersionServing, "runner-c")
	c.restart("runner-a")
	c.awaitPhase("v1", wire.VersionServing, "runner-a")
	if copies := c.originCopies(); copies > 3 {
		t.Errorf("%.2f copies came from the origin", copies)
	}
}

// TestVersionWaitShowsProgress follows the distribution of a version with the operator commands.
func TestVersionWaitShowsProgress(t *testing.T) {
	c := newWeightsCluster(t)
	c.put(c.platformAddr, "/faults", slowOriginFaults)
	c.publishVersion("v1", 3)
	var out bytes.Buffer
	operator := *c.operator
	operator.Out = &out
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	c.must(operator.WaitVersion(ctx, "v1"))
	if lines := strings.Count(out.String(), "\n"); lines < 2 || !strings.Contains(out.String(), "3 of 3 serving, 100% fetched") {
		t.Errorf("the progress was:\n%s", out.String())
	}
	replicas, err := operator.Replicas(ctx, "")
	c.must(err)
	if len(replicas) != 1 || replicas[0].Serving != 3 || replicas[0].Wanted != 3 {
		t.Errorf("%+v", replicas)
	}
	expired, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	c.publishVersion("v2", 3)
	if err := operator.WaitVersion(expired, "v2"); err == nil {
		t.Error("WaitVersion returned no error before the version was serving")
	}
}
