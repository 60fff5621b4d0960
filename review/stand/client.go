//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client has seen of the answer to one attempt.
type answer struct {
	attempt  string
	status   int
	sealed   bool
	body     []byte
	complete bool // the answer's end was marked as the protocol has it
	err      error
}

// events returns the ids of the stream's events, in order.
func (a answer) events() []int {
	var ids []int
	for _, line := range strings.Split(string(a.body), "\n") {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ := strconv.Atoi(value)
			ids = append(ids, id)
		}
	}
	return ids
}

// send sends a request to a gateway and reads the answer to its end.
func (s *system) send(client *http.Client, gateway int, method, path string, body []byte, header map[string]string) answer {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", s.gatewayIP(gateway), frontPort, path), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("Authorization", "Token "+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	s.logf("client sends %s %s to edge-%d", attempt, path, gateway)
	response, err := client.Do(request)
	if err != nil {
		s.logf("client gets no answer to %s: %v", attempt, err)
		return answer{attempt: attempt, err: err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	a := answer{attempt: attempt, status: response.StatusCode, sealed: response.Header.Get("X-Server-Seal") != "", body: got, complete: err == nil, err: err}
	s.logf("client gets %s: status %d, seal %v, %d bytes, complete %v", attempt, a.status, a.sealed, len(got), a.complete)
	return a
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// runs are the lines of all runners.
var runs = struct {
	sync.Mutex
	byAttempt map[string][]runLine
}{byAttempt: make(map[string][]runLine)}

// readRuns records what a runner writes.
func (s *system) readRuns(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var line runLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // the process ended inside the line
		}
		if line.What != "event" {
			s.logf("runner %s: %s %s, event %d of %d, unframed %v", line.Runner, line.What, line.Attempt, line.Event, line.Total, line.Unframed)
		}
		runs.Lock()
		runs.byAttempt[line.Attempt] = append(runs.byAttempt[line.Attempt], line)
		runs.Unlock()
	}
}

// runsOf returns the lines about the attempt.
func runsOf(attempt string) []runLine {
	runs.Lock()
	defer runs.Unlock()
	return slices.Clone(runs.byAttempt[attempt])
}
