package systemtest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/systemtest/programs"
)

// Crowds of clients that do not behave, at an entry and at an agent. What each process may use of its machine:
const (
	crowdMemoryMB       = 128
	crowdMaxDescriptors = 400
	bytesPerMB          = 1_000_000
)

const (
	manyClients  = 600 // more connections than a process may have descriptors
	headClients  = 380 // with a head each
	bodyClients  = 200 // with a body of the configured limit each
	largeClients = 10  // with a body of largeBytes each
	largeBytes   = 32 << 20
	entryBytes   = 1<<20 - 1 // below the entry's limit
)

func newCrowdCluster(t *testing.T) *cluster {
	c := newCluster(t)
	resources := settings.Resources{MemoryMB: crowdMemoryMB, MaxDescriptors: crowdMaxDescriptors}
	c.addEntry("entry-a", "a", func(entry *settings.Entry) { entry.Resources = resources })
	c.addPlainServiceWith("plain-a", "a", func(agent *settings.Agent) { agent.Resources, agent.WeightsBytes = resources, 1<<20 })
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Services: []config.Service{
			{Name: "bookings", Kind: config.KindPlain, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}, Endpoints: []config.Endpoint{{Host: "plain-a", FailureDomain: "a"}}},
		},
	}
	c.applyConfiguration()
	c.awaitProfile()
	return c
}

// awaitProfile waits until an ordinary request is answered.
func (c *cluster) awaitProfile() {
	c.t.Helper()
	c.await("an ordinary request is answered", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+c.nodes["entry-a"].host.DataAddress+"/services/bookings/profile", nil)
		c.must(err)
		request.Header.Set("Lovage-Workspace", "space")
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: awaitTimeout}
		answer, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

// requireWithinBounds runs the crowd and fails the test unless entry and agent live, within their memory and descriptors, and answer
// an ordinary request afterwards.
func (c *cluster) requireWithinBounds(crowd func()) {
	c.t.Helper()
	all := []*process{c.nodes["entry-a"], c.nodes["plain-a"]}
	endWatch := programs.Watch(all[0].command.Process.Pid, all[1].command.Process.Pid)
	crowd()
	most := endWatch()
	for i, p := range all {
		select {
		case <-p.done:
			c.t.Fatalf("%s has ended", p.host.ID)
		default:
		}
		if peak := programs.PeakMemory(c.t, p.command.Process.Pid); peak > crowdMemoryMB*bytesPerMB {
			c.t.Errorf("%s held %d MB at its peak, want at most %d", p.host.ID, peak/bytesPerMB, crowdMemoryMB)
		}
		if most[i] > crowdMaxDescriptors {
			c.t.Errorf("%s had %d descriptors open, want at most %d", p.host.ID, most[i], crowdMaxDescriptors)
		}
	}
	c.awaitProfile()
}

const entryHead = "POST /services/bookings/bookings HTTP/1.1\r\nHost: entry\r\nLovage-Workspace: space\r\n"

func TestCrowdOfBodiesAtAnEntry(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		body := strings.Repeat("b", entryBytes)
		programs.SendCrowd(c.nodes["entry-a"].host.DataAddress, bodyClients, func(conn net.Conn, _ int) {
			programs.Write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", entryHead, len(body)+1, body))
		})
	})
}

func TestCrowdOfChunkedBodiesAtAnEntry(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		body := fmt.Sprintf("%x\r\n%s\r\n", entryBytes, strings.Repeat("b", entryBytes))
		programs.SendCrowd(c.nodes["entry-a"].host.DataAddress, bodyClients, func(conn net.Conn, _ int) {
			programs.Write(conn, entryHead+"Transfer-Encoding: chunked\r\n\r\n"+body)
		})
	})
}

func TestCrowdOfStatedLengthsAtAnEntry(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		programs.SendCrowd(c.nodes["entry-a"].host.DataAddress, headClients, func(conn net.Conn, _ int) {
			programs.Write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\nb", entryHead, entryBytes))
		})
	})
}

func TestCrowdOfStatedLengthsAtAnAgent(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		programs.SendCrowd(c.nodes["plain-a"].host.DataAddress, headClients, func(conn net.Conn, _ int) {
			programs.Write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\nb", agentHead, largeBytes))
		})
	})
}

// Requests that never arrive whole must not hold up a planned stop until its time is over.
func TestCrowdOfBodiesThatStopShortInAStop(t *testing.T) {
	for id, head := range map[core.HostID]string{"entry-a": entryHead, "plain-a": agentHead} {
		t.Run(string(id), func(t *testing.T) {
			c := newCrowdCluster(t)
			stopped := c.nodes[id]
			programs.SendCrowd(stopped.host.DataAddress, largeClients, func(conn net.Conn, number int) {
				programs.Write(conn, head+"Content-Length: 100\r\n\r\nstops short")
				if number == 0 {
					c.signal(id, syscall.SIGTERM)
					<-stopped.done
				}
			})
			if log := c.readLog(id); strings.Contains(log, "drain time elapsed") {
				t.Errorf("%s stops only after its whole time", id)
			}
		})
	}
}

func TestCrowdOfConnectionsAtAnEntry(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		programs.SendCrowd(c.nodes["entry-a"].host.DataAddress, manyClients, func(conn net.Conn, _ int) { programs.Write(conn, entryHead) })
	})
}

func TestCrowdOfHeadsAtAnEntry(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		lines := strings.Repeat("a:\r\n", 1000)
		programs.SendCrowd(c.nodes["entry-a"].host.DataAddress, headClients, func(conn net.Conn, number int) {
			if number%2 == 0 {
				programs.Write(conn, strings.Repeat("\r\n", 100_000))
			}
			for ok := programs.Write(conn, entryHead); ok; ok = programs.Write(conn, lines) {
			}
		})
	})
}

const agentHead = "POST /v1/attempts HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\n"

func TestCrowdOfBodiesAtAnAgent(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		body := fmt.Sprintf("%x\r\n%s\r\n", largeBytes, strings.Repeat(" ", largeBytes))
		programs.SendCrowd(c.nodes["plain-a"].host.DataAddress, largeClients, func(conn net.Conn, _ int) {
			programs.Write(conn, agentHead+"Transfer-Encoding: chunked\r\n\r\n"+body)
		})
	})
}

func TestCrowdOfConnectionsAtAnAgent(t *testing.T) {
	c := newCrowdCluster(t)
	c.requireWithinBounds(func() {
		programs.SendCrowd(c.nodes["plain-a"].host.DataAddress, manyClients, func(conn net.Conn, _ int) { programs.Write(conn, agentHead) })
	})
}
