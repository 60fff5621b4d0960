package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	endlessShare = 0.05 // of the answers while back ends are faulty
	// maxMemory is the memory limit of the platform's smallest machines, for a process built with the race detector: five times
	// theirs.
	maxMemory           = 5 * 152 << 20
	memoryCheckInterval = 200 * time.Millisecond
	procPageBytes       = 4096
)

// sendEndlessly sends bytes that are no answer until the caller closes the connection: in a head, or in a body without the back
// end's signature.
func sendEndlessly(rw http.ResponseWriter) {
	text := strings.Repeat("endless ", 2048)
	if rand.IntN(2) == 0 {
		for _, err := io.WriteString(rw, text); err == nil; _, err = io.WriteString(rw, text) {
		}
		return
	}
	socket, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer socket.Close()
	for _, err := io.WriteString(socket, text); err == nil; _, err = io.WriteString(socket, text) {
	}
}

// watchMemory checks that no process exceeds maxMemory until the channel is closed.
func (s *system) watchMemory(done <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-done:
			s.t.Logf("memory of a process at its peak: %d MB", peak>>20)
			return
		case <-time.After(memoryCheckInterval):
		}
		for _, n := range append(append([]*node{}, s.gateways...), s.sidecars...) {
			used := n.residentBytes()
			if used > maxMemory && peak <= maxMemory {
				s.t.Errorf("memory: %s uses %d MB", n.name, used>>20)
			}
			peak = max(peak, used)
		}
	}
}

// residentBytes returns the memory that the process uses; 0 while it is not running.
func (p *process) residentBytes() int {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * procPageBytes
}
