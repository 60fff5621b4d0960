//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// Ports of a machine; each machine has a loopback address of its own.
const (
	frontPort   = 8005
	readyPort   = 8002
	controlPort = 8000
	firstPort   = 7700
	lastPort    = 7715
	runnerPort  = 8001
)

const (
	heartbeat = 1200 * time.Millisecond
	// entryLapses is how long after its runner has ended an entry is removed: three heartbeats.
	entryLapses = 3 * heartbeat
)

var zones = []string{"cn-a", "wl-a", "ie-a"}

var regions = map[string]string{"cn-a": "cascadia-north", "wl-a": "willamette", "ie-a": "inland-empire"}

// system is a small deployment: processes of the project, and stand-ins of the platform.
type system struct {
	trouble bool // play the disruption
	folder  string
	prefix  string // of the machines' addresses
	started time.Time

	recordMu sync.Mutex
	record   *os.File

	store     *platformtest.Store
	gateways  []*process
	sidecars  []*process
	processes []*process
	stop      chan struct{}
	onClose   []func()
	closing   sync.Once
}

func newSystem(record *os.File, trouble bool) *system {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	s := &system{trouble: trouble, folder: folder, record: record, started: time.Now(), store: platformtest.NewStore(), stop: make(chan struct{})}
	s.prefix = freePrefix()
	s.logf("disruption: %v", trouble)
	return s
}

// freePrefix returns the first three numbers of loopback addresses whose ports are free.
func freePrefix() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", prefix, controlPort))
		if err == nil {
			listener.Close()
			return prefix
		}
	}
	panic("no free loopback addresses")
}

// close ends all processes that the case has started. Later calls do nothing.
func (s *system) close() { s.closing.Do(s.end) }

func (s *system) end() {
	close(s.stop)
	for _, p := range s.processes {
		p.kill()
	}
	for _, f := range s.onClose {
		f()
	}
	s.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// logf writes a line with the time since the start to record.txt.
func (s *system) logf(format string, arguments ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%9.4f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (s *system) gatewayIP(i int) string { return fmt.Sprintf("%s.%d", s.prefix, 10+i) }
func (s *system) sideIP(i int) string    { return fmt.Sprintf("%s.%d", s.prefix, 50+i) }

// hiddenIP returns the address at which a runner listens whose registered address is a proxy.
func (s *system) hiddenIP(i int) string { return fmt.Sprintf("%s.%d", s.prefix, 150+i) }

// place returns the settings that gateways and sidecars share, as the templates of the deploy file have them.
func (s *system) place(name, ip, zone string) map[string]any {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.gatewayIP(i), controlPort))
	}
	return map[string]any{
		"host": name, "failure_domain": zone, "region": regions[zone], "regions": regions, "address": ip,
		"store_address": s.store.Address(), "delegates": seeds, "collector_percent": 40, "metrics_port": lastPort, "ports": []int{firstPort, lastPort},
		"grace_ms": 8e3, "version_ms": 8000,
	}
}

// startGateways starts the gateways, the first three of which are the seeds.
func (s *system) startGateways(count int) {
	for i := range count {
		ip, zone := s.gatewayIP(i), zones[i%len(zones)]
		settings := s.place(fmt.Sprintf("edge-%s-%d", zone, i), ip, zone)
		settings["front_address"] = fmt.Sprintf("%s:%d", ip, frontPort)
		settings["ready_address"] = fmt.Sprintf("%s:%d", ip, readyPort)
		settings["control_address"] = fmt.Sprintf("%s:%d", ip, controlPort)
		settings["revocation_ms"], settings["configuration_ms"], settings["departure_ms"], settings["retry_share"] = 5000, 2000, 2000, 0.2
		s.gateways = append(s.gateways, s.newProcess(fmt.Sprintf("edge-%d", i), "lovage-gateway", settings))
	}
}

// startSidecars starts a sidecar beside each of the runners.
func (s *system) startSidecars(count int, engineAddress func(i int) string) {
	for i := range count {
		ip, zone := s.sideIP(i), zones[i%len(zones)]
		settings := s.place(fmt.Sprintf("side-%s-%d", zone, i), ip, zone)
		settings["engine_address"], settings["service"], settings["link_mbps"] = engineAddress(i), "models", 9.4
		s.sidecars = append(s.sidecars, s.newProcess(fmt.Sprintf("side-%d", i), "lovage-sidecar", settings))
	}
}

// awaitReady waits until all gateways answer that they are ready.
func (s *system) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for i := range s.gateways {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", s.gatewayIP(i), readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(fmt.Sprintf("gateway %d is not ready", i))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// process is a process of the project. It is started again after a kill, as the platform does.
type process struct {
	s            *system
	name, binary string
	settingsFile string
	mu           sync.Mutex
	command      *exec.Cmd
	log          *os.File
}

func (s *system) newProcess(name, program string, settings map[string]any) *process {
	raw, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	p := &process{s: s, name: name, binary: filepath.Join("target", program), settingsFile: filepath.Join(s.folder, name+".json")}
	if err := os.WriteFile(p.settingsFile, raw, 0o600); err != nil {
		panic(err)
	}
	if p.log, err = os.Create(filepath.Join(s.folder, name+".log")); err != nil {
		panic(err)
	}
	p.start()
	s.processes = append(s.processes, p)
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.binary)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEGLADE_NODE_FILE=" + p.settingsFile}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		panic(err)
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Wait()
}

// configuration returns the operators' configuration with the routes.
func configuration(version int, weights platformtest.Weights, origin string, routes []map[string]any) string {
	services := []map[string]any{
		{"name": "models", "health-path": "/healthz", "max-conns": 344, "cold-start-s": 3.0, "cold-per-s": 36.0, "engine": map[string]any{
			"slots": slots, "kv-capacity": 1180000, "kv-bytes": 163840, "stride": 5, "models": []map[string]any{{"name": weights.Model, "pace": 1.0, "load-s": 4.0, "warm-s": 0.3}},
			"size-mb": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": 977, "answer": 94}, "layers": 16, "layer_mb": 4540.0, "chunks": weights.Chunks, "chunk-bytes": weights.ChunkBytes,
		}},
	}
	if origin != "" {
		services = append(services, map[string]any{"name": "weights", "origin": origin, "zone": "ie-a", "link-mbps": 15.0, "max-conns": 48})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "api-keys": []string{apiKey}, "priority": 1, "allowed-regions": []string{}}},
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}

const (
	apiKey = "jnbanfqasnmgkcuyj8pj"
	host   = "jepu9.example"
	slots  = 16
)

// streamRoute is a route to the model runners whose streams may be resumed.
func streamRoute() map[string]any {
	return map[string]any{"name": "r-stream", "host": host, "prefix": "/stream/", "route-kind": "stream", "timeout-ms": 6000, "target-latency-ms": 500, "target-gap-ms": 400, "priority": 1, "service": "models", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "allowed-regions": []string{}}
}
