//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A runner is a process of its own, so that a crash is the end of a process: its kernel closes its connections.

const (
	eventTokens   = 5                     // tokens in an event of a stream
	eventInterval = 45 * time.Millisecond // five steps of 8.87 ms
)

// runnerMain serves as a runner until the process ends. It writes what it does to standard output, a line of JSON each.
func runnerMain(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	address := flags.String("address", "", "IP:port")
	id := flags.String("id", "", "id of the incarnation")
	model := flags.String("model", "", "name of the model")
	born := flags.Int64("born", 0, "Unix millisecond of the start")
	_ = flags.Parse(arguments)
	r := &runnerServer{id: *id, model: *model, born: *born, out: json.NewEncoder(os.Stdout)}
	go r.readCommands()
	server := &http.Server{Addr: *address, Handler: http.HandlerFunc(r.serve)}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

type runnerServer struct {
	id, model string
	born      int64
	active    atomic.Int64
	unframed  atomic.Int64 // one in so many answers has no length and ends with its connection; 0 for none

	mu  sync.Mutex
	out *json.Encoder
}

// runLine is one line about a run.
type runLine struct {
	Runner   string
	Attempt  string
	What     string // begin, event, end
	Event    int    `json:",omitempty"` // number of the event that was sent
	Total    int    `json:",omitempty"` // events of the whole stream
	Unframed bool   `json:",omitempty"`
}

func (r *runnerServer) report(line runLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line.Runner = r.id
	_ = r.out.Encode(line)
}

// readCommands reads the number for unframed, one a line.
func (r *runnerServer) readCommands() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if n, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil {
			r.unframed.Store(n)
		}
	}
	os.Exit(0) // the case has ended
}

func (r *runnerServer) serve(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": []map[string]any{{"name": r.model, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "active": r.active.Load(), "kv-used": 0, "kv-total": 1180000, "handles": 0, "pace": 1, "born": r.born})
	case strings.HasPrefix(request.URL.Path, "/stage-get/"):
		_ = json.NewEncoder(w).Encode(map[string]any{"held": []int{}})
	case request.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", r.id)
	default:
		r.run(w, request)
	}
}

func (r *runnerServer) run(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	running := r.active.Add(1)
	defer r.active.Add(-1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", min(running, slots), slots))
	if running > slots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+r.id+"."+attempt)
	unframed := r.isUnframed(attempt)
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then marks the end by the end of the connection
	}
	r.runStream(w, request, attempt, unframed)
}

func (r *runnerServer) isUnframed(attempt string) bool {
	every := r.unframed.Load()
	if every == 0 {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(attempt))
	return hash.Sum32()%uint32(every) == 0
}

// runStream sends the events after the last one that the client has, up to the number that the request asks for.
func (r *runnerServer) runStream(w http.ResponseWriter, request *http.Request, attempt string, unframed bool) {
	_, output, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	total := tokens / eventTokens
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // absent for a new stream
	r.report(runLine{Attempt: attempt, What: "begin", Event: last, Total: total, Unframed: unframed})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	for event := last + 1; event <= total; event++ {
		time.Sleep(eventInterval)
		if _, err := io.WriteString(w, formatEvent(event)); err != nil || request.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
		r.report(runLine{Attempt: attempt, What: "event", Event: event, Total: total, Unframed: unframed})
	}
	r.report(runLine{Attempt: attempt, What: "end", Total: total, Unframed: unframed})
}

func formatEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("t", 50))
}

// runner is a runner's process as the platform sees it.
type runner struct {
	s                              *system
	name, service, zone, ip, model string

	mu       sync.Mutex
	number   int // of its starts
	born     int64
	command  *exec.Cmd
	commands io.WriteCloser
	diedAt   time.Time // zero while it runs
}

func (s *system) newRunner(name, service, zone, ip, model string) *runner {
	r := &runner{s: s, name: name, service: service, zone: zone, ip: ip, model: model}
	r.start()
	go r.keepRegistered()
	s.onClose = append(s.onClose, func() { r.kill() })
	return r
}

func (r *runner) address() string { return fmt.Sprintf("%s:%d", r.ip, runnerPort) }

func (r *runner) id() string { return fmt.Sprintf("i-%s-%d", r.name, r.number) }

// start starts the runner as a new incarnation.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	self, err := os.Executable()
	if err != nil {
		panic(err)
	}
	r.born = time.Now().UnixMilli()
	r.command = exec.Command(self, "runner", "-address", r.address(), "-id", r.id(), "-model", r.model, "-born", strconv.FormatInt(r.born, 10))
	output, err := r.command.StdoutPipe()
	if err != nil {
		panic(err)
	}
	if r.commands, err = r.command.StdinPipe(); err != nil {
		panic(err)
	}
	r.command.Stderr = os.Stderr
	if err := r.command.Start(); err != nil {
		panic(err)
	}
	go r.s.readRuns(output)
	r.diedAt = time.Time{}
	r.register(r.id())
}

// kill ends the runner's process without notice.
func (r *runner) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.diedAt.IsZero() {
		return
	}
	r.diedAt = time.Now()
	_ = r.command.Process.Signal(syscall.SIGKILL)
	_ = r.command.Wait()
}

// setUnframed has one in so many answers end with its connection; 0 for none.
func (r *runner) setUnframed(every int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.commands, every)
}

func (r *runner) register(id string) {
	document := map[string]any{"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "seq": 0, "born": r.born, "stage": "mixed", "models": []map[string]any{{"name": r.model, "version": 1, "adapters": []string{}}}}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	r.s.store.Put("servers", id, string(raw))
}

// keepRegistered removes the entries of incarnations that have ended, three heartbeats later.
func (r *runner) keepRegistered() {
	gone := 0
	for {
		select {
		case <-r.s.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		r.mu.Lock()
		number, diedAt := r.number, r.diedAt
		r.mu.Unlock()
		last := number
		if diedAt.IsZero() {
			last = number - 1
		}
		if last > gone && (time.Since(diedAt) > entryLapses || diedAt.IsZero()) {
			gone = last
			r.s.store.Remove("servers", fmt.Sprintf("i-%s-%d", r.name, last))
		}
	}
}
