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

// errClosedEarly closes the connection of an answer that was given up.
var errClosedEarly = errors.New("answer given up before its end")

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
	pooled   *fasthttp.Client
	unpooled *fasthttp.Client
}

// NewClient returns a client that fails a read after the progress time without a byte.
func NewClient(progressTimeout time.Duration, maxConnsPerHost int) *Client {
	dialer := &fasthttp.TCPDialer{}
	dial := func(address string) (net.Conn, error) {
		conn, err := dialer.DialTimeout(address, dialTimeout)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		return &readWriteTimeoutConn{Conn: conn, timeout: progressTimeout}, nil
	}
	return &Client{pooled: newHTTPClient(dial, maxConnsPerHost), unpooled: newHTTPClient(dial, maxConnsPerHost)}
}

func newHTTPClient(dial fasthttp.DialFunc, maxConnsPerHost int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      dial,
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnsPerHost,
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
	complete    bool
}

// Do sends the request and returns once the answer's header has arrived.
func (c *Client) Do(request Request) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(request.Method)
	req.SetRequestURI(request.URL)
	if request.ContentType != "" {
		req.Header.SetContentType(request.ContentType)
	}
	for name, value := range request.Header {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(request.Body)
	client := c.pooled
	if request.Fresh {
		client = c.unpooled
		req.SetConnectionClose()
	}
	resp := fasthttp.AcquireResponse()
	if err := client.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	response := &Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), raw: resp}
	return response, nil
}

// Read reads the body. io.EOF means that the body is whole by its length or its last chunk.
func (r *Response) Read(buf []byte) (int, error) {
	body := r.raw.BodyStream()
	if body == nil {
		r.complete = true
		return 0, io.EOF
	}
	n, err := body.Read(buf)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close releases the answer. Its connection is kept for other requests only if the body was read to its end.
func (r *Response) Close() {
	closer, ok := r.raw.BodyStream().(fasthttp.ReadCloserWithError)
	if ok && !r.complete {
		_ = closer.CloseWithError(errClosedEarly)
	}
	if r.complete {
		_ = r.raw.CloseBodyStream()
		fasthttp.ReleaseResponse(r.raw)
	}
}
