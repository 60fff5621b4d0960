package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/response"
)

// serveEndlessly accepts connections, writes the prefix and then the repeated text until the peer closes.
func serveEndlessly(t *testing.T, prefix, repeated string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			peer, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer peer.Close()
				text := strings.Repeat(repeated, 1+16<<10/len(repeated))
				for _, err := io.WriteString(peer, prefix); err == nil; _, err = io.WriteString(peer, text) {
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestHeadWithoutEndIsBrokenOff(t *testing.T) {
	for name, server := range map[string]struct{ prefix, repeated string }{
		"a status line": {"", "x"},
		"a header line": {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"1xx responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		pool := NewPool()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		answer, err := pool.Send(ctx, &Request{Address: serveEndlessly(t, server.prefix, server.repeated), Method: "GET", Target: "/"})
		cancel()
		if err == nil {
			answer.Close()
			t.Errorf("%s without end: a response with status %d", name, answer.Status)
			continue
		}
		if !errors.Is(err, response.ErrTooLong) || NotSent(err) {
			t.Errorf("%s without end: %v, want response.ErrTooLong", name, err)
		}
	}
}

// The limit of the head does not bound the body.
func TestBodyLongerThanTheHeadLimitIsRead(t *testing.T) {
	pool := NewPool()
	address := serveEndlessly(t, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n", "x")
	answer, err := pool.Send(t.Context(), &Request{Address: address, Method: "GET", Target: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if body, err := io.ReadAll(answer); err != nil || len(body) != 3_000_000 {
		t.Errorf("%d bytes of the body were read: %v", len(body), err)
	}
}
