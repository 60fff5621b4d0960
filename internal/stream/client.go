// Package stream sends HTTP requests whose answers are read as they arrive. Every read has a progress deadline, so a
// connection that has gone silent ends as an error, and a connection whose answer was not read to its end is closed,
// so that the rest of it can never be taken for another answer.
package stream

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

const dialTimeout = time.Second

// errAbandoned closes the connection of an answer that was given up.
var errAbandoned = errors.New("answer given up before its end")

// NotSentError says that no connection could be opened, so that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string {
	return "no connection, nothing was sent; check that the process runs: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent tells whether the request failed before any byte of it was sent.
func NotSent(err error) bool {
	var unsent *NotSentError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	wrapped := errorx.Cast(err)
	return wrapped != nil && NotSent(wrapped.Cause())
}

// Client sends requests and streams their answers.
type Client struct {
	http  *fasthttp.Client
	fresh *fasthttp.Client
}

// NewClient returns a client that fails a read after the progress time without a byte.
func NewClient(progress time.Duration, connsPerHost int) *Client {
	dialer := &fasthttp.TCPDialer{}
	dial := func(address string) (net.Conn, error) {
		conn, err := dialer.DialTimeout(address, dialTimeout)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		return &progressConn{Conn: conn, progress: progress}, nil
	}
	return &Client{http: newHTTP(dial, connsPerHost), fresh: newHTTP(dial, connsPerHost)}
}

func newHTTP(dial fasthttp.DialFunc, connsPerHost int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dial,
		StreamResponseBody:        true,
		MaxConnsPerHost:           connsPerHost,
		MaxIdemponentCallAttempts: 1, // a retry is the entry's own decision
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

// Request is one HTTP request. URL names its host by IP number and port.
type Request struct {
	Method      string
	URL         string
	ContentType string
	Header      map[string]string
	Body        []byte
	Fresh       bool // over a connection of its own, since a kept one may have gone silent
}

// Response is an answer whose body is read as it arrives. Close must be called.
type Response struct {
	Status      int
	ContentType string
	raw         *fasthttp.Response
	whole       bool
}

// Do sends the request and returns once the answer's header has arrived.
func (c *Client) Do(request Request) (*Response, error) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.Header.SetMethod(request.Method)
	out.SetRequestURI(request.URL)
	if request.ContentType != "" {
		out.Header.SetContentType(request.ContentType)
	}
	for name, value := range request.Header {
		out.Header.Set(name, value)
	}
	out.SetBodyRaw(request.Body)
	client := c.http
	if request.Fresh {
		client = c.fresh
		out.SetConnectionClose()
	}
	in := fasthttp.AcquireResponse()
	if err := client.Do(out, in); err != nil {
		fasthttp.ReleaseResponse(in)
		return nil, err
	}
	response := &Response{Status: in.StatusCode(), ContentType: string(in.Header.ContentType()), raw: in}
	return response, nil
}

// Read reads the body. io.EOF means that the body is whole by its length or its last chunk.
func (r *Response) Read(into []byte) (int, error) {
	body := r.raw.BodyStream()
	if body == nil {
		r.whole = true
		return 0, io.EOF
	}
	n, err := body.Read(into)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close releases the answer. Its connection is kept for other requests only if the body was read to its end.
func (r *Response) Close() {
	closer, ok := r.raw.BodyStream().(fasthttp.ReadCloserWithError)
	if ok && !r.whole {
		_ = closer.CloseWithError(errAbandoned)
	}
	if r.whole {
		_ = r.raw.CloseBodyStream()
		fasthttp.ReleaseResponse(r.raw)
	}
}
