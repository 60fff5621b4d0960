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

const testTimeout = 10 * time.Second // for events that must happen

// testServer accepts connections and lets the test handle each of them.
type testServer struct {
	listener net.Listener
	accepted atomic.Int32
}

// newTestServer calls handle for each connection with its number, from 1.
func newTestServer(t *testing.T, handle func(number int, conn net.Conn, reader *bufio.Reader)) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(server.accepted.Add(1))
			go func() {
				defer conn.Close()
				handle(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return server
}

// readRequest reads one request and returns its id and body. ok is false if the connection ended.
func readRequest(reader *bufio.Reader) (id, body string, ok bool) {
	in, err := http.ReadRequest(reader)
	if err != nil {
		return "", "", false
	}
	raw, err := io.ReadAll(in.Body)
	return in.Header.Get("Id"), string(raw), err == nil
}

func sendRequest(t *testing.T, pool *Pool, server *testServer, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := pool.Send(ctx, &Request{
		Address: server.listener.Addr().String(),
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
	defer response.Close()
	raw, err := io.ReadAll(response)
	return string(raw), err
}

func writeResponse(conn net.Conn, id, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+singleDigitLength(body)+"\r\n\r\n"+body)
}

func singleDigitLength(body string) string { return strings.TrimSpace(string(rune('0' + len(body)))) }

func TestConnectionIsReusedAfterCompleteExchange(t *testing.T) {
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, body, ok := readRequest(reader)
			if !ok {
				return
			}
			writeResponse(conn, id, body)
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := sendRequest(t, pool, server, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := server.accepted.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

func TestRefusedConnectionMeansRequestNotSent(t *testing.T) {
	server := newTestServer(t, func(int, net.Conn, *bufio.Reader) {})
	_ = server.listener.Close()
	pool := NewPool()
	if _, err := sendRequest(t, pool, server, "1"); !NotSent(err) {
		t.Errorf("%v is not a NotSentError", err)
	}
}

func TestRequestMayHaveRunAfterConnectionCloses(t *testing.T) {
	server := newTestServer(t, func(_ int, _ net.Conn, reader *bufio.Reader) { readRequest(reader) })
	pool := NewPool()
	if _, err := sendRequest(t, pool, server, "1"); err == nil || NotSent(err) {
		t.Errorf("got %v, want an error other than NotSentError", err)
	}
}

// TestConnectionWithExtraBytesIsNotReused sends a second response after the first. A reused connection would return it
// for the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	server := newTestServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
		for {
			id, body, ok := readRequest(reader)
			if !ok {
				return
			}
			writeResponse(conn, id, body)
			if number == 1 {
				writeResponse(conn, id, "stray")
			}
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2"} {
		if got, err := sendRequest(t, pool, server, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// TestLateResponseToEarlierRequestIsSkipped sends a response to the previous request just before the right one.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		previousID := ""
		for {
			id, body, ok := readRequest(reader)
			if !ok {
				return
			}
			if previousID != "" {
				writeResponse(conn, previousID, "stray")
			}
			writeResponse(conn, id, body)
			previousID = id
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := sendRequest(t, pool, server, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

func TestIdleConnectionClosedByServerIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		id, body, _ := readRequest(reader)
		writeResponse(conn, id, body)
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := sendRequest(t, pool, server, id); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
		<-closed
		waitUntilNoneReusable(pool, server)
	}
}

// waitUntilNoneReusable waits until the close of all idle connections has arrived.
func waitUntilNoneReusable(pool *Pool, server *testServer) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.idle[server.listener.Addr().String()] {
		for c.reusable() {
			time.Sleep(time.Millisecond)
		}
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nshort"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
	} {
		server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = io.WriteString(conn, test.response)
		})
		pool := NewPool()
		if got, err := sendRequest(t, pool, server, "1"); err == nil {
			t.Errorf("%s: %q was read as a complete body", test.name, got)
		}
		pool.Close()
	}
}

// TestUnframedResponseIsCompleteOnlyOnOrderlyClose closes one connection in order and resets another.
func TestUnframedResponseIsCompleteOnlyOnOrderlyClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		read := make(chan struct{})
		server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
			if reset {
				<-read
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		pool := NewPool()
		response, err := pool.Send(context.Background(), &Request{Address: server.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 4)
		if _, err := io.ReadFull(response, first); err != nil {
			t.Fatal(err)
		}
		close(read)
		_, err = response.Read(first)
		if complete := errors.Is(err, io.EOF); complete == reset || response.Framing != Unframed {
			t.Errorf("reset %v: complete %v, framing %s (%v)", reset, complete, response.Framing, err)
		}
		response.Close()
	}
}

// TestEarlyResponseClosesConnection responds before a long body has been read. On a reused connection the server would
// take the rest of the body for a request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	ended := make(chan error, 1)
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		in, err := http.ReadRequest(reader)
		if err != nil {
			ended <- err
			return
		}
		writeResponse(conn, in.Header.Get("Id"), "no")
		_, err = io.Copy(io.Discard, in.Body)
		ended <- err
	})
	pool := NewPool()
	defer pool.Close()
	response, err := pool.Send(context.Background(), &Request{
		Address: server.listener.Addr().String(),
		Method:  http.MethodPost,
		Target:  "/",
		Host:    "a",
		Header:  http.Header{"Id": {"1"}},
		Body:    bytes.Repeat([]byte("x"), 32<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response)
	response.Close()
	if err := <-ended; err == nil {
		t.Error("the rest of the body was sent after the response")
	}
	if pooled := pool.popIdle(server.listener.Addr().String()); pooled != nil {
		t.Error("the connection was returned to the pool")
	}
}

func TestCancelledContextClosesConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	server := newTestServer(t, func(_ int, _ net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		close(arrived)
		_, _ = reader.ReadByte() // blocks until the connection ends
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	pool := NewPool()
	_, err := pool.Send(ctx, &Request{Address: server.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection was not closed after the context was cancelled")
	}
}

func TestPathAndQueryAreSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		in, err := http.ReadRequest(reader)
		if err == nil {
			got <- in.RequestURI
			writeResponse(conn, in.Header.Get("Id"), "ok")
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, target := range []string{"/a/%2F..//b", "/a/?", "/a/?x=%20&y", "//a/b"} {
		response, err := pool.Send(context.Background(), &Request{Address: server.listener.Addr().String(), Method: http.MethodGet, Target: target, Host: "a", Header: http.Header{}, NewConn: true})
		if err != nil {
			t.Fatal(err)
		}
		response.Close()
		if arrived := <-got; arrived != target {
			t.Errorf("%s arrived as %s", target, arrived)
		}
	}
}

// TestNewConnectionsAreNotPooled guards against the fault of incident hbx-lovage: connections of non-idempotent
// requests were pooled but never reused, until the endpoint reached its connection limit and reset new ones.
func TestNewConnectionsAreNotPooled(t *testing.T) {
	open := make(chan int, 64)
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		open <- 1
		defer func() { open <- -1 }()
		for {
			id, body, ok := readRequest(reader)
			if !ok {
				return
			}
			writeResponse(conn, id, body)
		}
	})
	pool := NewPool()
	defer pool.Close()
	for range 8 {
		response, err := pool.Send(context.Background(), &Request{Address: server.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{"Id": {"1"}}, Body: []byte("body"), NewConn: true})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(response)
		response.Close()
	}
	openCount := 0
	for range 16 { // each of the eight connections opens and closes
		select {
		case change := <-open:
			openCount += change
		case <-time.After(testTimeout):
			t.Fatalf("%d connections are still open", openCount)
		}
	}
}
