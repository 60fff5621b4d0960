package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

const shortProgress = 100 * time.Millisecond

func TestExchangeWithoutProgressEnds(t *testing.T) {
	for name, part := range map[string]string{"no head": "", "a part of a head": "HTTP/1.1 200 OK\r\nA", "a part of a body": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npa"} {
		release := make(chan struct{})
		server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = io.WriteString(conn, part)
			<-release
		})
		pool := NewPool()
		pool.ProgressTimeout = shortProgress
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		response, err := pool.Send(ctx, &Request{Address: server.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
		if err == nil {
			_, err = io.ReadAll(response)
			response.Close()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil || NotSent(err) {
			t.Errorf("%s: %v, want the end of the time without progress", name, err)
		}
		cancel()
		close(release)
	}
}

// A server that reads a long request slowly has no answer yet.
func TestAnswerMayBeSilentWhileTheRequestIsWritten(t *testing.T) {
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for err == nil {
			_, err = io.CopyN(io.Discard, in.Body, 1<<20)
			time.Sleep(shortProgress / 3)
		}
		writeResponse(conn, "", "ok")
	})
	pool := NewPool()
	pool.ProgressTimeout = shortProgress
	defer pool.Close()
	for range 2 { // the second request may reuse the connection, whose deadlines have passed
		if body, err := sendBody(t, pool, server, 12<<20); err != nil || body != "ok" {
			t.Errorf("body %q, error %v", body, err)
		}
		time.Sleep(2 * shortProgress)
	}
}

func TestExchangesWithAnAddressAreBounded(t *testing.T) {
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			if _, _, ok := readRequest(reader); !ok {
				return
			}
			writeResponse(conn, "", "ok")
		}
	})
	pool := NewPool()
	pool.MaxOpen = 2
	defer pool.Close()
	send := func() (*Response, error) {
		return pool.Send(t.Context(), &Request{Address: server.listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
	}
	for range 3 {
		first, err1 := send()
		second, err2 := send()
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		if _, err := send(); !NotSent(err) || !errors.Is(err, errTooManyOpen) {
			t.Errorf("a third exchange: %v", err)
		}
		drain(t, first)
		drain(t, second)
	}
}
