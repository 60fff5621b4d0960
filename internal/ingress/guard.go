// Package ingress bounds what the clients of a server hold of its process: connections, and memory for the heads and bodies of
// requests that have not been answered yet. A server whose bound is reached refuses or closes the connections that hold most, as long
// as their requests have not arrived whole, so that callers who send ordinary requests are refused last.
package ingress

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Options of a Guard.
type Options struct {
	Memory      int64         // bytes that all connections may hold together
	Connections int           // that may be open
	BodyCopies  int64         // that the process holds of a body while it serves the request; 0 for one
	Limits      func() Limits // in force; nil for the defaults
	// SocketBytes is what the system keeps of a connection in each direction, which is part of the machine's memory too; 0 leaves it
	// to the system, which keeps some megabytes.
	SocketBytes int
}

// Limits bound what one client sends and how long it takes. The default stands for a limit of 0.
type Limits struct {
	HeadBytes   int           // of a request, up to its body
	HeadTimeout time.Duration // from the first byte of a head to its last
	IdleTimeout time.Duration // between requests, and until the first
}

// The default limits.
const (
	DefaultHeadBytes   = 64 << 10
	DefaultHeadTimeout = 5 * time.Second
	DefaultIdleTimeout = 60 * time.Second
	// DefaultBodyTimeout is the longest time that a body may take.
	DefaultBodyTimeout = 30 * time.Second
)

const (
	// headSlack is allowed beyond the limit of a head, since a server reads ahead and clients count different parts of a head.
	headSlack = 4 << 10
	// connBytes is what a connection costs without a request: its goroutine and its buffers.
	connBytes = 16 << 10
	// lineBytes is what a header line costs beside its bytes: entries of the maps in which it is parsed, forwarded and sent.
	lineBytes = 384
	// headCopies is the number of copies of a head's bytes that are held at a time.
	headCopies = 3
	// ordinaryBytes is what a connection with an ordinary request holds. Connections with more leave a part of the memory free.
	ordinaryBytes  = 64 << 10
	ordinaryShare  = 0.25 // of the memory
	callerShare    = 0.5  // of the memory, which the connections of one caller may hold together
	sweepInterval  = time.Second
	maxEvictions   = 64 // connections that one that needs room may end at a time
	evictionsToTry = 8  // idle connections that are tried when the connections are used up; a request may just have arrived on one
)

// Socket is the connection that a Conn accounts for.
type Socket interface {
	CloseIdle() bool // closes it unless bytes of a request have arrived
	Interrupt()      // ends a read under way and all later ones
}

// Guard accounts for the connections of a server. It is safe for concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	held     int64 // bytes, of all connections
	byCaller map[string]int64
	stopAt   time.Time // requests that began to arrive before and have not arrived by then are refused; zero without a stop
}

// NewGuard returns a guard without connections.
func NewGuard(options Options) *Guard {
	options.BodyCopies = max(1, options.BodyCopies)
	return &Guard{options: options, conns: make(map[*Conn]struct{}), byCaller: make(map[string]int64)}
}

// SocketBytes returns the size of the buffers of a connection in the system; 0 for the system's own.
func (g *Guard) SocketBytes() int { return g.options.SocketBytes }

func (g *Guard) limits() Limits {
	var limits Limits
	if g.options.Limits != nil {
		limits = g.options.Limits()
	}
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = DefaultHeadBytes
	}
	if limits.HeadTimeout <= 0 {
		limits.HeadTimeout = DefaultHeadTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = DefaultIdleTimeout
	}
	return limits
}

// Accept returns the account of a new connection, or nil if there is no room for it. It makes room by closing the connection that has
// been without a whole request for longest.
func (g *Guard) Accept(socket Socket) *Conn {
	c := &Conn{guard: g, socket: socket, since: time.Now()}
	for range evictionsToTry {
		oldest, added := g.add(c)
		if added {
			return c
		}
		if oldest == nil {
			break
		}
		g.closeUnread(oldest)
	}
	telemetry.CallerRefused("connection not accepted")
	return nil
}

// add adds the connection if there is room. If there is none, it returns the connection to close for it, nil if there is none.
func (g *Guard) add(c *Conn) (oldest *Conn, added bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < g.options.Connections && g.held+connBytes <= g.options.Memory {
		g.conns[c] = struct{}{}
		g.hold(c, connBytes)
		return nil, true
	}
	for other := range g.conns {
		if other.mayEvict() && (oldest == nil || other.since.Before(oldest.since)) {
			oldest = other
		}
	}
	if oldest != nil {
		oldest.evicting = true
	}
	return oldest, false
}

// closeUnread closes a connection whose request has not arrived whole. A connection that was idle gets its chance if a request has
// arrived meanwhile.
func (g *Guard) closeUnread(c *Conn) {
	g.mu.Lock()
	idle := c.phase == phaseIdle
	g.mu.Unlock()
	if idle && !c.socket.CloseIdle() {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.evicting, c.since = false, time.Now()
		return
	}
	g.mu.Lock()
	c.refuse(errNoRoom)
	g.release(c)
	g.mu.Unlock()
	if !idle {
		c.socket.Interrupt()
	}
}

// hold adds to what the connection holds. The caller holds g.mu.
func (g *Guard) hold(c *Conn, bytes int64) {
	c.held += bytes
	g.held += bytes
	if c.caller != "" {
		g.byCaller[c.caller] += bytes
	}
}

// release takes the connection off the accounts. The caller holds g.mu.
func (g *Guard) release(c *Conn) {
	if _, open := g.conns[c]; !open {
		return
	}
	g.hold(c, -c.held)
	g.forgetCaller(c)
	delete(g.conns, c)
}

// forgetCaller ends the attribution of the connection to its caller. The caller holds g.mu.
func (g *Guard) forgetCaller(c *Conn) {
	if c.caller == "" {
		return
	}
	if g.byCaller[c.caller] -= c.held; g.byCaller[c.caller] <= 0 {
		delete(g.byCaller, c.caller)
	}
	c.caller = ""
}

// reserve lets the connection hold more, if need be by refusing incomplete requests that hold more than it. It returns the connections
// to interrupt after g.mu is released. The caller holds g.mu.
func (g *Guard) reserve(c *Conn, bytes int64) (refused []*Conn, ok bool) {
	if bytes <= 0 {
		g.hold(c, bytes)
		return nil, true
	}
	total, ceiling := c.held+bytes, g.options.Memory
	if total > ordinaryBytes {
		ceiling -= int64(ordinaryShare * float64(ceiling))
	}
	if c.caller != "" && g.byCaller[c.caller]+bytes > int64(callerShare*float64(g.options.Memory)) {
		return nil, false
	}
	for g.held+bytes > ceiling {
		largest := g.largestUnread(total)
		if largest == nil || len(refused) == maxEvictions {
			return refused, false
		}
		largest.refuse(errNoRoom)
		g.hold(largest, connBytes-largest.held)
		refused = append(refused, largest)
	}
	g.hold(c, bytes)
	return refused, true
}

// largestUnread returns the connection with an incomplete request that holds most, if that is more than the bytes. The caller holds
// g.mu.
func (g *Guard) largestUnread(bytes int64) *Conn {
	var largest *Conn
	for c := range g.conns {
		if c.held > bytes && c.phase != phaseIdle && c.mayEvict() {
			largest, bytes = c, c.held
		}
	}
	return largest
}

// Stop makes the guard refuse requests that have begun to arrive and have not arrived by the time, so that they do not hold up a
// planned stop.
func (g *Guard) Stop(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAt = at
}

// Run ends connections whose clients take too long, until done is closed.
func (g *Guard) Run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

// sweep ends the connections whose clients have taken too long.
func (g *Guard) sweep(now time.Time) {
	limits := g.limits()
	var idle, late []*Conn
	g.mu.Lock()
	for c := range g.conns {
		if !c.mayEvict() {
			continue
		}
		switch reason := c.lateness(now, limits, g.stopAt); {
		case reason == nil:
		case c.phase == phaseIdle:
			c.evicting = true
			idle = append(idle, c)
		default:
			c.refuse(reason)
			late = append(late, c)
		}
	}
	g.mu.Unlock()
	for _, c := range idle {
		g.closeUnread(c)
	}
	for _, c := range late {
		c.socket.Interrupt()
	}
}

// Held returns the connections and the bytes that clients hold.
func (g *Guard) Held() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.held
}
