package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	answerTimeout   = 30 * time.Second // bound on an answer
	endlessBytes    = 192 << 20        // after which the stand-in stops
	maxGrowthBytes  = 16 << 20         // that a reader may allocate for one answer
	soundState      = `{"version":"v1","fence":7}`
	wholeStateReply = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + soundState
)

// serveEndlessly answers the first request with the prefix and then with the repeated text, endlessBytes in all, and the others with
// a sound state.
func serveEndlessly(t *testing.T, prefix, repeated string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, in.Body)
				if !first {
					_, _ = io.WriteString(conn, wholeStateReply)
					return
				}
				text := []byte(strings.Repeat(repeated, 1+64<<10/len(repeated)))
				_, err = io.WriteString(conn, prefix)
				for sent := 0; err == nil && sent < endlessBytes; sent += len(text) {
					_, err = conn.Write(text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// allocated returns how many bytes the function allocated.
func allocated(function func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	function()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// An engine in trouble sends bytes without end. The agent keeps a bounded part of them and can ask and order other things.
func TestAnswersWithoutEndToAnAgentAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, engine := range map[string]struct{ prefix, repeated string }{
		"a text in a body":        {head + "\r\n{\"version\":\"", "x"},
		"blanks in a body":        {head + "\r\n", " "},
		"a long body":             {head + "Content-Length: 900000000\r\n\r\n", " "},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\n     \r\n"},
		"the extension of chunks": {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer section":       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"a line of a head":        {head + "A: ", "x"},
		"lines of a head":         {head, "A: b\r\n"},
		"interim responses":       {"", "HTTP/1.1 103 x\r\n\r\n"},
	} {
		for call, send := range map[string]func(ctx context.Context, client *backend.HTTP) error{
			"state": func(ctx context.Context, client *backend.HTTP) error {
				_, err := client.State(ctx)
				return err
			},
			"order": func(ctx context.Context, client *backend.HTTP) error {
				return client.Unload(ctx, backend.Order{Fence: 1})
			},
		} {
			client := backend.NewHTTP(serveEndlessly(t, engine.prefix, engine.repeated))
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			grown := allocated(func() {
				if err := send(ctx, client); err == nil {
					t.Errorf("%s to %s without end: no error", name, call)
				}
			})
			if grown > maxGrowthBytes {
				t.Errorf("%s to %s without end: %d MB were allocated", name, call, grown>>20)
			}
			if state, err := client.State(ctx); err != nil || state.Version != "v1" || state.Fence != core.FenceNumber(7) {
				t.Errorf("%s to %s: the state after it is %v, %v", name, call, state, err)
			}
			cancel()
		}
	}
}
