//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// loadTime is warm-s: how long an engine takes to load staged weights once its requests have ended.
const loadTime = 300 * time.Millisecond

// spoiltAllowance is how recently a staged piece may have turned bad without the load counting as wrong.
const spoiltAllowance = 3 * time.Second

// engine is a model runner with a staging area for weights. It does not check what is staged.
type engine struct {
	s       *system
	name    string
	ip      string
	zone    string
	weights platformtest.Weights
	server  *http.Server

	listenAddress string
	pieceTime     time.Duration // to read or to write a staged piece

	mu sync.Mutex
	// afterReport is called after a report that follows a read of all staged pieces, and onOrder when an order arrives; either may
	// be nil.
	afterReport, onOrder func()
	born                 int64
	seq                  int64
	version              int64 // of the loaded weights
	wrong                string
	loading              bool
	active               int
	staged               map[int][]byte
	spoiltAt             map[int]time.Time // pieces that have turned bad
	reads                []int             // pieces that were read back since the last report
	breaks               []string
}

func (s *system) newEngine(i int, weights platformtest.Weights) *engine {
	return s.newEngineAt(i, weights, fmt.Sprintf("%s:%d", s.sideIP(i), runnerPort), 0)
}

// newEngineAt starts an engine that takes pieceTime to read or write a staged piece. It listens at the address, of which its registered address may be a proxy.
func (s *system) newEngineAt(i int, weights platformtest.Weights, listenAddress string, pieceTime time.Duration) *engine {
	e := &engine{listenAddress: listenAddress, pieceTime: pieceTime, s: s, name: fmt.Sprintf("i-m%d", i), ip: s.sideIP(i), zone: zones[i%len(zones)], weights: weights, born: time.Now().UnixMilli(), version: 1, staged: make(map[int][]byte), spoiltAt: make(map[int]time.Time)}
	for num := range weights.Chunks {
		e.staged[num] = weights.Chunk(1, num)
	}
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		panic(err)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	s.onClose = append(s.onClose, func() { _ = e.server.Close() })
	go e.keepRegistered()
	return e
}

func (e *engine) address() string { return fmt.Sprintf("%s:%d", e.ip, runnerPort) }

func (e *engine) keepRegistered() {
	for seq := 0; ; seq++ {
		e.mu.Lock()
		document := map[string]any{"service": "models", "address": e.address(), "zone": e.zone, "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0, "seq": seq, "born": e.born, "stage": "mixed", "models": e.models()}
		e.mu.Unlock()
		raw, err := json.Marshal(document)
		if err != nil {
			panic(err)
		}
		e.s.store.Put("servers", e.name, string(raw))
		select {
		case <-e.s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// models returns what the engine says of its models. The caller holds e.mu.
func (e *engine) models() []map[string]any {
	if e.version == 0 || e.loading {
		return []map[string]any{}
	}
	return []map[string]any{{"name": e.weights.Model, "version": e.version, "adapters": []string{}}}
}

func (e *engine) serve(w http.ResponseWriter, request *http.Request) {
	switch path := request.URL.Path; {
	case path == "/report":
		e.serveReport(w)
	case path == "/order":
		e.serveOrder(w, request)
	case strings.HasPrefix(path, "/stage-"):
		e.serveStaged(w, request)
	default:
		e.serveStream(w, request)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	raw, err := json.Marshal(map[string]any{"stage": "mixed", "models": e.models(), "busy": e.loading, "seq": e.seq, "queued": 0, "active": e.active, "kv-used": 0, "kv-total": 1180000, "handles": 0, "pace": 1, "born": e.born})
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
	w.(http.Flusher).Flush()
	e.mu.Lock()
	verified, hook := len(e.reads) >= e.weights.Chunks, e.afterReport
	e.reads = nil
	e.mu.Unlock()
	if verified && hook != nil {
		hook()
	}
}

// setHooks sets the functions that are called in an order's course.
func (e *engine) setHooks(afterReport, onOrder func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.afterReport, e.onOrder = afterReport, onOrder
}

func (e *engine) serveStaged(w http.ResponseWriter, request *http.Request) {
	num, err := strconv.Atoi(request.FormValue("num"))
	raw, readErr := io.ReadAll(request.Body)
	time.Sleep(e.pieceTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case request.Method == http.MethodPut && err == nil && readErr == nil:
		e.staged[num] = raw
		delete(e.spoiltAt, num)
	case err == nil && e.staged[num] != nil:
		e.reads = append(e.reads, num)
		_, _ = w.Write(e.staged[num])
	case err == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		held := []int{}
		for num := range e.staged {
			held = append(held, num)
		}
		slices.Sort(held)
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
	}
}

// spoil turns one staged piece bad.
func (e *engine) spoil(num int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bad := bytes.Clone(e.staged[num])
	bad[0]++
	e.staged[num] = bad
	e.spoiltAt[num] = time.Now()
	e.s.logf("engine %s: staged piece %d turns bad", e.name, num)
}

func (e *engine) serveOrder(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"precondition"`
		From      *int   `json:"from"`
		To        *int   `json:"to"`
	}
	e.mu.Lock()
	hook := e.onOrder
	e.mu.Unlock()
	if hook != nil {
		hook()
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Operation != "start" || order.Model != e.weights.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.From != nil && order.To != nil && *order.From == *order.To {
		status := e.giveUp(order.Expected)
		e.s.logf("engine %s: order to hold no layers is answered %d", e.name, status)
		w.WriteHeader(status)
		return
	}
	status := e.accept(order.Version, order.Expected)
	e.s.logf("engine %s: order to start version %d is answered %d", e.name, order.Version, status)
	w.WriteHeader(status)
}

// giveUp gives up all layers at once, as the platform's model runners do, and returns the status of the answer.
func (e *engine) giveUp(expected *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.loading:
		return http.StatusConflict
	case e.version == 0:
		return http.StatusOK
	case expected != nil && *expected != e.seq:
		return http.StatusConflict
	}
	e.seq++
	e.version, e.wrong = 0, ""
	return http.StatusAccepted
}

// accept begins to load what is staged now as the version, and returns the status of the answer.
func (e *engine) accept(version int64, expected *int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.loading:
		return http.StatusConflict
	case version == e.version:
		return http.StatusOK
	case expected != nil && *expected != e.seq:
		return http.StatusConflict
	}
	e.seq++
	e.loading = true
	wrong := e.wrongPieces(version)
	if wrong != "" {
		e.s.logf("engine %s: takes version %d with %s", e.name, version, wrong)
	}
	go e.load(version, wrong)
	return http.StatusAccepted
}

// wrongPieces tells which staged pieces are missing, spoilt or of another version, "" for none. The caller holds e.mu.
func (e *engine) wrongPieces(version int64) string {
	var wrong []string
	for num := range e.weights.Chunks {
		if bytes.Equal(e.staged[num], e.weights.Chunk(version, num)) {
			continue
		}
		at, spoilt := e.spoiltAt[num]
		switch {
		case e.staged[num] == nil:
			wrong = append(wrong, fmt.Sprintf("piece %d missing", num))
		case !spoilt:
			wrong = append(wrong, fmt.Sprintf("piece %d of another version", num))
		case time.Since(at) > spoiltAllowance:
			wrong = append(wrong, fmt.Sprintf("piece %d spoilt for %.2f s", num, time.Since(at).Seconds()))
		}
	}
	return strings.Join(wrong, ", ")
}

func (e *engine) load(version int64, wrong string) {
	for {
		e.mu.Lock()
		idle := e.active == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.wrong, e.loading = version, wrong, false
	e.s.logf("engine %s: serves version %d", e.name, version)
}

// serveStream runs a request. An event that is made with wrong weights breaks the rule.
func (e *engine) serveStream(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	e.mu.Lock()
	version, wrong := e.version, e.wrong
	wants := request.Header.Get("X-Expect-Version")
	switch {
	case e.loading || version == 0 || e.active >= slots:
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case wants != "" && wants != strconv.FormatInt(version, 10):
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.active++
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.active, slots))
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	_, output, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Server-Seal", "seal."+e.name+"."+attempt)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= tokens/eventTokens; event++ {
		time.Sleep(eventInterval)
		if wrong != "" && event == last+1 {
			e.recordBreak(fmt.Sprintf("WHOLE: engine %s makes tokens for attempt %s with version %d, taken with %s", e.name, attempt, version, wrong))
		}
		if _, err := io.WriteString(w, formatEvent(event)); err != nil || request.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (e *engine) recordBreak(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = append(e.breaks, text)
	if len(e.breaks) <= 3 {
		e.s.logf("%s", text)
	}
}

// breaksOf returns the breaks that the engines have seen.
func breaksOf(engines []*engine) []string {
	var all []string
	for _, e := range engines {
		e.mu.Lock()
		all = append(all, e.breaks...)
		e.mu.Unlock()
	}
	return all
}
