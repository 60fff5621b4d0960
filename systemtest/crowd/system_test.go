// Package crowd sends a gateway and a sidecar, as separate processes on loopback, what clients send that do not behave: many
// connections, heads and bodies that are large, odd or never end, and answers that are not read. A process has to live, to stay
// within its memory and its descriptors, and to answer an ordinary request afterwards.
package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
	"github.com/lovageglade/lovageglade/systemtest/programs"
)

// What each process may use of its machine. The machines of the platform have 152 MB and more, and 2,048 descriptors and more.
const (
	memoryMB       = 128
	bytesPerMB     = 1_000_000
	maxDescriptors = 400
)

// The limits of the platform's configuration.
var limits = platformtest.Limits{HeaderBytes: 16_384, BodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}

const (
	frontPort, readyPort, controlPort = 7100, 7101, 7102
	firstPort, lastPort               = 7201, 7209 // sidecars take requests at the first
	routeTimeoutMs                    = 6000
	gracePeriod                       = 8 * time.Second
	answerTimeout                     = 30 * time.Second // for an ordinary request, with its repeats
	longAnswerBytes                   = 250_000
	events                            = 3 // of a stream
	shownLogBytes                     = 2000
	key                               = "key-1"
)

var (
	binaryFolder  string
	networkNumber = os.Getpid() * 8
	weights       = platformtest.Weights{Model: "m", Chunks: 6, ChunkBytes: 8 << 10}
)

func TestMain(m *testing.M) {
	programs.RunTests(m, func(folder string) { binaryFolder = folder }, "lovage-gateway", "lovage-sidecar")
}

// system is one gateway, one sidecar with its engine, and one plain back end.
type system struct {
	t             *testing.T
	folder        string
	networkPrefix string
	store         *platformtest.Store
	gateway       *process
	sidecar       *process
	front, relay  string // addresses for callers, and for gateways at the sidecar
	resources     settings.Resources
}

type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{} // closed when it has ended
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return newSystemWith(t, settings.Resources{MemoryMB: memoryMB, MaxDescriptors: maxDescriptors})
}

func newSystemWith(t *testing.T, resources settings.Resources) *system {
	t.Helper()
	networkNumber++
	s := &system{
		resources:     resources,
		t:             t,
		folder:        t.TempDir(),
		networkPrefix: fmt.Sprintf("127.%d.%d", 20+networkNumber%200, networkNumber/200%250),
		store:         platformtest.NewStore(),
	}
	t.Cleanup(s.store.Close)
	origin := platformtest.NewOrigin(weights)
	t.Cleanup(origin.Close)
	engine, plain := platformtest.NewEngine("engine-0", weights, 1), platformtest.NewRunner("plain-0")
	t.Cleanup(engine.Close)
	t.Cleanup(plain.Close)
	engineProxy := s.forward("50", engine.Address())
	engine.RegisteredAddress = engineProxy
	engine.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { engine.SendEvents(w, run, events) })
	plain.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		body := "ok"
		if strings.HasSuffix(run.Target, "/long") {
			body = strings.Repeat("a", longAnswerBytes)
		}
		plain.Reply(w, run, http.StatusOK, body)
	})
	route := func(name, kind, service string) platformtest.Route {
		return platformtest.Route{Name: name, Kind: kind, Service: service, TimeoutMs: routeTimeoutMs, MaxAttempts: 2}
	}
	model := route("model", "stream", "models")
	model.Resumable, model.Generates = true, true
	s.store.Configure(platformtest.Configuration{
		Version: 1, Routes: []platformtest.Route{route("safe", "safe", "plain"), route("once", "unsafe", "plain"), model},
		Services: []string{"plain"}, EngineService: "models", Slots: 16, Weights: weights, Origin: origin.Address(),
		Keys: []string{key}, Limits: limits,
	})
	s.store.Register(plain, "plain", "east-a", "ready", "", 0)
	s.store.Register(engine.Runner, "models", "east-a", "ready", weights.Model, 1)
	s.startProcesses(engineProxy)
	s.requireAnswers()
	return s
}

func (s *system) startProcesses(engineAddress string) {
	place := func(ip, name string) settings.Place {
		return settings.Place{
			Resources: s.resources,
			Host:      core.HostID(name), FailureDomain: "east-a", Region: "east", Regions: map[core.FailureDomain]core.Region{"east-a": "east"}, Address: ip,
			StoreAddress: s.store.Address(), GCPercent: 40, Ports: []int{firstPort, lastPort},
		}
	}
	address := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	ip := s.networkPrefix + ".10"
	s.front = address(ip, frontPort)
	s.gateway = s.start("lovage-gateway", settings.Gateway{
		Place: place(ip, "gateway"), FrontAddress: s.front, ReadyAddress: address(ip, readyPort), ControlAddress: address(ip, controlPort),
		GraceMs: settings.Millis(gracePeriod.Milliseconds()), RevocationMs: 5000, VersionRolloutMs: 8000, RetryRatio: 0.2,
	})
	ip = s.networkPrefix + ".50"
	s.relay = address(ip, firstPort)
	s.sidecar = s.start("lovage-sidecar", settings.Sidecar{
		Place: place(ip, "sidecar"), EngineAddress: engineAddress, Service: "models",
		GraceMs: settings.Millis(gracePeriod.Milliseconds()), VersionRolloutMs: 8000, LinkMbps: 100,
	})
}

// start starts a program. It ends with the test.
func (s *system) start(binary string, config any) *process {
	s.t.Helper()
	raw, err := json.Marshal(config)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.folder, binary+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	output, err := os.Create(filepath.Join(s.folder, binary+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{name: binary, command: exec.Command(filepath.Join(binaryFolder, binary), "--settings", file), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // an early end is noticed by done
		close(p.done)
	}()
	s.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-p.done
		_ = output.Close()
		if s.t.Failed() {
			log := s.log(p)
			s.t.Logf("the end of the log of %s:\n%s", binary, log[max(0, len(log)-shownLogBytes):])
		}
	})
	return p
}

// log returns the log of the process.
func (s *system) log(p *process) string {
	raw, err := os.ReadFile(filepath.Join(s.folder, p.name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	return string(raw)
}

func (p *process) pid() int { return p.command.Process.Pid }

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// requireAnswers fails the test unless an ordinary request on each route is answered.
func (s *system) requireAnswers() {
	s.t.Helper()
	for _, route := range []string{"safe", "once", "model"} {
		for deadline := time.Now().Add(answerTimeout); ; time.Sleep(50 * time.Millisecond) {
			status, err := s.ordinaryRequest(route)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				s.t.Errorf("an ordinary request on %s gets status %d, error %v", route, status, err)
				break
			}
		}
	}
}

func (s *system) ordinaryRequest(route string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.front+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	request.Host = platformtest.Host
	for _, line := range strings.Split(strings.TrimSuffix(headLines(route, "ordinary"), "\r\n"), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTimeout}
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// headLines returns the header lines that a request on the route needs, but for its host and the length of its body.
func headLines(route, id string) string {
	lines := []string{
		platformtest.HeaderAttempt + ": " + id,
		platformtest.HeaderDeadline + ": 5000",
		platformtest.HeaderKey + ": " + platformtest.KeyScheme + key,
	}
	if route == "model" {
		lines = append(lines, platformtest.HeaderModel+": "+weights.Model, platformtest.HeaderTokens+": 500,40", platformtest.HeaderPrompt+": a1:400,"+id+":100")
	}
	return strings.Join(lines, "\r\n") + "\r\n"
}

// requireWithinBounds runs the crowd and fails the test unless all processes live, within their memory and descriptors, and answer
// ordinary requests afterwards.
func (s *system) requireWithinBounds(crowd func()) {
	s.t.Helper()
	all := []*process{s.gateway, s.sidecar}
	endWatch := programs.Watch(s.gateway.pid(), s.sidecar.pid())
	crowd()
	most := endWatch()
	for i, p := range all {
		if p.hasEnded() {
			s.t.Fatalf("%s has ended", p.name)
		}
		if peak := programs.PeakMemory(s.t, p.pid()); peak > int64(s.resources.MemoryMB)*bytesPerMB {
			s.t.Errorf("%s held %d MB at its peak, want at most %d", p.name, peak/bytesPerMB, s.resources.MemoryMB)
		}
		if most[i] > s.resources.MaxDescriptors {
			s.t.Errorf("%s had %d descriptors open, want at most %d", p.name, most[i], s.resources.MaxDescriptors)
		}
	}
	s.requireAnswers()
}

// forward listens on the engine port of the network's host and passes connections on to the address.
func (s *system) forward(host, to string) (address string) {
	s.t.Helper()
	address = fmt.Sprintf("%s.%s:%d", s.networkPrefix, host, enginePort)
	forwardTo(s.t, address, to)
	return address
}
