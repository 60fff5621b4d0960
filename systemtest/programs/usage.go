package programs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	bytesPerKB     = 1024 // of the kernel's figures
	sampleInterval = 10 * time.Millisecond
)

// PeakMemory returns the largest resident size of the process so far, in bytes.
func PeakMemory(t testing.TB, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes * bytesPerKB
		}
	}
	t.Fatalf("process %d has no peak of its memory; it has ended", pid)
	return 0
}

// OpenDescriptors returns the number of descriptors that the process has open; 0 if it has ended.
func OpenDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Watch samples the open descriptors of the processes. The function that it returns ends this and returns the most that each had.
func Watch(pids ...int) (end func() []int) {
	most := make([]int, len(pids))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			for i, pid := range pids {
				most[i] = max(most[i], OpenDescriptors(pid))
			}
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() []int {
		close(stop)
		<-stopped
		return most
	}
}
