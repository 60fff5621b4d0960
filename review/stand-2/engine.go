//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	loadTime      = 300 * time.Millisecond
	readTime      = 25 * time.Millisecond // of a prompt
	eventInterval = 45 * time.Millisecond
	streamEvents  = 14
	crashingPart  = "bad"
	crashingBody  = "prompt that no engine survives"
)

// engine is a stand-in of a model runner, as the page on runners describes it. A request with the crashing part ends its process as it
// begins to write the answer; the process is back after downTime, without loaded layers and with what was staged.
type engine struct {
	fleet    *fleet
	number   int
	service  string
	slots    int
	downTime time.Duration
	crashes  *atomic.Bool // by requests with the crashing part
	onCrash  func(at time.Time, id string)
	onRun    func(at time.Time, crashing bool) // it has taken a request
	onBegin  func(id string)                   // it begins to write an answer

	mu        sync.Mutex
	id        string
	born      time.Time
	life      int
	up        bool
	version   int64
	loadUntil time.Time
	seq       int
	active    int
	staged    map[int][]byte
	server    *http.Server
	conns     map[net.Conn]struct{}
}

func (e *engine) address() string {
	return fmt.Sprintf("%s:%d", e.fleet.engineIP(e.number), e.fleet.ports.engine)
}

// start starts the first life with version 1 loaded and staged.
func (e *engine) start() error {
	e.staged, e.version = make(map[int][]byte), 1
	for chunk := range e.fleet.weights.Chunks {
		e.staged[chunk] = e.fleet.weights.Chunk(1, chunk)
	}
	if err := e.begin(); err != nil {
		return err
	}
	go e.heartbeat()
	return nil
}

// begin starts a life.
func (e *engine) begin() error {
	listener, err := listen(e.address())
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.id, e.born, e.up = fmt.Sprintf("i-%d-%d", e.number, e.life), time.Now(), true
	e.conns = make(map[net.Conn]struct{})
	life := e.life
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, life) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateClosed {
				delete(e.conns, conn)
				return
			}
			e.conns[conn] = struct{}{}
		},
	}
	server := e.server
	go func() { _ = server.Serve(listener) }() // ends with the life
	return nil
}

// crash ends the process: its sockets are closed at once.
func (e *engine) crash(life int, id string) {
	e.mu.Lock()
	if !e.up || e.life != life {
		e.mu.Unlock()
		return
	}
	e.up, e.version, e.seq, e.active, e.loadUntil = false, 0, 0, 0, time.Time{}
	server, conns := e.server, e.conns
	e.conns = make(map[net.Conn]struct{})
	e.mu.Unlock()
	at := time.Now()
	e.fleet.record.add("engine %d: crashes as it begins to answer %s", e.number, id)
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
	}
	_ = server.Close() // closes the listener and all connections
	e.onCrash(at, id)
	time.AfterFunc(e.downTime, func() {
		if err := e.begin(); err != nil {
			e.fleet.record.add("engine %d: cannot start again: %v", e.number, err)
			return
		}
		e.fleet.record.add("engine %d: is back", e.number)
		e.register()
	})
}

// heartbeat keeps the entry of the registry. An entry without a heartbeat is removed.
func (e *engine) heartbeat() {
	missed, listed := 0, ""
	for {
		if id := e.register(); id != "" {
			if listed != "" && listed != id {
				e.fleet.store.Remove("servers", listed)
			}
			listed, missed = id, 0
		} else if missed++; missed == missedHeartbeats && listed != "" {
			e.fleet.store.Remove("servers", listed)
			listed = ""
		}
		time.Sleep(heartbeatInterval)
	}
}

// register writes the entry and returns its id; "" if the process is down.
func (e *engine) register() string {
	e.mu.Lock()
	row := platformtest.EndpointRow{Service: e.service, Address: e.address(), Zone: zones[e.number%len(zones)], State: "ready", Slots: e.slots, StartedAt: e.born}
	if e.version > 0 && time.Now().After(e.loadUntil) {
		row.Model, row.Version = e.fleet.weights.Model, int(e.version)
	}
	id, up := e.id, e.up
	e.mu.Unlock()
	if !up {
		return ""
	}
	e.fleet.store.Put("servers", id, row.String())
	return id
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, life int) {
	path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch path {
	case "report":
		e.serveReport(w)
	case "order":
		e.serveOrder(w, r)
	case "stage-put", "stage-get":
		e.serveStaged(w, r)
	default:
		e.serveRequest(w, r, life)
	}
}

func (e *engine) isLoading() bool { return time.Now().Before(e.loadUntil) }

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	document := map[string]any{"stage": "mixed", "busy": e.isLoading(), "seq": e.seq, "born": e.born.UnixMilli(), "active": e.active, "queued": 0, "pace": 1, "models": []any{}}
	if e.version > 0 && !e.isLoading() {
		document["models"] = []map[string]any{{"name": e.fleet.weights.Model, "version": e.version, "adapters": []string{}}}
	}
	_ = json.NewEncoder(w).Encode(document) // the caller may have left
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version      int64 `json:"version"`
		Precondition *int  `json:"precondition"`
		From         *int  `json:"from"`
		To           *int  `json:"to"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	empty := order.From != nil && order.To != nil && *order.From == *order.To
	switch {
	case order.Precondition != nil && *order.Precondition != e.seq:
		w.WriteHeader(http.StatusConflict)
	case empty:
		e.version, e.seq = 0, e.seq+1
		w.WriteHeader(http.StatusAccepted)
	case order.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.version, e.seq, e.loadUntil = order.Version, e.seq+1, time.Now().Add(loadTime)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) serveStaged(w http.ResponseWriter, r *http.Request) {
	chunk, err := strconv.Atoi(r.FormValue("num"))
	raw, readErr := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil && r.Method == http.MethodPut && readErr == nil:
		e.staged[chunk] = raw
	case err == nil && e.staged[chunk] != nil:
		_, _ = w.Write(e.staged[chunk]) // the caller may have left
	case err == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		held := make([]int, 0, len(e.staged))
		for chunk := range e.staged {
			held = append(held, chunk)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
	}
}

// isCrashing reports whether a part of the prompt but the last is the one that crashes engines.
func isCrashing(prompt string) bool {
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == crashingPart {
			return true
		}
	}
	return false
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request, life int) {
	id := r.Header.Get(platformtest.HeaderAttempt)
	body, _ := io.ReadAll(r.Body) // a broken body ends the request anyway
	w.Header().Set(platformtest.HeaderAttempt, id)
	e.mu.Lock()
	misdirected := r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.FormatInt(e.version, 10) {
		misdirected = true
	}
	refused := e.version == 0 || e.isLoading() || e.active >= e.slots
	version := e.version
	if !misdirected && !refused {
		e.active++
	}
	e.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.active, e.slots))
	switch {
	case misdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case refused:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		if e.life == life && e.up {
			e.active--
		}
		e.mu.Unlock()
	}()
	crashing := isCrashing(r.Header.Get(platformtest.HeaderPrompt)) || string(body) == crashingBody
	e.fleet.record.add("engine %d: %s arrives", e.number, id)
	e.onRun(time.Now(), crashing)
	select {
	case <-time.After(readTime):
	case <-r.Context().Done():
		return
	}
	e.onBegin(id)
	w.Header().Set(platformtest.HeaderSignature, "seal-"+e.id)
	w.Header().Set(platformtest.HeaderWeights, strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if crashing && e.crashes.Load() {
		e.crash(life, id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(platformtest.HeaderResume)) // absent at the beginning of a stream
	for event := from + 1; event <= streamEvents; event++ {
		if _, err := io.WriteString(w, platformtest.FormatEvent(event)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
	e.fleet.record.add("engine %d: %s is run to its end", e.number, id)
}
