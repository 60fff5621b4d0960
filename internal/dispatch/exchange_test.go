package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const patience = 10 * time.Second // of a test for something that has to happen

// backEnd accepts connections and lets the test talk on each.
type backEnd struct {
	listener net.Listener
	accepted atomic.Int32
}

// newBackEnd serves each connection with talk, which gets the number of the connection, from 1.
func newBackEnd(t *testing.T, talk func(number int, conn net.Conn, reader *bufio.Reader)) *backEnd {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backEnd{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(b.accepted.Add(1))
			go func() {
				defer conn.Close()
				talk(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return b
}

// request reads one request, and returns its id and body; ok is false at the connection's end.
func request(reader *bufio.Reader) (id, body string, ok bool) {
	in, err := http.ReadRequest(reader)
	if err != nil {
		return "", "", false
	}
	raw, err := io.ReadAll(in.Body)
	return in.Header.Get("Id"), string(raw), err == nil
}

func send(t *testing.T, pool *Pool, b *backEnd, id string) (string, error) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	answer, err := pool.Send(ctx, &Request{
		Address: b.listener.Addr().String(),
		Method:  http.MethodPost,
		Target:  "/path?q=1",
		Host:    "a.example",
		Header:  http.Header{"Id": {id}},
		Body:    []byte("body"),
		Matches: func(header http.Header) bool { return header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	raw, err := io.ReadAll(answer)
	return string(raw), err
}

func respond(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+lengthOf(body)+"\r\n\r\n"+body)
}

func lengthOf(body string) string { return strings.TrimSpace(string(rune('0' + len(body)))) }

func TestWholeExchangesShareAConnection(t *testing.T) {
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, body, ok := request(reader)
			if !ok {
				return
			}
			respond(conn, id, body)
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := send(t, pool, b, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := b.accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

func TestARefusedConnectionMeansNotSent(t *testing.T) {
	b := newBackEnd(t, func(int, net.Conn, *bufio.Reader) {})
	_ = b.listener.Close()
	pool := NewPool()
	if _, err := send(t, pool, b, "1"); !NotSent(err) {
		t.Errorf("%v does not say that nothing was sent", err)
	}
}

func TestAConnectionThatEndsAfterTheRequestProvesNothing(t *testing.T) {
	b := newBackEnd(t, func(_ int, _ net.Conn, reader *bufio.Reader) { request(reader) })
	pool := NewPool()
	if _, err := send(t, pool, b, "1"); err == nil || NotSent(err) {
		t.Errorf("%v claims that nothing was sent", err)
	}
}

// TestBytesLeftOverEndTheConnection lets the back end send a second answer after the first.
func TestBytesLeftOverEndTheConnection(t *testing.T) {
	b := newBackEnd(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, body, ok := request(reader)
			if !ok {
				return
			}
			respond(conn, id, body)
			if number == 1 {
				respond(conn, id, "stray")
			}
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := send(t, pool, b, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// TestALateAnswerToAnotherRequestIsPassedOver lets it arrive just before the wanted one.
func TestALateAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		before := ""
		for {
			id, body, ok := request(reader)
			if !ok {
				return
			}
			if before != "" {
				respond(conn, before, "stray")
			}
			respond(conn, id, body)
			before = id
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := send(t, pool, b, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

func TestAKeptConnectionThatWasClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, body, _ := request(reader)
		respond(conn, id, body)
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := send(t, pool, b, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
		<-closed
		waitUntilNoneIsQuiet(pool, b)
	}
}

// waitUntilNoneIsQuiet waits until the close of the kept connections has arrived.
func waitUntilNoneIsQuiet(pool *Pool, b *backEnd) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.idle[b.listener.Addr().String()] {
		for c.quiet() {
			time.Sleep(time.Millisecond)
		}
	}
}

func TestATruncatedAnswerIsAnError(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nshort"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
	} {
		b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			request(reader)
			_, _ = io.WriteString(conn, test.answer)
		})
		pool := NewPool()
		if got, err := send(t, pool, b, "1"); err == nil {
			t.Errorf("%s: %q passes for whole", test.name, got)
		}
		pool.Close()
	}
}

// TestAnUnframedAnswerIsWholeOnlyIfItsConnectionEndsInOrder ends one in order and resets one.
func TestAnUnframedAnswerIsWholeOnlyIfItsConnectionEndsInOrder(t *testing.T) {
	for _, reset := range []bool{false, true} {
		read := make(chan struct{})
		b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			request(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
			if reset {
				<-read
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		pool := NewPool()
		answer, err := pool.Send(context.Background(), &Request{Address: b.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 4)
		if _, err := io.ReadFull(answer, first); err != nil {
			t.Fatal(err)
		}
		close(read)
		_, err = answer.Read(first)
		if whole := errors.Is(err, io.EOF); whole == reset || answer.Framed {
			t.Errorf("reset %v: whole %v, framed %v (%v)", reset, whole, answer.Framed, err)
		}
		answer.Close()
	}
}

// TestAnEarlyAnswerEndsTheConnection answers before a long body is read, and would take the rest for a request.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		in, err := http.ReadRequest(reader)
		if err != nil {
			ended <- err
			return
		}
		respond(conn, in.Header.Get("Id"), "no")
		_, err = io.Copy(io.Discard, in.Body)
		ended <- err
	})
	pool := NewPool()
	defer pool.Close()
	answer, err := pool.Send(context.Background(), &Request{
		Address: b.listener.Addr().String(),
		Method:  http.MethodPost,
		Target:  "/",
		Host:    "a",
		Header:  http.Header{"Id": {"1"}},
		Body:    bytes.Repeat([]byte("x"), 32<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(answer)
	answer.Close()
	if err := <-ended; err == nil {
		t.Error("the rest of the body was sent after the answer")
	}
	if kept := pool.pop(b.listener.Addr().String()); kept != nil {
		t.Error("the connection was kept")
	}
}

func TestACallerThatLeavesClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	b := newBackEnd(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		request(reader)
		close(arrived)
		_, _ = reader.ReadByte() // until the connection ends
		close(closed)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-arrived
		leave()
	}()
	pool := NewPool()
	_, err := pool.Send(ctx, &Request{Address: b.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("the back end still works for a caller that has gone")
	}
}

func TestPathAndQueryArriveUnchanged(t *testing.T) {
	got := make(chan string, 1)
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		in, err := http.ReadRequest(reader)
		if err == nil {
			got <- in.RequestURI
			respond(conn, in.Header.Get("Id"), "ok")
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, target := range []string{"/a/%2F..//b", "/a/?", "/a/?x=%20&y", "//a/b"} {
		answer, err := pool.Send(context.Background(), &Request{Address: b.listener.Addr().String(), Method: http.MethodGet, Target: target, Host: "a", Header: http.Header{}, Fresh: true})
		if err != nil {
			t.Fatal(err)
		}
		answer.Close()
		if arrived := <-got; arrived != target {
			t.Errorf("%s arrived as %s", target, arrived)
		}
	}
}

// TestFreshConnectionsAreNotKept plays the incident of hbx-lovage: connections of requests that may run once piled up
// until the endpoint reset new ones for being over its limit.
func TestFreshConnectionsAreNotKept(t *testing.T) {
	open := make(chan int, 64)
	b := newBackEnd(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		open <- 1
		defer func() { open <- -1 }()
		for {
			id, body, ok := request(reader)
			if !ok {
				return
			}
			respond(conn, id, body)
		}
	})
	pool := NewPool()
	defer pool.Close()
	for range 8 {
		answer, err := pool.Send(context.Background(), &Request{Address: b.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{"Id": {"1"}}, Body: []byte("body"), Fresh: true})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(answer)
		answer.Close()
	}
	sum := 0
	for range 16 { // each of the eight connections opens and closes
		select {
		case change := <-open:
			sum += change
		case <-time.After(patience):
			t.Fatalf("%d connections are still open", sum)
		}
	}
}
