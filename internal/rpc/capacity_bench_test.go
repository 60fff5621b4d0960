package rpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// BenchmarkControlMessage measures the CPU time of one control call, client and server together. x is the size of
// the parameters in bytes.
func BenchmarkControlMessage(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	echo := Handle(func(_ context.Context, text string) (string, error) { return text, nil })
	server := Serve(listener, map[string]Method{"echo": echo})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	for _, size := range []int{128, 512, 2048, 8192} {
		b.Run(fmt.Sprintf("x=%d", size), func(b *testing.B) {
			request := strings.Repeat("x", size)
			start := cpuTime(b)
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				var answer string
				if err := client.Call(ctx, listener.Addr().String(), "echo", request, &answer); err != nil {
					b.Fatal(err)
				}
				cancel()
			}
			used := cpuTime(b) - start
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}

// cpuTime returns the user and system CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
