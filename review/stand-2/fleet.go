//go:build review

// Command stand-2 starts a small deployment of lovageglade on loopback addresses, with stand-ins for the platform, its runners and its
// clients, plays one scenario and checks one rule. The scripts in review/6 to review/10 call it.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// ports of a machine, the same on all machines.
type ports struct{ front, ready, control, engine, first, last, origin int }

// Ports are sought below the range from which systems assign ports to connections.
const (
	lowestPort   = 10000
	highestPort  = 30000
	portsInUse   = 16
	portAttempts = 200
)

// Bounds of a small deployment, as in its sheet.
const (
	stableTime        = 3 * time.Second
	drainTime         = 2 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	missedHeartbeats  = 3
	clientKey         = "key-of-space"
)

var (
	zones   = []string{"north-a", "south-a", "west-a"}
	regions = map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"}
)

// fleet is the system under test with the platform's stand-ins.
type fleet struct {
	record  *record
	folder  string
	prefix  string // of all addresses
	ports   ports
	store   *platformtest.Store
	origin  *platformtest.Origin
	weights platformtest.Weights

	mu        sync.Mutex
	processes []*process
}

// process is one process of the system.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "stand-2")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, store: platformtest.NewStore(), weights: platformtest.Weights{Model: "m", Chunks: 8, ChunkBytes: 8 << 10}}
	f.origin = platformtest.NewOrigin(f.weights)
	f.prefix = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250)
	for range portAttempts {
		first := lowestPort + rand.IntN(highestPort-lowestPort)
		if f.areFree(first) {
			f.ports = ports{front: first, ready: first + 1, control: first + 2, engine: first + 3, origin: first + 4, first: first + 5, last: first + portsInUse - 1}
			return f, nil
		}
	}
	return nil, errors.New("no free ports are found")
}

// areFree reports whether nothing listens on the ports from the first on, on this machine or one of its loopback addresses in use here.
func (f *fleet) areFree(first int) bool {
	for port := first; port < first+portsInUse; port++ {
		for _, octet := range []int{10, 50, 100} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(octet), port))
			if err != nil {
				return false
			}
			_ = listener.Close() // it has accepted nothing
		}
	}
	return true
}

func (f *fleet) ip(octet int) string { return fmt.Sprintf("%s.%d", f.prefix, octet) }

func (f *fleet) gatewayIP(i int) string { return f.ip(10 + i) }

func (f *fleet) engineIP(i int) string { return f.ip(50 + i) }

func (f *fleet) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.gatewayIP(i), f.ports.control)
}

func (f *fleet) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", f.gatewayIP(i), f.ports.front)
}

// place returns the settings that gateways and sidecars share, as the project's templates fill them in.
func (f *fleet) place(name, ip string, i, memoryMB, descriptors int, seeds []string) map[string]any {
	zone := zones[i%len(zones)]
	return map[string]any{
		"host": name, "failure_domain": zone, "region": regions[zone], "regions": regions, "address": ip, "store_address": f.store.Address(),
		"delegates": seeds, "collector_percent": 40, "memory_mb": memoryMB, "max_descriptors": descriptors, "metrics_port": f.ports.first + 3,
		"ports": []int{f.ports.first, f.ports.last}, "grace_ms": 8000, "version_ms": 8000,
	}
}

// startGateway starts the gateway on machine i with the seeds.
func (f *fleet) startGateway(i int, seeds []string) error {
	settings := f.place(fmt.Sprintf("edge-%d", i), f.gatewayIP(i), i, 284, 4100, seeds)
	settings["front_address"] = f.frontAddress(i)
	settings["ready_address"] = fmt.Sprintf("%s:%d", f.gatewayIP(i), f.ports.ready)
	settings["control_address"] = f.controlAddress(i)
	settings["revocation_ms"], settings["configuration_ms"], settings["departure_ms"], settings["retry_share"] = 5000, 2000, 2000, 0.2
	return f.start("lovage-gateway", fmt.Sprintf("edge-%d", i), settings)
}

// startSidecar starts the sidecar of the engine on machine i.
func (f *fleet) startSidecar(i int, service string, seeds []string) error {
	settings := f.place(fmt.Sprintf("side-%d", i), f.engineIP(i), i, 152, 2048, seeds)
	settings["engine_address"] = fmt.Sprintf("%s:%d", f.engineIP(i), f.ports.engine)
	settings["service"], settings["link_mbps"] = service, 9.4
	return f.start("lovage-sidecar", fmt.Sprintf("side-%d", i), settings)
}

// start starts a program of the deploy file with the settings.
func (f *fleet) start(program, name string, settings map[string]any) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join("target", program))
	command.Env = append(os.Environ(), "LOVAGEGLADE_NODE_FILE="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // its end is all that counts
		close(p.done)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.record.add("%s started", name)
	return nil
}

// signal sends a signal to the process with the name that was started last.
func (f *fleet) signal(name string, signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.processes) - 1; i >= 0; i-- {
		if f.processes[i].name == name {
			f.record.add("%s gets %v", name, signal)
			_ = f.processes[i].command.Process.Signal(signal) // fails only if it has ended
			return
		}
	}
}

// ended returns the names of processes that have ended by themselves.
func (f *fleet) ended() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		select {
		case <-p.done:
			names = append(names, p.name)
		default:
		}
	}
	return names
}

// awaitReady waits until the gateways from machine 0 on answer the readiness check.
func (f *fleet) awaitReady(gateways int) error {
	for i := range gateways {
		if err := f.awaitReadyOf(i); err != nil {
			return err
		}
	}
	return nil
}

// awaitReadyOf waits until the gateway on machine i answers the readiness check.
func (f *fleet) awaitReadyOf(i int) error {
	for deadline := time.Now().Add(15 * time.Second); !isReady(fmt.Sprintf("%s:%d", f.gatewayIP(i), f.ports.ready)); {
		if time.Now().After(deadline) {
			return fmt.Errorf("edge-%d does not get ready", i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT) // it may be stopped
		_ = p.command.Process.Kill()                  // fails only if it has ended
		<-p.done
	}
	f.store.Close()
	f.origin.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
		return
	}
	fmt.Println("logs are in", f.folder)
}

// listen returns a listener on a loopback address.
func listen(address string) (net.Listener, error) {
	var lastErr error
	for range 20 {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
		time.Sleep(50 * time.Millisecond)
	}
	return nil, lastErr
}
