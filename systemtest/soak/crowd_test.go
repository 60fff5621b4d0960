package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	crowdClients     = 150 // at each gateway, more than crowdResources admit beside the clients of the soak
	maxCrowdStay     = 3 * time.Second
	crowdDialTimeout = time.Second
)

// crowdResources are those of the processes beside a crowd. The memory covers the race detector.
var crowdResources = settings.Resources{MemoryMB: 400, MaxDescriptors: 400}

// unfinishedRequests are the beginnings of what clients of a crowd send, none of which becomes a whole request.
var unfinishedRequests = []string{
	"",
	"POST /safe/x HTTP/1.1\r\n",
	crowdHead + strings.Repeat("a:\r\n", 3000),
	crowdHead + "Content-Length: 100\r\n\r\nstops short",
	crowdHead + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("b", 0x40000-1),
}

const crowdHead = "POST /safe/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + platformtest.HeaderKey + ": " + platformtest.KeyScheme + "kept\r\n"

// runCrowd keeps crowdClients connections open at each gateway until the context ends. Each sends the beginning of a request and leaves
// some time later.
func (s *system) runCrowd(ctx context.Context) {
	for _, gateway := range s.gateways {
		for range crowdClients {
			go func() {
				for ctx.Err() == nil {
					sendUnfinished(gateway.frontAddress, unfinishedRequests[rand.IntN(len(unfinishedRequests))], rand.N(maxCrowdStay))
				}
			}()
		}
	}
}

func sendUnfinished(address, begin string, stay time.Duration) {
	leaving := time.After(stay)
	if conn, err := net.DialTimeout("tcp", address, crowdDialTimeout); err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(stay))
		_, _ = io.WriteString(conn, begin) // it may be refused
	}
	<-leaving
}

// TestCrowdBesideShortSeeds plays short seeds beside clients whose requests never arrive whole. The promises to the others hold.
func TestCrowdBesideShortSeeds(t *testing.T) {
	for _, seed := range []uint64{3, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoakBesideCrowd(t, seed, shortFaultDuration) })
	}
}

// TestFreshSeedsBesideACrowd runs the seeds that the flags select.
func TestFreshSeedsBesideACrowd(t *testing.T) {
	runSelectedSeeds(t, func(t *testing.T, seed uint64) { runSoakBesideCrowd(t, seed, *faultDuration) })
}

func runSoakBesideCrowd(t *testing.T, seed uint64, faultDuration time.Duration) {
	s := newSystemWith(t, seed, crowdResources)
	s.runCrowd(t.Context())
	s.soak(faultDuration, anySchedule)
}
