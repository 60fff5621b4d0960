// Package stream sends HTTP requests and streams their responses. Each read and write has its own timeout, so a silent
// connection ends with an error. A connection whose response was not read to its end is closed, so that the rest cannot
// be taken for another response.
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

// errClosedEarly is the reason for closing the connection of a response that was not read to its end.
var errClosedEarly = errors.New("response closed before its end")

// NotSentError says that no connection could be opened, so no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string {
	return "cannot connect, no byte of the request was sent; check that the process is running: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent reports whether the request failed before any byte of it was sent.
func NotSent(err error) bool {
	var unsent *NotSentError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	wrapped := errorx.Cast(err)
	return wrapped != nil && NotSent(wrapped.Cause())
}

// Client sends requests and streams their responses. It is safe for concurrent use.
type Client struct {
	pooled   *fasthttp.Client // reuses connections
	unpooled *fasthttp.Client // opens a connection for each request
}

// NewClient returns a client whose reads and writes fail after progressTimeout without a byte.
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
		MaxIdemponentCallAttempts: 1, // callers decide on retries
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

// Request is one HTTP request. The host in URL must be an IP address and port.
type Request struct {
	Method      string
	URL         string
	ContentType string
	Header      map[string]string
	Body        []byte
	NewConn     bool // use a new connection, since a reused one may be dead
}

// Response is a response whose body is read as it arrives. Close must be called.
type Response struct {
	Status      int
	ContentType string
	raw         *fasthttp.Response
	complete    bool // the body was read to its end
}

// Do sends the request and returns when the header of the response has arrived.
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
	if request.NewConn {
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

// Read reads the body. It returns io.EOF only if the body is complete: by its length, by its last chunk, or, without either,
// by an orderly close of the connection.
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

// Close releases the response. Its connection is reused only if the body was read to its end.
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
