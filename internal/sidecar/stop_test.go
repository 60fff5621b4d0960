package sidecar

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/settings"
)

// A gateway and a peer have sent a part of a request each. The platform kills the process at the end of the grace period, and the
// last log lines are written before.
func TestSidecarExitsWithinItsGracePeriod(t *testing.T) {
	const (
		grace   = 3 * time.Second
		logTime = 200 * time.Millisecond // for the last log lines
	)
	config := settings.Sidecar{EngineAddress: "127.0.0.1:9", Service: "s", VersionRolloutMs: 300, GraceMs: settings.Millis(grace.Milliseconds())}
	config.Address, config.Region, config.FailureDomain = "127.0.0.1", "east", "x"
	first := freePorts(t)
	config.Ports = []int{first, first + 2}
	logger := &log.Logger{Level: log.PanicLevel}
	source := &fakeSource{address: config.EngineAddress}
	follower := follow.New(source, follow.Intervals{EndpointsInterval: 20 * time.Millisecond}, follow.Delegates{}, logger)
	s := New(config, passThroughCodec{}, follower, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}, &fakeOrigin{}, logger)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	for _, port := range []int{config.RelayPort(), config.ChunkPort()} {
		var c net.Conn
		waitFor(t, "the listener", func() (listens bool) {
			var err error
			c, err = net.Dial("tcp", net.JoinHostPort(config.Address, strconv.Itoa(port)))
			return err == nil
		})
		defer c.Close()
		if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost:"); err != nil {
			t.Fatal(err)
		}
	}
	<-time.After(100 * time.Millisecond) // until both have read their part
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(grace - logTime):
		t.Error("the process runs until it is killed")
		<-ended
	}
}

// freePorts returns the first of three consecutive ports that are free.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		first := listener.Addr().(*net.TCPAddr).Port
		free := true
		for port := first + 1; port <= first+2; port++ {
			next, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
			if free = free && err == nil; err == nil {
				_ = next.Close()
			}
		}
		_ = listener.Close()
		if free {
			return first
		}
	}
	t.Fatal("no three consecutive ports are free")
	return 0
}
