//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// A deployment on loopback. Each machine has an address of its own and the same ports, as on the platform: from the first one that is
// sought at the start on.
const (
	controlOffset = 0
	readyOffset   = 1
	frontOffset   = 2
	engineOffset  = 3
	rangeOffset   = 4 // of the ports between the system's processes
	portsInUse    = rangeOffset + 16
	lowestPort    = 10000
	highestPort   = 30000 // below those that the kernel gives to outgoing connections
	portTries     = 100

	firstEdge = 10 // numbers of machines
	mostEdges = 9
	firstSide = 50
	mostSides = 4

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
	firstPort int
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
	s := &system{record: r, folder: folder, network: fmt.Sprintf("127.%d.%d", 100+pid%100, pid/100%250)}
	if !s.findPorts() {
		return nil, errors.New("no free ports were found")
	}
	s.store = platformtest.NewStore()
	return s, nil
}

// findPorts seeks ports that are free at all machines.
func (s *system) findPorts() bool {
	for range portTries {
		s.firstPort = lowestPort + rand.IntN(highestPort-lowestPort-portsInUse)
		if s.portsAreFree(firstEdge, mostEdges) && s.portsAreFree(firstSide, mostSides) {
			return true
		}
	}
	return false
}

func (s *system) portsAreFree(firstMachine, machines int) bool {
	for machine := firstMachine; machine < firstMachine+machines; machine++ {
		for offset := range portsInUse {
			listener, err := net.Listen("tcp", s.at(machine, offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// at returns an address of the machine.
func (s *system) at(machine, offset int) string { return address(s.ip(machine), s.firstPort+offset) }

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
		"metrics_port": s.firstPort + portsInUse - 1, "ports": []int{s.firstPort + rangeOffset, s.firstPort + portsInUse - 1}, "grace_ms": 8e3, "version_ms": 8000,
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
	const delegates = 2
	for i := range min(count, delegates) {
		s.delegates = append(s.delegates, s.at(firstEdge+i, controlOffset))
	}
	var gateways []*gateway
	for i := range count {
		machine := firstEdge + i
		g := &gateway{name: fmt.Sprintf("edge-%d", i), front: s.at(machine, frontOffset), ready: s.at(machine, readyOffset)}
		settings := s.place(g.name, s.ip(machine), 284, 4100)
		settings["front_address"], settings["ready_address"], settings["control_address"] = g.front, g.ready, s.at(machine, controlOffset)
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
func (s *system) startSidecar(name string, machine int, service string) (*process, error) {
	settings := s.place(name, s.ip(machine), 152, 2048)
	settings["engine_address"], settings["service"], settings["link_mbps"] = s.at(machine, engineOffset), service, 9.4
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
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(p.command); err != nil {
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

var toStart = sync.OnceValue(func() chan func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread() // the kernel ends a process when the thread that has started it ends
		for start := range starts {
			start()
		}
	}()
	return starts
})

// startProcess starts the command, which ends with this process at the latest.
func startProcess(command *exec.Cmd) error {
	started := make(chan error)
	toStart() <- func() { started <- command.Start() }
	return <-started
}
