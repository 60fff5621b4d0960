//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	engineSlots   = 16
	engineStep    = 8870 * time.Microsecond // of one token
	engineStride  = 5                       // tokens of one event
	tokensPerMs   = 19.1                    // of a prompt
	loadTime      = 300 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	eventBytes    = 65
	modelName     = "daka510000"
	engineService = "lovage-models"
)

// begun is a request whose first token was made.
type begun struct {
	id      string
	version int64
	at      time.Time
}

// engine is a stand-in of a model runner. Requests begin with their first token.
type engine struct {
	id      string
	address string
	record  *record
	store   *platformtest.Store
	weights platformtest.Weights
	born    time.Time
	server  *http.Server

	mu           sync.Mutex
	version      int64 // loaded; 0 for none
	staged       map[int][]byte
	seq          int
	busy         bool
	active       int
	silentUntil  time.Time
	unframed     int           // each so many-th answer has neither a length nor chunks; 0 for none
	quietAfter   time.Duration // how long the engine is silent after the end of such an answer
	answers      int
	begunEndings chan string     // ids of the requests whose answers began and will end with their connection; nil if nobody asks
	completed    map[string]bool // requests of which the whole answer was sent
	begun        []begun
}

func newEngine(r *record, s *platformtest.Store, id, at string, weights platformtest.Weights) (*engine, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: at, record: r, store: s, weights: weights, born: time.Now(), version: 1, staged: make(map[int][]byte), completed: make(map[string]bool)}
	for num := range weights.Chunks {
		e.staged[num] = weights.Chunk(1, num)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }() // ends with Close
	return e, nil
}

func (e *engine) close() { _ = e.server.Close() }

// beat writes the engine's entry each heartbeat interval until done is closed.
func (e *engine) beat(done <-chan struct{}) {
	for seq := 1; ; seq++ {
		e.mu.Lock()
		models := []map[string]any{}
		if e.version > 0 && !e.busy {
			models = append(models, map[string]any{"name": e.weights.Model, "version": e.version, "adapters": []string{}})
		}
		e.mu.Unlock()
		raw, err := json.Marshal(map[string]any{
			"service": engineService, "address": e.address, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
			"cold-left-ms": 0, "seq": seq, "born": e.born.UnixMilli(), "stage": "mixed", "models": models,
		})
		if err != nil {
			panic(err) // cannot happen: the document holds only JSON types
		}
		e.store.Put("servers", e.id, string(raw))
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// fallSilent makes the engine take connections and requests and do nothing else for the time.
func (e *engine) fallSilent(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(length)
	e.record.line("engine %s is silent for %v", e.id, length)
}

// awaitVoice returns when the engine is not silent.
func (e *engine) awaitVoice() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.awaitVoice()
	path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch path {
	case "report":
		e.serveReport(w)
	case "order":
		e.serveOrder(w, r)
	case "stage-put", "stage-get":
		e.serveStaged(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	if e.version > 0 && !e.busy {
		models = append(models, map[string]any{"name": e.weights.Model, "version": e.version, "adapters": []string{}})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // the caller may have left
		"stage": "mixed", "models": models, "busy": e.busy, "seq": e.seq, "queued": 0, "active": e.active,
		"kv-used": 0, "kv-total": 1180000, "handles": 0, "pace": 1, "born": e.born.UnixMilli(),
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Version   int64  `json:"version"`
		Expected  *int   `json:"precondition"`
		To        *int   `json:"to"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.To != nil && *order.To == 0:
		e.version = 0
		e.seq++
		w.WriteHeader(http.StatusAccepted)
	case order.Version == e.version && !e.busy:
		w.WriteHeader(http.StatusOK)
	case e.busy || order.Expected != nil && *order.Expected != e.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		e.seq++
		e.busy = true
		go e.load(order.Version)
		e.record.line("engine %s accepts the order to load version %d", e.id, order.Version)
		w.WriteHeader(http.StatusAccepted)
	}
}

// load loads the version once the running requests have ended.
func (e *engine) load(version int64) {
	for {
		e.mu.Lock()
		idle := e.active == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	for num := range e.weights.Chunks {
		if !bytes.Equal(e.staged[num], e.weights.Chunk(version, num)) {
			e.record.printf("WHOLE engine %s loads %d with a wrong chunk", e.id, version)
			break
		}
	}
	e.version, e.busy = version, false
	e.record.line("engine %s has loaded version %d", e.id, version)
}

func (e *engine) serveStaged(w http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.FormValue("num"))
	raw, readErr := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Method == http.MethodPut && err == nil && readErr == nil:
		e.staged[num] = raw
	case err == nil && e.staged[num] != nil:
		_, _ = w.Write(e.staged[num]) // the caller may have left
	case err == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		held := make([]int, 0, len(e.staged))
		for num := range e.staged {
			held = append(held, num)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held}) // the caller may have left
	}
}

// take counts the request, or returns the status with which it is refused.
func (e *engine) take(r *http.Request) (version int64, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		return 0, http.StatusMisdirectedRequest
	case e.busy || e.version == 0 || e.active >= engineSlots:
		return 0, http.StatusServiceUnavailable
	case expected != "" && expected != strconv.FormatInt(e.version, 10):
		return 0, http.StatusMisdirectedRequest
	}
	e.active++
	return e.version, 0
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderAttempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	version, refused := e.take(r)
	w.Header().Set(platformtest.HeaderAttempt, id)
	if refused != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(refused)
		return
	}
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	prompt, events := sizesOf(r)
	if !pause(r, time.Duration(float64(prompt)/tokensPerMs*float64(time.Millisecond))+engineStep*engineStride) {
		return
	}
	e.awaitVoice()
	if r.Context().Err() != nil {
		return // the caller left before the request began
	}
	e.begin(id, version)
	w.Header().Set(platformtest.HeaderSignature, "seal."+e.id+"."+id)
	w.Header().Set(platformtest.HeaderWeights, strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	isUnframed, quiet := e.nextFraming()
	if isUnframed {
		platformtest.OmitFraming(w)
		select {
		case e.begunEndings <- id:
		default:
		}
	}
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get(platformtest.HeaderResume)) // absent for a whole stream
	for number := from + 1; number <= events; number++ {
		e.awaitVoice()
		_, _ = io.WriteString(w, eventText(id, number)) // the caller may have left
		w.(http.Flusher).Flush()
		if number < events && !pause(r, engineStep*engineStride) {
			return
		}
	}
	e.complete(id, isUnframed)
	if isUnframed && quiet > 0 {
		e.fallSilent(quiet) // from the end of the connection on
	}
}

// nextFraming reports whether the next answer has neither a length nor chunks, and for how long the engine is silent after it.
func (e *engine) nextFraming() (unframed bool, quiet time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.unframed > 0 && e.answers%e.unframed == 0, e.quietAfter
}

// complete records that the whole answer to the request was sent.
func (e *engine) complete(id string, unframed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completed[id] = true
	e.record.line("engine %s has sent the whole answer to %s, unframed %v", e.id, id, unframed)
}

// hasCompleted reports whether the whole answer to the request was sent.
func (e *engine) hasCompleted(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completed[id]
}

// begin records that the first token of the request was made.
func (e *engine) begin(id string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun = append(e.begun, begun{id: id, version: version, at: time.Now()})
	e.record.line("engine %s begins %s on version %d", e.id, id, version)
}

// requestsBegun returns a copy of the requests that have begun.
func (e *engine) requestsBegun() []begun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]begun(nil), e.begun...)
}

// eventText returns the event of a stream, whose content depends on the request and the number alone.
func eventText(id string, number int) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s/%d", id, number))
	data := bytes.Repeat(fmt.Appendf(nil, "%x", digest[:4]), eventBytes/8)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
}

// sizesOf returns the prompt tokens and the events that the request asks for.
func sizesOf(r *http.Request) (prompt, events int) {
	first, second, _ := strings.Cut(r.Header.Get(platformtest.HeaderTokens), ",")
	prompt, _ = strconv.Atoi(first) // 0 if it is missing
	tokens, _ := strconv.Atoi(second)
	return prompt, max(1, tokens/engineStride)
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(r *http.Request, length time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(length):
		return true
	}
}
