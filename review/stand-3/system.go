//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// Addresses of a deployment on loopback. Each machine has an address of its own and the same ports, as on the platform.
const (
	frontPort   = 8005
	readyPort   = 8002
	controlPort = 8000
	enginePort  = 8100
	firstPort   = 7700
	lastPort    = 7715

	zone      = "cn-a"
	region    = "cascadia-north"
	clientKey = "jnbanfqasnmgkcuyj8pj"

	gracePeriod  = 8 * time.Second
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// system is a small deployment: the store, and the processes of the system.
type system struct {
	record    *record
	folder    string
	network   string
	store     *platformtest.Store
	config    platformtest.Configuration
	delegates []string
	processes []*process
}

func newSystem(r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "stand-3")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &system{record: r, folder: folder, network: fmt.Sprintf("127.%d.%d", 100+pid%100, pid/100%250), store: platformtest.NewStore()}, nil
}

func (s *system) ip(machine int) string { return fmt.Sprintf("%s.%d", s.network, machine) }

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// close ends all processes that the play has started.
func (s *system) close() {
	for _, p := range s.processes {
		p.kill()
	}
	s.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	s.record.printf("logs in %s", s.folder)
}

// place returns the settings that gateways and sidecars share, as the templates of the deploy file render them.
func (s *system) place(name, ip string, memoryMB, descriptors int) map[string]any {
	return map[string]any{
		"host": name, "failure_domain": zone, "region": region, "regions": map[string]string{zone: region}, "address": ip,
		"store_address": s.store.Address(), "delegates": s.delegates, "collector_percent": 40, "memory_mb": memoryMB, "max_descriptors": descriptors,
		"metrics_port": lastPort, "ports": []int{firstPort, lastPort}, "grace_ms": 8e3, "version_ms": 8000,
	}
}

// gateway is a gateway process and its addresses.
type gateway struct {
	*process
	name  string
	front string
	ready string
}

// startGateways starts the gateways. The first two are the delegates of all processes.
func (s *system) startGateways(count int) ([]*gateway, error) {
	const firstMachine, delegates = 10, 2
	for i := range min(count, delegates) {
		s.delegates = append(s.delegates, address(s.ip(firstMachine+i), controlPort))
	}
	var gateways []*gateway
	for i := range count {
		ip := s.ip(firstMachine + i)
		g := &gateway{name: fmt.Sprintf("edge-%d", i), front: address(ip, frontPort), ready: address(ip, readyPort)}
		settings := s.place(g.name, ip, 284, 4100)
		settings["front_address"], settings["ready_address"], settings["control_address"] = g.front, g.ready, address(ip, controlPort)
		settings["revocation_ms"], settings["configuration_ms"], settings["departure_ms"], settings["retry_share"] = 5000, 2000, 2000, 0.2
		var err error
		if g.process, err = s.start("lovage-gateway", g.name, settings); err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := awaitReady(g.ready); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// startSidecar starts the sidecar of the engine on the machine.
func (s *system) startSidecar(name, ip, service string) (*process, error) {
	settings := s.place(name, ip, 152, 2048)
	settings["engine_address"], settings["service"], settings["link_mbps"] = address(ip, enginePort), service, 9.4
	return s.start("lovage-sidecar", name, settings)
}

// awaitReady waits until the process answers its readiness check with 200.
func awaitReady(at string) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := client.Get("http://" + at + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("no process is ready at " + at)
}

// process is one process of the system.
type process struct {
	system       *system
	binary, name string
	settingsFile string
	log          *os.File
	command      *exec.Cmd
	ended        chan struct{}
}

func (s *system) start(binary, name string, settings map[string]any) (*process, error) {
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{system: s, binary: filepath.Join("target", binary), name: name, settingsFile: filepath.Join(s.folder, name+".json")}
	if err = os.WriteFile(p.settingsFile, raw, 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.folder, name+".log")); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, p.run()
}

// run starts the program.
func (p *process) run() error {
	p.command = exec.CommandContext(context.Background(), p.binary)
	p.command.Env = append(os.Environ(), "LOVAGEGLADE_NODE_FILE="+p.settingsFile)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait() // how it ended does not matter
		close(ended)
	}()
	p.system.record.line("process %s started", p.name)
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.system.record.line("process %s gets signal %v", p.name, signal)
	_ = p.command.Process.Signal(signal) // fails only if it has ended
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill() // fails only if it has ended
	<-p.ended
}
