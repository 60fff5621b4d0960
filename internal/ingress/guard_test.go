package ingress

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fakeSocket records what a guard does to it.
type fakeSocket struct {
	requestArrived bool // a request has arrived that nobody has read
	closed         bool
	interrupted    bool
}

func (s *fakeSocket) CloseIdle() bool {
	s.closed = s.closed || !s.requestArrived
	return s.closed
}

func (s *fakeSocket) Interrupt() { s.interrupted = true }

type client struct {
	*Conn
	socket *fakeSocket
}

func accept(t *testing.T, g *Guard) client {
	t.Helper()
	socket := &fakeSocket{}
	c := g.Accept(socket)
	if c == nil {
		t.Fatal("the connection was not accepted")
	}
	return client{c, socket}
}

// sendBody makes the client hold a body of which so many bytes have arrived and more are due.
func (c client) sendBody(t *testing.T, bytes int64) {
	t.Helper()
	if refusal := c.Received([]byte("POST / HTTP/1.1\r\n\r\n")); refusal != nil {
		t.Fatal(refusal)
	}
	if err := c.HeadRead(http.Header{}); err != nil {
		t.Fatal(err)
	}
	if err := c.reserveBody(bytes); err != nil {
		t.Fatal(err)
	}
}

const testMemory = 10 << 20

func newTestGuard() *Guard { return NewGuard(Options{Memory: testMemory, Connections: 4}) }

func TestOldestConnectionWithoutARequestMakesRoom(t *testing.T) {
	g := newTestGuard()
	clients := []client{accept(t, g), accept(t, g), accept(t, g), accept(t, g)}
	clients[0].since = time.Now().Add(-time.Minute)
	_ = clients[0].Arrived() // it runs
	clients[2].since = time.Now().Add(-time.Second)
	accept(t, g)
	for i, c := range clients {
		if c.socket.closed != (i == 2) {
			t.Errorf("connection %d: closed is %v", i, c.socket.closed)
		}
	}
}

func TestRequestThatHasJustArrivedKeepsItsConnection(t *testing.T) {
	g := newTestGuard()
	clients := []client{accept(t, g), accept(t, g), accept(t, g), accept(t, g)}
	for i, c := range clients {
		c.socket.requestArrived = i != 3
		c.since = time.Now().Add(-time.Minute)
	}
	accept(t, g)
	if clients[0].socket.closed || !clients[3].socket.closed {
		t.Error("a connection was closed on which a request had arrived, or no other")
	}
}

func TestConnectionIsNotAcceptedWhileAllRun(t *testing.T) {
	g := newTestGuard()
	for range 4 {
		_ = accept(t, g).Arrived()
	}
	if g.Accept(&fakeSocket{}) != nil {
		t.Error("a connection was accepted beyond the bound")
	}
}

func TestLargestIncompleteRequestIsRefusedFirst(t *testing.T) {
	g := newTestGuard()
	large, small, ordinary := accept(t, g), accept(t, g), accept(t, g)
	large.sendBody(t, 5<<20)
	small.sendBody(t, 2<<20)
	ordinary.sendBody(t, 3<<20) // 10 MB are more than three quarters of the memory
	if !large.socket.interrupted || small.socket.interrupted || ordinary.Refused() != nil {
		t.Error("not the largest request was refused")
	}
	var refusal *Refusal
	if err := large.reserveBody(1); !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable {
		t.Errorf("the large request goes on with error %v", err)
	}
	if err := large.Arrived(); err == nil {
		t.Error("a refused request may run")
	}
}

func TestRequestThatHasArrivedIsNotRefused(t *testing.T) {
	g := newTestGuard()
	running, later := accept(t, g), accept(t, g)
	running.sendBody(t, 7<<20)
	if err := running.Arrived(); err != nil {
		t.Fatal(err)
	}
	later.sendBody(t, 10<<10)
	if err := later.reserveBody(1 << 20); err == nil {
		t.Error("a request takes memory that there is not")
	}
	if running.socket.interrupted || running.Refused() != nil {
		t.Error("a request that runs was refused")
	}
}

func TestOrdinaryRequestFindsRoomBesideLargeOnes(t *testing.T) {
	g := newTestGuard()
	for range 2 {
		c := accept(t, g)
		c.sendBody(t, 3<<20)
		_ = c.Arrived()
	}
	large := accept(t, g)
	large.sendBody(t, 10<<10)
	if err := large.reserveBody(2 << 20); err == nil {
		t.Error("a large request takes the room of ordinary ones")
	}
	accept(t, g).sendBody(t, 20<<10)
}

func TestConnectionsOfOneCallerShareABound(t *testing.T) {
	g := newTestGuard()
	var last error
	for range 3 {
		c := accept(t, g)
		c.sendBody(t, 1<<10)
		if err := c.Attribute("a", time.Time{}); err != nil {
			t.Fatal(err)
		}
		last = c.reserveBody(2 << 20)
	}
	if last == nil {
		t.Error("one caller holds more than half of the memory")
	}
	other := accept(t, g)
	other.sendBody(t, 1<<10)
	if err := errors.Join(other.Attribute("b", time.Time{}), other.reserveBody(2<<20)); err != nil {
		t.Error("another caller is refused: ", err)
	}
}

func TestAccountsAreEmptyAfterAllConnectionsEnd(t *testing.T) {
	g := newTestGuard()
	var clients []client
	for _, caller := range []string{"a", "", "b", "a"} {
		c := accept(t, g)
		c.sendBody(t, 2<<20)
		_ = c.Attribute(caller, time.Time{})
		_ = c.reserveBody(100)
		clients = append(clients, c)
	}
	clients[0].Idle()
	g.Accept(&fakeSocket{}) // may close one
	for _, c := range clients {
		c.Closed()
		c.Closed()
	}
	for c := range g.conns {
		c.Closed()
	}
	if connections, bytes := g.Held(); connections != 0 || bytes != 0 || len(g.byCaller) != 0 {
		t.Errorf("%d connections, %d bytes and %d callers are left", connections, bytes, len(g.byCaller))
	}
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	g := NewGuard(Options{Memory: testMemory, Connections: 4, Limits: func() Limits { return Limits{HeadBytes: 16_384} }})
	for _, size := range []int{16_000, 30_000} {
		c := accept(t, g)
		var refusal *Refusal
		for head := "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", size/6); head != "" && refusal == nil; head = head[min(1000, len(head)):] {
			refusal = c.Received([]byte(head[:min(1000, len(head))]))
		}
		if tooLong := size > 16_384; tooLong != (refusal == errHeadTooLong) {
			t.Errorf("a head of %d bytes gets %v", size, refusal)
		}
		c.Closed()
	}
}

func TestClientsThatTakeTooLongAreEnded(t *testing.T) {
	limits := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	g := NewGuard(Options{Memory: testMemory, Connections: 8, Limits: func() Limits { return limits }})
	head, body, own, idle, running := accept(t, g), accept(t, g), accept(t, g), accept(t, g), accept(t, g)
	_ = head.Received([]byte("GET"))
	body.sendBody(t, 1)
	own.sendBody(t, 1)
	_ = own.Attribute("", time.Now().Add(time.Second))
	_ = running.Arrived()
	now := time.Now()
	g.sweep(now.Add(2 * time.Second))
	if !own.socket.interrupted || head.socket.interrupted || body.socket.interrupted || idle.socket.closed {
		t.Error("after 2 s, not only the body with an earlier deadline was refused")
	}
	g.sweep(now.Add(4 * time.Second))
	if head.Refused() != errTooSlow || body.socket.interrupted || idle.socket.closed {
		t.Error("after 4 s, the head is not refused, or more than that")
	}
	g.sweep(now.Add(16 * time.Second))
	if !idle.socket.closed || body.socket.interrupted {
		t.Error("after 16 s, the idle connection is open, or a body was refused")
	}
	g.sweep(now.Add(time.Minute))
	if body.Refused() != errTooSlow || running.Refused() != nil {
		t.Error("after a minute, the body is not refused, or a running request is")
	}
}

func TestStopRefusesRequestsThatDoNotArrive(t *testing.T) {
	g := newTestGuard()
	before, running, after := accept(t, g), accept(t, g), accept(t, g)
	before.sendBody(t, 1)
	_ = running.Arrived()
	after.sendBody(t, 1)
	at := time.Now().Add(time.Second)
	g.Stop(at)
	after.since = at.Add(time.Millisecond)
	g.sweep(at.Add(time.Second))
	if before.Refused() != errStopping || running.Refused() != nil || after.Refused() != nil {
		t.Error("not only the request that had begun to arrive before the stop is refused")
	}
}

func TestBodyTakesRoomAsItArrives(t *testing.T) {
	const limit = 3 << 20
	for _, test := range []struct {
		sent, length int64
		want         error
	}{
		{sent: 0, length: -1},
		{sent: 5, length: 5},
		{sent: limit, length: limit},
		{sent: limit, length: -1},
		{sent: 100_000, length: -1},
		{sent: limit + 1, length: -1, want: ErrBodyTooLong},
		{sent: 10, length: limit + 1, want: ErrBodyTooLong},
		{sent: 10, length: limit, want: io.ErrUnexpectedEOF},
	} {
		g := NewGuard(Options{Memory: 20 << 20, Connections: 1})
		c := accept(t, g)
		c.sendBody(t, 0)
		_, before := g.Held()
		body, err := c.ReadBody(strings.NewReader(strings.Repeat("b", int(test.sent))), test.length, limit)
		if !errors.Is(err, test.want) || err == nil && int64(len(body)) != test.sent {
			t.Errorf("%d bytes, stated %d: read %d, error %v", test.sent, test.length, len(body), err)
		}
		if _, held := g.Held(); err == nil && held-before != int64(cap(body)) {
			t.Errorf("%d bytes, stated %d: %d are accounted for, the body takes %d", test.sent, test.length, held-before, cap(body))
		}
	}
}

func TestStatedLengthTakesNoRoom(t *testing.T) {
	g := newTestGuard()
	c := accept(t, g)
	c.sendBody(t, 0)
	_, err := c.ReadBody(strings.NewReader("b"), 4<<20, 0)
	if _, held := g.Held(); err == nil || held > 64<<10 {
		t.Errorf("%d bytes are held for one that has arrived, error %v", held, err)
	}
}

func TestAnswerIsKeptAsFarAsThereIsRoom(t *testing.T) {
	const limit = 256 << 10
	answer := strings.Repeat("a", limit)
	g := newTestGuard()
	c := accept(t, g)
	_ = c.Arrived()
	if begin, more, err := c.ReadAnswer(strings.NewReader(answer[:limit-1]), limit); len(begin) != limit-1 || more || err != nil {
		t.Errorf("read %d bytes, more %v, error %v of a whole answer", len(begin), more, err)
	}
	if begin, more, _ := c.ReadAnswer(strings.NewReader(answer+"more"), limit); len(begin) != limit || !more {
		t.Errorf("read %d bytes, more %v of a longer answer", len(begin), more)
	}
	if !c.tryReserve(testMemory - g.held) {
		t.Fatal("no room")
	}
	if begin, more, err := c.ReadAnswer(strings.NewReader(answer), limit); len(begin) == 0 || len(begin) == limit || !more || err != nil {
		t.Errorf("read %d bytes, more %v, error %v without room", len(begin), more, err)
	}
}
