package stream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// serveOnce accepts one connection, reads a request and writes the response. Once the response has arrived, it ends the
// connection in order or resets it.
func serveOnce(t *testing.T, response string, reset bool, arrived <-chan struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(conn, response)
		<-arrived
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

func TestOnlyAWholeBodyEndsWithEOF(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for _, test := range []struct {
		name, response string
		reset          bool
		whole          bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false, true},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut", false, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false, true},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", false, false},
		{"unframed", unframed + "whole", false, true},
		{"unframed and reset", unframed + "cut", true, false},
	} {
		client := NewClient(testTimeout, 1)
		arrived := make(chan struct{})
		address := serveOnce(t, test.response, test.reset, arrived)
		response, err := client.Do(t.Context(), Request{Method: "GET", Address: address, Target: "/", NewConn: true})
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		begin := make([]byte, len("cut"))
		if _, err := io.ReadFull(response, begin); err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		close(arrived)
		body, err := io.ReadAll(response)
		response.Close()
		if (err == nil) != test.whole {
			t.Errorf("%s: read %q, error %v", test.name, body, err)
		}
	}
}

// A back end that ends its connection within the head of a response has given none.
func TestResponseThatEndsWithinItsHeadIsAnError(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "\r\n"
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			for length := 1; length < len(head); length++ {
				for _, reset := range []bool{false, true} {
					client := NewClient(testTimeout, 1)
					arrived := make(chan struct{})
					close(arrived)
					address := serveOnce(t, interim+head[:length], reset, arrived)
					response, err := client.Do(t.Context(), Request{Method: "GET", Address: address, Target: "/", NewConn: true})
					if err != nil {
						continue
					}
					if body, err := io.ReadAll(response); err == nil {
						t.Errorf("%d bytes of the head %q, reset %v: status %d, body %q", length, interim+head, reset, response.Status, body)
					}
					response.Close()
				}
			}
		}
	}
}

func TestResponseWithAnUnsoundHeadIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 x\r\nContent-Length: 5",
		"HTTP/1.1 042 x\r\nContent-Length: 5",
		"HTTP/1.1 101 x\r\nContent-Length: 5",
		"HTTP/1.1 600 x\r\nContent-Length: 5",
		"HTTP/1.1 200 x\r\nContent-Length: 5\r\nA B: c",
		"HTTP/1.1 200 x\r\nContent-Length : 5",
		"HTTP/1.1 200 x\r\nContent-Length: 5\r\nA\x01B: c",
		"HTTP/1.0 200 x\r\nTransfer-Encoding: chunked",
	} {
		client := NewClient(testTimeout, 1)
		arrived := make(chan struct{})
		close(arrived)
		address := serveOnce(t, head+"\r\n\r\nwhole", false, arrived)
		response, err := client.Do(t.Context(), Request{Method: "GET", Address: address, Target: "/", NewConn: true})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response)
		t.Errorf("%q is taken for %d: body %q, error %v", head, response.Status, body, err)
		response.Close()
	}
}

// The system closes the connections of a process that is killed in order, and its listening socket.
func TestUnframedBodyOfAServerThatEndsIsNotComplete(t *testing.T) {
	for _, lives := range []bool{true, false} {
		for _, method := range []string{"GET", "HEAD"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				text := "HTTP/1.1 200 OK\r\n\r\npart"
				_, _ = io.WriteString(conn, strings.TrimSuffix(text, map[bool]string{true: "part"}[method == "HEAD"]))
				if !lives {
					_ = listener.Close()
				}
				_ = conn.Close()
			}()
			client := NewClient(testTimeout, 1)
			client.ConfirmEnds = true
			response, err := client.Do(t.Context(), Request{Method: method, Address: listener.Addr().String(), Target: "/", NewConn: true})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response)
			if (err == nil) != (lives || method == "HEAD") {
				t.Errorf("%s, the server lives %v: body %q, error %v", method, lives, body, err)
			}
			response.Close()
		}
	}
}
