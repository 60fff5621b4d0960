//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a play: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes a line with the time since the beginning of the play.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...) // reported by close
}

// printf writes a line to the record and to standard output.
func (r *record) printf(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.line(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}
