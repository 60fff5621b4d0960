//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// add adds a line with the seconds since the start.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// tell adds a line and prints it.
func (r *record) tell(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a short record shows a full disk
	_ = r.file.Close()
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
