package settings

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Resources are what a process may use of its machine.
type Resources struct {
	MemoryMB       int `json:"memory_mb" validate:"gte=0"`       // in units of 1,000,000 bytes; 0 for the machine's memory
	MaxDescriptors int `json:"max_descriptors" validate:"gte=0"` // open files and sockets; 0 for the process's limit
}

const (
	bytesPerMB = 1_000_000
	bytesPerKB = 1024 // of the kernel's figures
	// assumedMemory and assumedDescriptors stand in on a machine that does not tell.
	assumedMemory      = 1 << 30
	assumedDescriptors = 1024
)

// MemoryBytes returns the memory of the process in bytes.
func (r Resources) MemoryBytes() int64 {
	if r.MemoryMB > 0 {
		return int64(r.MemoryMB) * bytesPerMB
	}
	if total := machineMemory(); total > 0 {
		return total
	}
	return assumedMemory
}

// Descriptors returns how many descriptors the process may have open.
func (r Resources) Descriptors() int {
	if r.MaxDescriptors > 0 {
		return r.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// machineMemory returns the memory of the machine in bytes; 0 if it is unknown.
func machineMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), "MemTotal:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64) // 0 if it cannot be read
			return kilobytes * bytesPerKB
		}
	}
	return 0
}
