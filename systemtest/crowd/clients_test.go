package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

const enginePort = 7200

// requestHead returns a request's head, up to the empty line, which is left out. Odd lines fill it up to the number of bytes.
func requestHead(route, path, id string, size int, oddLine func(number int) string, framing string) string {
	var head strings.Builder
	head.WriteString("POST /" + route + "/" + path + " HTTP/1.1\r\nHost: h.example\r\n" + headLines(route, id) + framing)
	for number := 0; ; number++ {
		line := oddLine(number) + "\r\n"
		if head.Len()+len(line) > size {
			return head.String()
		}
		head.WriteString(line)
	}
}

const (
	legalHeadBytes = 15_800 // below the limit of the configuration
	oddHeadBytes   = 64_000 // over it
)

// shortLine is a header line of a few bytes, with a name of its own.
func shortLine(number int) string { return fmt.Sprintf("%x:", number+16) }

// oddName is a header line with a name that is not in canonical form.
func oddName(number int) string { return fmt.Sprintf("x!%xy: ~", number) }

func noLine(int) string { return strings.Repeat(" ", 1<<20) } // fits no head

func length(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	emptyEnd = "\r\n"
)

// readAnswers discards what arrives until the connection ends.
func readAnswers(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// forwardTo listens on the address until the test ends and passes connections on.
func forwardTo(t *testing.T, address, to string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go forwardConn(in, to)
		}
	}()
}

func forwardConn(in net.Conn, to string) {
	defer in.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.(*net.TCPConn).CloseWrite() // fails only on a closed connection
	}()
	_, _ = io.Copy(in, out)
}
