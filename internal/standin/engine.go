package standin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
)

// Engine is a fake model engine. It answers a chat completion with a stream of numbered tokens.
type Engine struct {
	mu            sync.Mutex
	state         backend.EngineState
	faults        EngineFaults
	peakRunning   int
	tokens        int
	tokenInterval time.Duration
}

// EngineFaults selects the faults to inject. A test sets them with PUT /faults.
type EngineFaults struct {
	IgnoreFences  bool `json:"ignore_fences"`   // obey orders with an old fencing number
	LoadOther     bool `json:"load_other"`      // load another version than ordered
	LoadWrong     bool `json:"load_wrong"`      // report the ordered version with other contents than the order carried
	LoadDelayMS   int  `json:"load_delay_ms"`   // duration of a load in milliseconds
	CutAfter      int  `json:"cut_after"`       // tokens after which a stream ends without its end marker, 0 for never
	StallAfter    int  `json:"stall_after"`     // tokens after which a stream stalls, 0 for never
	CrashAboveRun int  `json:"crash_above_run"` // concurrent requests above which further ones fail, 0 for no limit
}

// NewEngine returns an engine that answers with the given number of tokens, one every tokenInterval. No version is loaded.
func NewEngine(tokens int, tokenInterval time.Duration) *Engine {
	return &Engine{tokens: tokens, tokenInterval: tokenInterval, state: backend.EngineState{Incarnation: core.NewID()}}
}

// App returns the engine's HTTP handler.
func (e *Engine) App() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: bodyLimit})
	app.Put("/faults", e.putFaults)
	app.Post("/admin/load", e.delayLoad, e.fenced((*Engine).load))
	app.Post("/admin/unload", e.fenced((*Engine).unload))
	app.Post("/admin/adapter", e.fenced((*Engine).loadAdapter))
	app.Post("/admin/role", e.fenced((*Engine).setRole))
	app.Get("/admin/state", e.getState)
	app.Post("/admin/restart", e.restart)
	app.Post("/v1/chat/completions", e.complete)
	return app
}

func (e *Engine) putFaults(c fiber.Ctx) error {
	var faults EngineFaults
	if err := json.Unmarshal(c.Body(), &faults); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	return nil
}

// fenced returns a handler that applies an order to the engine's state. It answers an order with 409 Conflict if its fencing
// number is not higher than the last one.
func (e *Engine) fenced(change func(*Engine, fiber.Ctx)) fiber.Handler {
	return func(c fiber.Ctx) error {
		number, err := strconv.ParseUint(c.Get("X-Fence"), 10, 64)
		if err != nil {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		fence := core.FenceNumber(number)
		e.mu.Lock()
		defer e.mu.Unlock()
		if fence <= e.state.Fence && !e.faults.IgnoreFences {
			return c.SendStatus(fiber.StatusConflict)
		}
		e.state.Fence = fence
		change(e, c)
		return nil
	}
}

// delayLoad delays a load as EngineFaults.LoadDelayMS says.
func (e *Engine) delayLoad(c fiber.Ctx) error {
	e.mu.Lock()
	delay := time.Duration(e.faults.LoadDelayMS) * time.Millisecond
	e.mu.Unlock()
	time.Sleep(delay)
	return c.Next()
}

func (e *Engine) load(c fiber.Ctx) {
	sum := sha256.Sum256(c.Body())
	e.state.Version = core.VersionID(strings.Clone(c.Get("X-Version")))
	e.state.Adapters = nil
	if e.faults.LoadOther {
		e.state.Version = "other"
	}
	e.state.WeightsSHA256 = hex.EncodeToString(sum[:])
	if e.faults.LoadWrong {
		e.state.WeightsSHA256 = hex.EncodeToString(make([]byte, sha256.Size))
	}
}

func (e *Engine) unload(fiber.Ctx) {
	e.state.Version = ""
	e.state.WeightsSHA256 = ""
	e.state.Adapters = nil
}

func (e *Engine) loadAdapter(c fiber.Ctx) {
	e.state.Adapters = append(e.state.Adapters, strings.Clone(c.Get("X-Adapter")))
}

func (e *Engine) setRole(c fiber.Ctx) {
	e.state.Role = backend.EngineRole(strings.Clone(c.Get("X-Role")))
}

func (e *Engine) getState(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.state)
}

func (e *Engine) restart(fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = backend.EngineState{Incarnation: core.NewID()}
	return nil
}

func (e *Engine) complete(c fiber.Ctx) error {
	version, faults, ok := e.beginRequest()
	if !ok {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.endRequest()
		for i := range e.tokens {
			if faults.CutAfter > 0 && i == faults.CutAfter {
				return
			}
			if faults.StallAfter > 0 && i == faults.StallAfter {
				time.Sleep(time.Hour)
			}
			_, _ = fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", version, i)
			if w.Flush() != nil {
				return
			}
			time.Sleep(e.tokenInterval)
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	})
}

func (e *Engine) beginRequest() (core.VersionID, EngineFaults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Version == "" {
		return "", e.faults, false
	}
	if e.faults.CrashAboveRun > 0 && e.state.Running >= e.faults.CrashAboveRun {
		return "", e.faults, false
	}
	e.state.Running++
	e.peakRunning = max(e.peakRunning, e.state.Running)
	return e.state.Version, e.faults, true
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Running--
}
