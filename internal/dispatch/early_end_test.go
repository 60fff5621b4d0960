package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// earlyAnswer is an answer that a server sends before it has read the body of the request.
const earlyAnswer = "part of the answer"

// earlyEnds are the ways in which a server ends a connection on which a request's body arrives.
var earlyEnds = []struct {
	name    string
	minSize int // of a body that the server's system cannot have received whole by then
	end     func(conn *net.TCPConn)
}{
	{"reset at once", 0, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
	{"reset after a pause", 0, func(conn *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	}},
	{"closed", 0, func(*net.TCPConn) {}},
	{"end of the answer, then reset", 1 << 20, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	}},
}

// sendBody posts a body of the size to the server and reads the answer.
func sendBody(t *testing.T, pool *Pool, server *testServer, size int) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	response, err := pool.Send(ctx, &Request{Address: server.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	defer response.Close()
	raw, err := io.ReadAll(response)
	return string(raw), err
}

// serveFramed reads a request and answers it whole, so that its connection is reused.
func serveFramed(conn net.Conn, reader *bufio.Reader) {
	if _, _, ok := readRequest(reader); ok {
		writeResponse(conn, "", "ok")
	}
}

// A server that ends the connection while the request is being written has not said where its unframed answer ends.
func TestUnframedAnswerBesideAnUnfinishedUploadIsNotComplete(t *testing.T) {
	for _, ending := range earlyEnds {
		for _, size := range []int{64 << 10, 1 << 20, 8 << 20} {
			if size < ending.minSize {
				continue
			}
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d bytes/reused %v", ending.name, size, reused), func(t *testing.T) {
					server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
						if reused {
							serveFramed(conn, reader)
						}
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
						ending.end(conn.(*net.TCPConn))
					})
					pool := NewPool()
					defer pool.Close()
					taken := 0
					for range 10 {
						if reused {
							if _, err := sendBody(t, pool, server, 1); err != nil {
								t.Fatal(err)
							}
						}
						if _, err := sendBody(t, pool, server, size); err == nil {
							taken++
						}
					}
					if taken > 0 {
						t.Errorf("%d of 10 answers count as complete", taken)
					}
				})
			}
		}
	}
}

// A server that has read all that has arrived closes in order, and resets the connection when the rest of the request arrives.
func TestUnframedAnswerThatEndsBeforeTheRestOfTheRequestIsNotComplete(t *testing.T) {
	const first, rest = 100 << 10, 200 << 10
	closed := make(chan struct{}, 1)
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if in, err := http.ReadRequest(reader); err == nil {
			_, _ = io.CopyN(io.Discard, in.Body, first)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
		}
		_ = conn.Close()
		closed <- struct{}{}
	})
	pool := NewPool()
	defer pool.Close()
	for range 10 {
		content := io.MultiReader(bytes.NewReader(make([]byte, first)), readerFunc(func([]byte) (int, error) {
			<-closed
			return 0, io.EOF
		}), bytes.NewReader(make([]byte, rest)))
		response, err := pool.Send(t.Context(), &Request{Address: server.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Content: content, ContentSize: first + rest})
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response); err == nil {
			t.Errorf("%q counts as complete", body)
		}
		response.Close()
	}
}

type readerFunc func(buf []byte) (int, error)

func (f readerFunc) Read(buf []byte) (int, error) { return f(buf) }

// A request whose content ends early must not keep its server and its caller waiting.
func TestRequestWithTooLittleContentFails(t *testing.T) {
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, _, ok := readRequest(reader); ok {
			writeResponse(conn, "", "ok")
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, content := range []io.Reader{bytes.NewReader(make([]byte, 10)), readerFunc(func([]byte) (int, error) { return 0, errors.New("broken") })} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		response, err := pool.Send(ctx, &Request{Address: server.listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Content: content, ContentSize: 100})
		if err == nil {
			response.Close()
			t.Error("a response came to a request without its content")
		}
		if ctx.Err() != nil {
			t.Error("the request waited for the end of its time")
		}
		cancel()
	}
}

// The same ends after a framed answer, and after an unframed answer to a request that was read, leave the answer whole.
func TestWholeAnswerBesideAnUploadIsComplete(t *testing.T) {
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(earlyAnswer), earlyAnswer)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n", len(earlyAnswer), earlyAnswer)
	unframed := "HTTP/1.1 200 OK\r\n\r\n" + earlyAnswer
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20} {
		for _, answer := range []struct {
			name, text, method string
			readAll            bool // the server reads the request before it answers
		}{
			{"length", framed, http.MethodPost, false},
			{"chunks and a trailer", chunked, http.MethodPost, false},
			{"interim response and length", "HTTP/1.1 103 x\r\nA: b\r\n\r\n" + framed, http.MethodPost, false},
			{"no body", "HTTP/1.1 204 x\r\n\r\n", http.MethodPost, false},
			{"HEAD", "HTTP/1.1 200 x\r\n\r\n", http.MethodHead, false},
			{"unframed", unframed, http.MethodPost, true},
		} {
			t.Run(fmt.Sprintf("%s/%d bytes", answer.name, size), func(t *testing.T) {
				read := make(chan struct{}, 1)
				server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
					in, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if answer.readAll {
						_, _ = io.Copy(io.Discard, in.Body)
					}
					_, _ = io.WriteString(conn, answer.text)
					if !answer.readAll {
						<-read // a reset may overtake what has not been read
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				pool := NewPool()
				defer pool.Close()
				response, err := pool.Send(ctx, &Request{Address: server.listener.Addr().String(), Method: answer.method, Target: "/", Host: "a", Header: http.Header{}, Body: make([]byte, size)})
				if err != nil {
					t.Fatal(err)
				}
				defer response.Close()
				body, err := io.ReadAll(response)
				read <- struct{}{}
				if err != nil || len(body) > 0 && string(body) != earlyAnswer {
					t.Errorf("body %q, error %v", body, err)
				}
			})
		}
	}
}

// An answer that ends early by its server's word, while the server does not read the request, is held back for a bounded time only.
func TestEndOfAnUnframedAnswerDoesNotWaitForAnUploadThatStalls(t *testing.T) {
	release := make(chan struct{})
	server := newTestServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
		_ = conn.(*net.TCPConn).CloseWrite()
		<-release
	})
	defer close(release)
	if _, err := sendBody(t, NewPool(), server, 32<<20); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v, want an error before the context ends", err)
	}
}
