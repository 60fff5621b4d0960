package ingress

import (
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// phase is what a connection waits for.
type phase int

const (
	phaseIdle    phase = iota // the first byte of a request
	phaseHead                 // the end of a head
	phaseBody                 // the end of a body
	phaseRunning              // the answer; the request has arrived whole
)

// Conn is the account of one connection. All methods accept a nil Conn, which has no limits.
type Conn struct {
	guard  *Guard
	socket Socket

	// Guarded by guard.mu.
	phase    phase
	since    time.Time // of the phase
	deadline time.Time // of the body; zero for the default
	held     int64     // bytes
	caller   string    // to whom the connection is attributed; "" while it is unknown
	answered bool      // a handler has got the request and answers it, or the connection does
	evicting bool      // it is being closed
	refusal  *Refusal  // why its request is refused; nil if it is not

	scanner headScanner // of the goroutine that reads
}

// mayEvict reports whether the connection can be ended without breaking a promise: its request has not arrived whole. The caller holds
// guard.mu.
func (c *Conn) mayEvict() bool { return c.phase != phaseRunning && !c.evicting && c.refusal == nil }

// refuse makes all reads fail with the reason. The caller holds guard.mu.
func (c *Conn) refuse(reason *Refusal) {
	if c.refusal == nil {
		c.refusal = reason
		telemetry.CallerRefused(reason.name)
	}
}

// enter begins a phase. The caller holds guard.mu.
func (c *Conn) enter(next phase) { c.phase, c.since = next, time.Now() }

// lateness returns why a connection has taken too long; nil if it has not. The caller holds guard.mu.
func (c *Conn) lateness(now time.Time, limits Limits, stopAt time.Time) *Refusal {
	took := now.Sub(c.since)
	switch c.phase {
	case phaseIdle:
		if took > limits.IdleTimeout {
			return errTooSlow
		}
		return nil
	case phaseHead:
		if took > limits.HeadTimeout {
			return errTooSlow
		}
	case phaseBody:
		if !c.deadline.IsZero() && now.After(c.deadline) || took > DefaultBodyTimeout {
			return errTooSlow
		}
	}
	if !stopAt.IsZero() && now.After(stopAt) && c.since.Before(stopAt) {
		return errStopping
	}
	return nil
}

// Received accounts for bytes that were read, before the server parses them. It returns why the request is refused, nil if it is not.
func (c *Conn) Received(data []byte) *Refusal {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	refused, reason := c.account(data)
	c.guard.mu.Unlock()
	interrupt(refused)
	return reason
}

func interrupt(refused []*Conn) {
	for _, c := range refused {
		c.socket.Interrupt()
	}
}

// account is Received with guard.mu held.
func (c *Conn) account(data []byte) (refused []*Conn, reason *Refusal) {
	if c.refusal != nil || len(data) == 0 {
		return nil, c.refusal
	}
	if c.phase == phaseIdle {
		c.enter(phaseHead)
		c.scanner = headScanner{}
	}
	var cost int64
	if c.phase == phaseHead {
		cost = c.scanner.scan(data)
		if c.scanner.bytes > c.guard.limits().HeadBytes+headSlack {
			c.refuse(errHeadTooLong)
			return nil, c.refusal
		}
	}
	if cost == 0 {
		return nil, nil
	}
	refused, ok := c.guard.reserve(c, cost)
	if !ok {
		c.refuse(errNoRoom)
		return refused, c.refusal
	}
	if c.scanner.ended {
		c.enter(phaseBody)
	}
	return refused, nil
}

// Refused returns why the connection's request is refused; nil if it is not.
func (c *Conn) Refused() *Refusal {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.refusal
}

// ClaimAnswer returns true if no handler has got the connection's request, so that the connection has to answer it.
func (c *Conn) ClaimAnswer() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	claimed := !c.answered
	c.answered = true
	return claimed
}

// HeadRead records that a handler has got the request with the header. It may have been read together with the request before it.
func (c *Conn) HeadRead(header http.Header) error {
	if c == nil {
		return nil
	}
	cost := connBytes + costOf(header)
	c.ClaimAnswer()
	return c.reserve(func() int64 {
		if c.phase != phaseBody {
			c.enter(phaseBody)
		}
		c.deadline = time.Time{}
		return max(0, cost-c.held)
	})
}

// reserve lets the connection hold as many more bytes as missing returns, or fewer, or refuses its request. It calls missing with
// guard.mu held.
func (c *Conn) reserve(missing func() int64) error {
	c.guard.mu.Lock()
	if c.refusal != nil {
		c.guard.mu.Unlock()
		return c.refusal
	}
	refused, ok := c.guard.reserve(c, missing())
	if !ok {
		c.refuse(errNoRoom)
	}
	c.guard.mu.Unlock()
	interrupt(refused)
	if !ok {
		return errNoRoom
	}
	return nil
}

// Attribute states whose request it is, and by when its body has to arrive; the zero time for the default. It returns an error if the
// caller's connections hold too much together.
func (c *Conn) Attribute(caller string, bodyDeadline time.Time) error {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.deadline = bodyDeadline
	if c.refusal != nil {
		return c.refusal
	}
	c.guard.forgetCaller(c)
	if caller == "" {
		return nil
	}
	if c.held > ordinaryBytes && c.guard.byCaller[caller]+c.held > int64(callerShare*float64(c.guard.options.Memory)) {
		c.refuse(errNoRoom)
		return c.refusal
	}
	c.caller = caller
	c.guard.byCaller[caller] += c.held
	return nil
}

// Arrived records that the request has arrived whole. From then on the connection is not ended. An error states that it was refused
// before.
func (c *Conn) Arrived() error {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.refusal != nil {
		return c.refusal
	}
	c.enter(phaseRunning)
	return nil
}

// reserveBody lets the connection hold more, or less, for a body.
func (c *Conn) reserveBody(bytes int64) error {
	if c == nil {
		return nil
	}
	return c.reserve(func() int64 { return c.guard.options.BodyCopies * bytes })
}

// tryReserve lets the connection hold more if there is room. It refuses nothing if there is none.
func (c *Conn) tryReserve(bytes int64) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.guard.held+bytes > c.guard.options.Memory {
		return false
	}
	c.guard.hold(c, bytes)
	return true
}

// release gives back what tryReserve took. The connection may hold less, if the first part was not reserved.
func (c *Conn) release(bytes int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.hold(c, -min(bytes, c.held))
}

// Idle records that the request has been answered, and releases what it held.
func (c *Conn) Idle() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if _, open := c.guard.conns[c]; !open {
		return
	}
	c.guard.hold(c, connBytes-c.held)
	c.guard.forgetCaller(c)
	c.deadline, c.answered = time.Time{}, false
	c.enter(phaseIdle)
}

// Closed records the end of the connection.
func (c *Conn) Closed() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.release(c)
}
