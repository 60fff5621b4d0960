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

// While a request is written slowly, its server has no answer yet.
func TestAnswerMayBeSilentWhileTheRequestIsWritten(t *testing.T) {
	const size, progress = 40 << 10, 500 * time.Millisecond // some ten writes
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for {
			if _, _, ok := readRequest(reader); !ok {
				return
			}
			writeResponse(conn, "", "ok")
		}
	})
	pool := NewPool()
	pool.ProgressTimeout = progress
	defer pool.Close()
	for range 2 { // the second request reuses the connection, whose deadlines have passed
		left := size
		content := readerFunc(func(buf []byte) (int, error) {
			if left == 0 {
				return 0, io.EOF
			}
			time.Sleep(progress / 4)
			n := min(len(buf), left)
			left -= n
			return n, nil
		})
		response, err := pool.Send(t.Context(), &Request{Address: server.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Content: content, ContentSize: size})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response); err != nil || string(body) != "ok" {
			t.Errorf("body %q, error %v", body, err)
		}
		response.Close()
		time.Sleep(progress + progress/4)
	}
	if accepted := server.accepted.Load(); accepted != 1 {
		t.Errorf("%d connections were opened, want 1", accepted)
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
