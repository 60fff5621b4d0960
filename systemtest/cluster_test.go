// Package systemtest runs entries, which take requests from callers, and agents, each of which stands in front of one
// back end, as separate processes on loopback. The back ends and the platform are stand-ins inside the test process. The
// tests inject failures: kills, suspensions, closed and silent connections, and outages of the platform.
package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/standin"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/systemtest/programs"
)

const (
	dataPort          = 7001
	controlPort       = 7002
	backendPort       = 7003
	awaitTimeout      = 30 * time.Second
	awaitPollInterval = 20 * time.Millisecond
)

var (
	binaryFolder  string // folder of the daemons, which are built with the race detector if the tests are
	networkNumber = os.Getpid() * 8
)

func TestMain(m *testing.M) {
	programs.RunTests(m, func(folder string) { binaryFolder = folder }, "lovage-entry", "lovage-agent")
}

// cluster is a running system. Each of its hosts has its own IP address.
type cluster struct {
	t             testing.TB
	folder        string // settings and logs of the nodes
	networkPrefix string // the first three numbers of every IP address
	lastOctet     int
	platform      *standin.Platform
	platformAddr  string
	operator      *operate.Operator
	rpcClient     *rpc.Client
	configuration config.Set
	hosts         []core.Host
	nodes         map[core.HostID]*process
	plainServices map[core.HostID]*standin.PlainService
	engines       map[core.HostID]*standin.Engine
	proxies       map[core.HostID][]*tcpProxy
}

// process is one entry or agent process.
type process struct {
	host         core.Host
	settingsFile string
	binary       string
	command      *exec.Cmd
	log          *os.File
	done         chan struct{}
}

// newCluster starts the stand-in for the platform. Everything stops when the test ends.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	networkNumber++
	c := &cluster{
		t:             t,
		networkPrefix: fmt.Sprintf("127.%d.%d", 20+networkNumber%200, networkNumber/200%250),
		nodes:         make(map[core.HostID]*process),
		plainServices: make(map[core.HostID]*standin.PlainService),
		engines:       make(map[core.HostID]*standin.Engine),

		proxies:   make(map[core.HostID][]*tcpProxy),
		rpcClient: rpc.NewClient(),
		folder:    t.TempDir(), // created before c.stop is registered, so that it is removed only after c.stop has read the logs
	}
	c.platform = standin.NewPlatform(0)
	c.platformAddr = fmt.Sprintf("%s:%d", c.newIP(), dataPort)
	c.serve(c.platformAddr, c.platform.App())
	c.operator = operate.New(c.platformSettings(), os.Stderr)
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) platformSettings() settings.Platform {
	return settings.Platform{TablesAddress: c.platformAddr, ObjectsAddress: c.platformAddr, HostsAddress: c.platformAddr, OriginAddress: c.platformAddr}
}

func (c *cluster) newIP() string {
	c.lastOctet++
	return fmt.Sprintf("%s.%d", c.networkPrefix, c.lastOctet)
}

// serve runs the HTTP interface of a stand-in until the test ends.
func (c *cluster) serve(address string, app *fiber.App) {
	c.t.Helper()
	listener, err := net.Listen("tcp", address)
	c.must(err)
	go func() { _ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	c.t.Cleanup(func() { _ = app.ShutdownWithTimeout(100 * time.Millisecond) })
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) newHost(id core.HostID, role core.Role, domain core.FailureDomain) core.Host {
	ip := c.newIP()
	return core.Host{
		ID:             id,
		Role:           role,
		FailureDomain:  domain,
		Region:         core.Region(domain),
		DataAddress:    fmt.Sprintf("%s:%d", ip, dataPort),
		ControlAddress: fmt.Sprintf("%s:%d", ip, controlPort),
		State:          core.HostLive,
	}
}

// addEntry starts an entry. If change is not nil, it may modify the settings first.
func (c *cluster) addEntry(id core.HostID, domain core.FailureDomain, change func(*settings.Entry)) *process {
	c.t.Helper()
	host := c.newHost(id, core.RoleEntry, domain)
	entrySettings := settings.Entry{MaxBodyBytes: 1 << 20}
	entrySettings.Daemon = settings.Daemon{Host: host, Platform: c.platformSettings(), DrainS: 10}
	if change != nil {
		change(&entrySettings)
	}
	return c.startNode("lovage-entry", entrySettings.Host, entrySettings)
}

// addAgent starts a back end and the agent in front of it. If change is not nil, it may modify the agent's settings
// first.
func (c *cluster) addAgent(id core.HostID, domain core.FailureDomain, kind string, app *fiber.App, change func(*settings.Agent)) *process {
	c.t.Helper()
	host := c.newHost(id, core.RoleAgent, domain)
	ip, _, _ := strings.Cut(host.DataAddress, ":")
	agentSettings := settings.Agent{BackendAddress: fmt.Sprintf("%s:%d", ip, backendPort), BackendKind: kind, WeightsBytes: 64 << 20}
	agentSettings.Daemon = settings.Daemon{Host: host, Platform: c.platformSettings(), DrainS: 10}
	if change != nil {
		change(&agentSettings)
	}
	c.serve(agentSettings.BackendAddress, app)
	return c.startNode("lovage-agent", agentSettings.Host, agentSettings)
}

func (c *cluster) addPlainService(id core.HostID, domain core.FailureDomain) *standin.PlainService {
	c.t.Helper()
	return c.addPlainServiceWith(id, domain, nil)
}

// addPlainServiceWith starts a plain service and its agent. If change is not nil, it may modify the agent's settings
// first.
func (c *cluster) addPlainServiceWith(id core.HostID, domain core.FailureDomain, change func(*settings.Agent)) *standin.PlainService {
	c.t.Helper()
	c.plainServices[id] = standin.NewPlainService()
	c.addAgent(id, domain, "plain", c.plainServices[id].App(), change)
	return c.plainServices[id]
}

// addRunner starts an engine and its agent. Each answer of the engine has the given number of tokens, which are
// tokenInterval apart.
func (c *cluster) addRunner(id core.HostID, domain core.FailureDomain, tokens int, tokenInterval time.Duration) *standin.Engine {
	c.t.Helper()
	c.engines[id] = standin.NewEngine(tokens, tokenInterval)
	c.addAgent(id, domain, "engine", c.engines[id].App(), nil)
	return c.engines[id]
}

func (c *cluster) startNode(binary string, host core.Host, nodeSettings any) *process {
	c.t.Helper()
	raw, err := json.Marshal(nodeSettings)
	c.must(err)
	path := filepath.Join(c.folder, string(host.ID)+".json")
	c.must(os.WriteFile(path, raw, 0o600))
	p := &process{host: host, settingsFile: path, binary: filepath.Join(binaryFolder, binary)}
	c.nodes[host.ID] = p
	c.hosts = append(c.hosts, host)
	c.listHosts(c.hosts)
	c.startProcess(p)
	return p
}

func (c *cluster) startProcess(p *process) {
	c.t.Helper()
	logFile, err := os.OpenFile(p.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	c.must(err)
	p.log = logFile
	p.command = exec.Command(p.binary, "--settings", p.settingsFile)
	p.command.Stderr = logFile
	p.command.Stdout = logFile
	c.must(p.command.Start())
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(p.command, p.done)
}

// signal sends a signal to the process of a node.
func (c *cluster) signal(id core.HostID, signal syscall.Signal) {
	c.t.Helper()
	c.must(c.nodes[id].command.Process.Signal(signal))
}

// suspend stops a node and waits until all its threads have stopped. On a busy machine some of them go on for a while after the
// signal was sent.
func (c *cluster) suspend(id core.HostID) {
	c.t.Helper()
	c.signal(id, syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task", c.nodes[id].command.Process.Pid)
	c.await(string(id)+" is stopped", func() bool {
		threads, err := os.ReadDir(tasks)
		c.must(err)
		for _, thread := range threads {
			status, err := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
			c.must(err)
			fields := strings.Fields(string(status[bytes.LastIndexByte(status, ')')+1:])) // the state follows the name
			if fields[0] != "T" {
				return false
			}
		}
		return true
	})
}

// kill sends SIGKILL to a node and waits until its process has ended.
func (c *cluster) kill(id core.HostID) {
	c.t.Helper()
	c.signal(id, syscall.SIGKILL)
	<-c.nodes[id].done
}

// restart starts a node whose process has ended, with unchanged settings.
func (c *cluster) restart(id core.HostID) {
	c.t.Helper()
	c.startProcess(c.nodes[id])
}

// listHosts replaces the platform's host list.
func (c *cluster) listHosts(hosts []core.Host) {
	c.t.Helper()
	raw, err := json.Marshal(hosts)
	c.must(err)
	c.put(c.platformAddr, "/hosts", string(raw))
}

// put sends a body to a stand-in, for example the faults that it is to simulate.
func (c *cluster) put(address, path, body string) {
	c.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(body))
	c.must(err)
	answer, err := http.DefaultClient.Do(request)
	c.must(err)
	_ = answer.Body.Close()
}

// backendAddr returns the address of the back end behind an agent.
func (c *cluster) backendAddr(id core.HostID) string {
	ip, _, _ := strings.Cut(c.nodes[id].host.DataAddress, ":")
	return fmt.Sprintf("%s:%d", ip, backendPort)
}

// addVersion uploads weights with their manifest and returns their version.
func (c *cluster) addVersion(model core.Model, name string, raw []byte, chunkBytes int64) config.Version {
	c.t.Helper()
	c.put(c.platformAddr, "/weights/"+name, string(raw))
	encoded, version, err := weights.NewManifest(model, name, raw, chunkBytes).Encode()
	c.must(err)
	c.must(c.operator.Platform.PutObject(context.Background(), weights.ManifestPrefix+string(version), encoded))
	return config.Version{Name: name, Model: model, Manifest: version}
}

// applyConfiguration publishes the cluster's configuration and waits until it is in force at every node.
func (c *cluster) applyConfiguration() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	publisher := config.Publisher{Tables: c.operator.Platform, Objects: c.operator.Platform}
	_, err := publisher.Publish(ctx, c.configuration, core.NewID())
	c.must(err)
	c.must(c.operator.Wait(ctx))
}

// await polls until the condition holds. It fails the test after awaitTimeout.
func (c *cluster) await(event string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", event)
		}
		<-time.After(awaitPollInterval)
	}
}

// record returns the status record that a node reports about itself.
func (c *cluster) record(id core.HostID) (wire.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var record wire.Record
	err := c.rpcClient.Call(ctx, c.nodes[id].host.ControlAddress, wire.MethodStatus, nil, &record)
	return record, err
}

// readLog returns the log of a node.
func (c *cluster) readLog(id core.HostID) string {
	c.t.Helper()
	raw, err := os.ReadFile(c.nodes[id].log.Name())
	c.must(err)
	return string(raw)
}

func (c *cluster) stop() {
	for id, p := range c.nodes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.done
		raw, err := os.ReadFile(p.log.Name())
		if err != nil {
			c.t.Errorf("the log of %s cannot be searched for races: %v", id, err)
		}
		_ = p.log.Close()
		if strings.Contains(string(raw), "DATA RACE") {
			c.t.Errorf("%s has a data race:\n%s", id, raw)
		}
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", id, raw)
		}
	}
	c.rpcClient.Close()
	c.operator.Peers.Close()
}
