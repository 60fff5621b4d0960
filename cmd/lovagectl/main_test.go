package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/standin"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const manifest = "0a0b0c0d0a0b0c0d0a0b0c0d0a0b0c0d0a0b0c0d0a0b0c0d0a0b0c0d0a0b0c0d"

const validConfig = `{
  "failure_domains": [{"name": "a", "region": "east"}, {"name": "b", "region": "west"}],
  "workspaces": [{"name": "space"}],
  "models": [{"name": "brief"}],
  "versions": [{"name": "v1", "model": "brief", "manifest": "` + manifest + `"}],
  "services": [
    {"name": "chat", "kind": "model", "model": "brief", "endpoints": [{"host": "r1", "failure_domain": "a"}],
     "limits": {"cold": 2, "max": 8, "queue": 4}, "objectives": {"availability": 0.99}},
    {"name": "bookings", "kind": "plain", "endpoints": [{"host": "p1", "failure_domain": "b"}],
     "limits": {"cold": 2, "max": 8, "queue": 4}, "objectives": {}}],
  "rules": [{"name": "chat", "service": "chat", "version": "v1", "replicas": {"a": 1}}]
}`

// fixture runs a platform stand-in and hosts with the methods of the test, and holds the folders that commands refer to.
type fixture struct {
	t        *testing.T
	folder   string
	platform string // address of the platform stand-in
	hosts    []core.Host
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Setenv("USER", "dan")
	f := &fixture{t: t, folder: t.TempDir()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	f.platform = listener.Addr().String()
	app := standin.NewPlatform(0).App()
	go func() { _ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(100 * time.Millisecond) })
	f.writeJSON("platform.json", settings.Platform{TablesAddress: f.platform, ObjectsAddress: f.platform, HostsAddress: f.platform, OriginAddress: f.platform})
	f.write("valid", validConfig)
	f.write("changed", strings.Replace(validConfig, `"max": 8`, `"max": 16`, 1))
	f.write("invalid", strings.Replace(strings.Replace(validConfig, `"cold": 2`, `"cold": 0`, 1), `"v1", "replicas"`, `"v2", "replicas"`, 1))
	f.write("unknown-field", `{"services": [{"nam": "x"}]}`)
	return f
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// write creates a folder with one configuration file.
func (f *fixture) write(name, text string) {
	f.t.Helper()
	f.must(os.MkdirAll(filepath.Join(f.folder, name), 0o700))
	f.must(os.WriteFile(filepath.Join(f.folder, name, "all.json"), []byte(text), 0o600))
}

func (f *fixture) writeJSON(name string, value any) {
	f.t.Helper()
	raw, err := json.Marshal(value)
	f.must(err)
	f.must(os.WriteFile(filepath.Join(f.folder, name), raw, 0o600))
}

func (f *fixture) put(path string, value any) {
	f.t.Helper()
	raw, err := json.Marshal(value)
	f.must(err)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+path, bytes.NewReader(raw))
	f.must(err)
	response, err := http.DefaultClient.Do(request)
	f.must(err)
	_ = response.Body.Close()
}

// addHost adds a host to the platform's host list. It serves the methods, or refuses connections if they are nil.
func (f *fixture) addHost(id core.HostID, role core.Role, domain core.FailureDomain, methods map[string]rpc.Method) {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	host := core.Host{ID: id, Role: role, FailureDomain: domain, Region: "east", ControlAddress: listener.Addr().String(), State: core.HostLive}
	if methods == nil {
		_ = listener.Close()
	} else {
		server := rpc.Serve(listener, methods)
		f.t.Cleanup(server.Close)
	}
	f.hosts = append(f.hosts, host)
	f.put("/hosts", f.hosts)
}

func statusMethod(record wire.Record) map[string]rpc.Method {
	return map[string]rpc.Method{wire.MethodStatus: rpc.Handle(func(context.Context, struct{}) (wire.Record, error) { return record, nil })}
}

var (
	volatileText = regexp.MustCompile(`[0-9a-f]{64}|\b[0-9a-f]{24}\b|\b[0-9a-f]{12}\b|\d{4}-\d\d-\d\dT[\d:]+Z|after \d+\.\d\d s`)
	spaceRuns    = regexp.MustCompile(` +`)
)

// run executes a command, with ./ standing for the fixture's folder. In the output, text that varies between runs is
// replaced by "#".
func (f *fixture) run(command string) (code int, out, errOut string) {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	args := []string{"--platform", filepath.Join(f.folder, "platform.json")}
	for _, arg := range strings.Fields(command) {
		args = append(args, strings.Replace(arg, "./", f.folder+"/", 1))
	}
	code = run(f.t.Context(), args, &stdout, &stderr, func(int) {})
	return code, f.normalize(stdout.String()), f.normalize(stderr.String())
}

func (f *fixture) normalize(text string) string {
	text = strings.ReplaceAll(text, f.folder, ".")
	text = strings.ReplaceAll(text, f.platform, "PLATFORM")
	return spaceRuns.ReplaceAllString(volatileText.ReplaceAllString(text, "#"), " ")
}

// step is a command with its expected exit code and output. Standard output must equal out, or start with it if out ends
// in "...". Standard error must contain errOut.
type step struct {
	command string
	code    int
	out     string
	errOut  string
}

func (f *fixture) runSteps(steps []step) {
	f.t.Helper()
	for _, step := range steps {
		code, out, errOut := f.run(step.command)
		prefix, partial := strings.CutSuffix(step.out, "...")
		if code != step.code || !strings.HasPrefix(out, prefix) || (!partial && out != step.out) || !strings.Contains(errOut, step.errOut) {
			f.t.Errorf("%s: code %d\n%s\n%s\nwant code %d\n%s\n%s", step.command, code, out, errOut, step.code, step.out, step.errOut)
		}
	}
}

func TestConfigCommands(t *testing.T) {
	f := newFixture(t)
	warning := `warning: all.json: service "bookings": calls: no call is named, so that all are taken as not idempotent; name the calls that may be repeated` + "\n"
	f.runSteps([]step{
		{command: "config check ./valid", out: warning + "the configuration is sound: 2 failure domains, 1 workspaces, 1 models, 1 versions, 2 services, 1 rules\n"},
		{command: "config check ./unknown-field", code: 3, errOut: "all.json: line 1: nam: there is no such field; correct the file"},
		{command: "config check ./none", code: 3, errOut: "there are no .json files in ./none; name the folder"},
		{
			command: "config check ./invalid", code: 3, out: warning,
			errOut: `the configuration has 2 problems; correct these
all.json: service "chat": limits.cold: 0 is not from 1 to 100000; state the requests that a cold endpoint bears at once
all.json: rule "chat": version: version "v2" does not exist; add the version or correct its name`,
		},
		{command: "config check ./invalid --json", code: 3, out: "{\n \"problems\": [\n {\n \"file\": \"all.json\",\n \"kind\": \"service\",..."},
		{command: "config show", code: 8, errOut: "no configuration was published yet; publish one with lovagectl config apply"},
		{command: "config history", out: "GENERATION ACCEPTED BY DIGEST NOTE\n"},
		{command: "config apply ./invalid", code: 3, out: warning, errOut: "2 problems"},
		{command: "config apply ./valid --by ana --note first", out: warning + "generation 1 is accepted (#)\n"},
		{command: "config apply ./valid --by ana", out: warning + "generation 1 holds this configuration already; nothing was published\n"},
		{command: "config diff ./valid", out: "from generation 1:\nno difference\n"},
		{command: "config diff ./changed", out: "from generation 1:\n~ service \"chat\"\n limits.max: 8 -> 16\n"},
		{command: "config diff ./changed --json", out: "{\n \"generation\": 1,\n \"changes\": [..."},
		{command: "domain out b", out: "generation 2 is accepted (#)\n"},
		{
			command: "config apply ./changed --base 1 --by ion", code: 4,
			out:    warning + "generation 2 changed, from generation 1:\n~ failure domain \"b\"\n out: (none) -> true\n",
			errOut: "generation 2 was accepted from dan (publication #) meanwhile, nothing of yours was published; see what differs with lovagectl config diff, then apply again",
		},
		{
			command: "config apply ./changed --base 2 --by ion",
			out:     warning + "failure domain b stays out; bring it back with lovagectl domain in b\ngeneration 3 is accepted (#)\n",
		},
		{command: "config show --head", out: "{\n \"generation\": 3,\n \"digest\": \"#\",\n \"publish_id\": \"#\",\n \"by\": \"ion\",\n \"at_unix_s\": ..."},
		{command: "config show 1", out: "{\n \"failure_domains\": [\n {\n \"name\": \"a\",\n \"region\": \"east\"\n },..."},
		{command: "config show 9", code: 8, errOut: "generation 9 was never accepted; the one in force is 3; name one that lovagectl config history lists"},
		{command: "config rollback 3", code: 8, errOut: "there is no older generation 3; the one in force is 3"},
		{
			command: "config rollback 1 --by ana --note slow",
			out:     "failure domain b stays out; bring it back with lovagectl domain in b\n~ service \"chat\"\n limits.max: 16 -> 8\ngeneration 4 is accepted (#)\n",
		},
		{
			command: "config history --limit 3",
			out:     "GENERATION ACCEPTED BY DIGEST NOTE\n4 # ana # rollback to 1 slow\n3 # ion # -\n2 # dan # -\n",
		},
		{command: "config apply ./changed --publish-id mine --by ana", out: warning + "failure domain b stays out; bring it back with lovagectl domain in b\ngeneration 5 is accepted (#)\n"},
		{command: "domain in b", out: "generation 6 is accepted (#)\n"},
		{command: "config apply ./changed --publish-id mine", out: warning + "failure domain b stays out; bring it back with lovagectl domain in b\ngeneration 5 is accepted (#)\n"},
		{command: "config history --limit 1", out: "GENERATION ACCEPTED BY DIGEST NOTE\n6 # dan # -\n"},
		{command: "config apply", code: 80, errOut: "lovagectl --help lists the commands"},
	})
}

func TestShownConfigurationCanBeApplied(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{{command: "config apply ./valid", out: "warning..."}})
	var shown bytes.Buffer
	if code := run(t.Context(), []string{"--platform", filepath.Join(f.folder, "platform.json"), "config", "show"}, &shown, io.Discard, func(int) {}); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	f.write("shown", shown.String())
	f.runSteps([]step{{command: "config diff ./shown", out: "from generation 1:\nno difference\n"}})
}

func TestRepeatedApplyPublishesOnce(t *testing.T) {
	f := newFixture(t)
	f.put("/faults", standin.PlatformFaults{Down: true})
	f.runSteps([]step{{command: "config show", code: 7, errOut: "status 503; try again"}})
	f.put("/faults", standin.PlatformFaults{LoseAnswers: true})
	f.runSteps([]step{{command: "config apply ./valid --publish-id mine", out: "warning...", errOut: ""}})
	f.put("/faults", standin.PlatformFaults{Down: true})
	f.runSteps([]step{{command: "config apply ./valid --publish-id mine", code: 7, out: "warning...", errOut: "status 503; try again"}})
	f.put("/faults", standin.PlatformFaults{})
	f.runSteps([]step{
		{command: "config apply ./valid --publish-id mine", out: "warning..."},
		{command: "config apply ./valid --publish-id mine", out: "warning..."},
		{command: "config history", out: "GENERATION ACCEPTED BY DIGEST NOTE\n1 # ..."},
	})
}

func TestWaitAndStatusNameMissingHosts(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{
		{command: "config apply ./valid --by ana", out: "warning..."},
		{command: "config apply ./changed --by ana", out: "warning..."},
	})
	serving := []wire.VersionStatus{{Version: manifest, Phase: wire.VersionServing, Have: 3, Total: 3}}
	entry := statusMethod(wire.Record{Phase: wire.PhaseReady, Generation: 2})
	var routable atomic.Pointer[wire.Routable]
	routable.Store(&wire.Routable{})
	entry[wire.MethodRoutable] = rpc.Handle(func(context.Context, struct{}) (wire.Routable, error) { return *routable.Load(), nil })
	f.addHost("e1", core.RoleEntry, "a", entry)
	f.addHost("r1", core.RoleAgent, "a", statusMethod(wire.Record{Phase: wire.PhaseReady, Generation: 2, Versions: serving}))
	f.runSteps([]step{{command: "config wait", out: "generation 2 is confirmed by all 2 hosts #\n"}})
	f.runSteps([]step{{command: "wait --timeout 1s", code: 5, errOut: "not yet in force at e1; "}})
	routable.Store(&wire.Routable{Hosts: []core.HostID{"r1"}})
	f.runSteps([]step{{command: "wait", out: "in force and serving everywhere #\n"}})
	f.addHost("p1", core.RoleAgent, "b", statusMethod(wire.Record{Phase: wire.PhaseReady, Generation: 1}))
	f.addHost("p2", core.RoleAgent, "b", nil)
	f.runSteps([]step{
		{
			command: "config wait --timeout 2s", code: 5,
			errOut: "generation 2 is confirmed by 2 of 4 hosts, not by: p1 in b holds generation 1, p2 in b gave no answer; read these hosts' logs",
		},
		{command: "config wait 1 --timeout 2s --json", code: 5, out: "{\n \"generation\": 1,\n \"confirmed\": [\n \"e1\",\n \"p1\",\n \"r1\"\n ],\n \"missing\": [\n {\n \"host\": \"p2\",\n \"failure_domain\": \"b\",\n \"reason\": \"gave no answer\"..."},
		{command: "wait --timeout 2s", code: 5, errOut: "not yet in force at p1, p2; read these hosts' logs"},
		{
			command: "status",
			out: "HOST ROLE FAILURE DOMAIN PHASE GENERATION VERSION\ne1 entry a ready 2 \np1 agent b ready 1 \np2 agent b no answer 0 \n" +
				"r1 agent a ready 2 # serving 3/3\ngeneration 2 is in force at 2 of 4 hosts; 1 gave no answer\n",
		},
		{command: "status --json", out: "{\n \"generation\": 2,\n \"hosts\": [\n {\n \"host\": \"e1\",..."},
	})
}

func TestApplyAndRollbackWait(t *testing.T) {
	f := newFixture(t)
	f.addHost("e1", core.RoleEntry, "a", statusMethod(wire.Record{Phase: wire.PhaseReady, Generation: 2}))
	f.runSteps([]step{
		{command: "config apply ./valid --wait", out: "warning..."},
		{command: "config apply ./changed --wait", out: "warning..."},
		{command: "config rollback --wait --timeout 1s", code: 5, out: "~ service...", errOut: "generation 3 is confirmed by 0 of 1 hosts, not by: e1 in a holds generation 2"},
		{command: "config apply ./valid --wait --timeout 1s", code: 5, out: "warning...", errOut: "generation 3 is confirmed by 0 of 1 hosts"},
	})
}

func TestPlatformFileIsRequired(t *testing.T) {
	var errOut bytes.Buffer
	t.Setenv("LOVAGE_PLATFORM", "")
	code := run(t.Context(), []string{"status"}, io.Discard, &errOut, func(int) {})
	if code != 3 || !strings.Contains(errOut.String(), "name their JSON file with --platform or in LOVAGE_PLATFORM") {
		t.Fatalf("code %d: %s", code, &errOut)
	}
}

// burnMethods returns the control methods of an entry that recorded the requests, each with its first token after 1 s.
func burnMethods(requests, bad int) map[string]rpc.Method {
	recorder := burn.NewRecorder()
	for i := range requests {
		recorder.Record(time.Hour, burn.Key{Service: "chat", Workspace: "space"}, burn.Observation{Bad: i < bad, FirstToken: time.Second})
	}
	return map[string]rpc.Method{burn.MethodWindows: rpc.Handle(func(_ context.Context, request burn.WindowsRequest) (burn.PackedResponse, error) {
		return recorder.Windows(time.Hour, request, nil).Pack()
	})}
}

func TestBurnReport(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{{command: "config apply ./valid", out: "warning..."}})
	f.addHost("e0", core.RoleEntry, "a", nil)
	f.runSteps([]step{{command: "burn", code: 1, out: "SERVICE...", errOut: "no entry answered; check the network"}})
	f.addHost("e1", core.RoleEntry, "a", burnMethods(900, 1))
	f.addHost("e2", core.RoleEntry, "a", burnMethods(100, 4))
	f.addHost("e3", core.RoleEntry, "b", nil)
	table := `SERVICE WORKSPACE OBJECTIVE TARGET 10m 1h 6h 24h BUDGET LEFT
chat * availability 99% 0.50 0.50 0.50 0.50 50.0%
chat space availability 99% 0.50 0.50 0.50 0.50 50.0%
no entry has run longer than 1h0m0s: that is all that 6h, 24h hold
failure domain a was reached in part: no answer from [e0]
failure domain b was not reached: none of its 1 entries answered; its requests are missing above
`
	f.runSteps([]step{
		{command: "burn", out: table},
		{command: "burn --threshold 0.6", out: table},
		{command: "burn --threshold 0.4", code: 6, out: table, errOut: "above the burn rate 0.4: chat / * availability at 0.50, chat / space availability at 0.50; look at"},
		{command: "burn --json --svg ./plot.svg", out: "{\n \"generation\": 1,\n \"windows\": [\n \"10m\",..."},
		{command: "burn --windows 1m", code: 3, errOut: "the window 1m0s is not kept; name windows from 5m to 24h with --windows"},
	})
	plot, err := os.ReadFile(filepath.Join(f.folder, "plot.svg"))
	if err != nil || !bytes.Contains(plot, []byte("chat / space: availability, 99%")) {
		t.Fatalf("plot %s, %v", plot, err)
	}
}

func TestStatusAndBurnWithoutPlatform(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{{command: "config apply ./valid", out: "warning..."}})
	set, err := config.ReadFolder(filepath.Join(f.folder, "valid"))
	f.must(err)
	raw, digest, err := config.Encode(set)
	f.must(err)
	for i, generation := range []core.Generation{1, 4} { // the second entry has a newer generation than the first
		methods := burnMethods(100, 1)
		methods[wire.MethodSnapshot] = rpc.Handle(func(context.Context, struct{}) (wire.Snapshot, error) {
			return wire.Snapshot{Generation: generation, Digest: digest, Raw: raw}, nil
		})
		methods[wire.MethodStatus] = rpc.Handle(func(context.Context, struct{}) (wire.Record, error) {
			return wire.Record{Host: f.hosts[i], Phase: wire.PhaseReady, Generation: generation}, nil
		})
		f.addHost(core.HostID(fmt.Sprint("e", i)), core.RoleEntry, "a", methods)
	}
	f.put("/faults", standin.PlatformFaults{Down: true})
	hosts := " --hosts " + f.hosts[0].ControlAddress + "," + f.hosts[1].ControlAddress
	const platformAway = "the platform is away: only the hosts named by --hosts are asked\n"
	f.runSteps([]step{
		{command: "status", code: 7, errOut: "status 503"},
		{command: "status --hosts 127.0.0.1:1", code: 7, errOut: "status 503"},
		{command: "status" + hosts, out: platformAway + "HOST ROLE FAILURE DOMAIN PHASE GENERATION VERSION\ne0 entry a ready 1 \ne1 entry a ready 4 \ngeneration 4 is in force at 1 of 2 hosts; 0 gave no answer\n"},
		{command: "burn --windows 1h" + hosts, out: platformAway + "SERVICE WORKSPACE OBJECTIVE TARGET 1h BUDGET LEFT\nchat * availability 99% 1.00 0.0%\n..."},
		{command: "config apply ./valid" + hosts, code: 7, out: "warning...", errOut: "status 503"},
	})
}
