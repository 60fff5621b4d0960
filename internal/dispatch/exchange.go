package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/response"
)

const (
	// maxInlineBodyBytes is the largest body that is sent in one write with the header. A larger one is written
	// concurrently with the wait for the response, since an endpoint may respond before it has read the body.
	maxInlineBodyBytes = 8 << 10
	// maxStrayResponses is the number of late responses to earlier requests that are skipped on a reused connection.
	maxStrayResponses = 2
	// maxDrainBytes is the most that is read of a stray response's body to get to the next response.
	maxDrainBytes = 64 << 10
)

// NotSentError says that no byte of the request was sent, so it has not run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string {
	return "no byte of the request was sent; check that the endpoint is running and reachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent reports whether the request failed before any byte of it was sent.
func NotSent(err error) bool {
	var unsent *NotSentError
	return errors.As(err, &unsent)
}

var errOnlyStrayResponses = errors.New("received only responses that do not name the request on the connection; it was closed")

// Request is one request to one endpoint.
type Request struct {
	Address string // IP address and port
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// Content, if set, is sent in place of Body. It is read until the response is closed, at most.
	Content     io.Reader
	ContentSize int64 // bytes of Content
	// DialTimeout bounds the time to connect; 0 for DefaultDialTimeout.
	DialTimeout time.Duration
	NewConn     bool // use a new connection, since the failure of a reused one leaves open whether the request ran
	// Check, if set, is called with the connection open, just before the first byte is sent. After an error nothing is sent.
	Check func() error
	// Matches reports whether a response with this header belongs to the request. If it is nil, every response does.
	Matches func(http.Header) bool
	// Unidentified reports whether a response with this header names no request. It is taken if it is the first on its connection.
	// On a reused connection it may be a late copy, a refusal too, and leaves open whether the request has run. The connection is
	// not reused after it, since a copy could not be told from the next response.
	Unidentified func(http.Header) bool
}

// Framing is how the end of a response's body is marked.
type Framing = response.Framing

// The framings of responses.
const (
	FramedByLength = response.FramedByLength
	FramedByChunks = response.FramedByChunks
	Unframed       = response.Unframed
)

// Response is an endpoint's response. Its header has arrived; its body is read as it arrives. Close must be called.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	Length  int64 // that is stated of the body; -1 if none is
	// EndsWithConn says that the end of the connection is that of the body, so that a crash of the server can look like it.
	EndsWithConn bool

	pool        *Pool
	address     string
	conn        *conn
	body        io.Reader
	releaseHead func()
	reusable    bool        // the connection may be reused after a complete exchange
	complete    bool        // the body was read to its end
	upload      *upload     // of the request
	stopReset   func() bool // cancels the reset of the connection at the end of the context
}

// Send sends the request and waits for the header of the response. The connection is reset when the context ends. A
// NotSentError means that no byte was sent, and wraps the error of request.Check; after any other error the request may have run.
func (p *Pool) Send(ctx context.Context, request *Request) (*Response, error) {
	if err := p.acquire(request.Address); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	c, err := p.getConn(ctx, request)
	if err != nil {
		p.release(request.Address)
		return nil, err
	}
	stopReset := context.AfterFunc(ctx, c.reset)
	answer, err := p.exchange(c, request)
	if err != nil {
		p.release(request.Address)
		stopReset()
		c.reset()
		if ctx.Err() != nil && !NotSent(err) {
			err = ctx.Err()
		}
		return nil, err
	}
	answer.stopReset = stopReset
	return answer, nil
}

// exchange sends the request on the connection and reads responses until one matches.
func (p *Pool) exchange(c *conn, request *Request) (*Response, error) {
	req := newHTTPRequest(request)
	if request.Check != nil {
		if err := request.Check(); err != nil {
			return nil, &NotSentError{Cause: err}
		}
	}
	upload, err := writeRequest(c, req, request)
	if err != nil {
		return nil, err
	}
	for range maxStrayResponses + 1 {
		resp, err := response.Read(c.reader, req.Method, p.Heads)
		if err != nil {
			return nil, err
		}
		if request.accepts(resp, c.reused) {
			return p.newResponse(c, request, resp, upload), nil
		}
		resp.Release()
		if !c.reused || !request.canSkip(resp) {
			break
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, errOnlyStrayResponses
}

// accepts reports whether the response, on a connection that may have been used before, is taken for the request's.
func (r *Request) accepts(resp *response.Response, connReused bool) bool {
	if r.Matches == nil || r.Matches(resp.Header) {
		return true
	}
	return !connReused && r.isUnidentified(resp.Header)
}

func (r *Request) isUnidentified(header http.Header) bool {
	return r.Unidentified != nil && r.Unidentified(header)
}

// canSkip reports whether the response certainly belongs to another request and its end is known. After a HEAD request, the
// body of a response to another method would be read as the next response.
func (r *Request) canSkip(resp *response.Response) bool {
	return !r.isUnidentified(resp.Header) && !resp.Close && r.Method != http.MethodHead && resp.Framing != Unframed
}

func newHTTPRequest(request *Request) *http.Request {
	req := &http.Request{
		Method:        request.Method,
		URL:           &url.URL{Opaque: placeholder},
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: int64(len(request.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	switch {
	case request.Content != nil:
		req.Body, req.ContentLength = io.NopCloser(request.Content), request.ContentSize
	case len(request.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return req
}

// writeRequest sends the request. One with a short body is sent in a single write, so that a failure before the first
// byte is recognized. A longer body is sent concurrently.
func writeRequest(c *conn, req *http.Request, request *Request) (*upload, error) {
	if !isTarget(request.Target) {
		return nil, &NotSentError{Cause: errBadTarget}
	}
	if request.Content != nil {
		return startUpload(func() error { return writeContent(c, req, request) }), nil
	}
	if len(request.Body) > maxInlineBodyBytes {
		return startUpload(func() error { return req.Write(withTarget(c, req, request.Target)) }), nil
	}
	var raw bytes.Buffer
	raw.Grow(len(request.Body) + 1<<10)
	if err := req.Write(withTarget(&raw, req, request.Target)); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	n, err := c.Write(raw.Bytes())
	if err != nil && n == 0 {
		return nil, &NotSentError{Cause: err}
	}
	return endedUpload, err
}

// writeContent sends a request whose body is read from request.Content. It resets the connection if that fails or is too short, since
// the server would wait for the rest.
func writeContent(c *conn, req *http.Request, request *Request) error {
	content := &contentReader{source: request.Content, remaining: request.ContentSize}
	req.Body = io.NopCloser(content)
	err := req.Write(withTarget(c, req, request.Target))
	if content.failed {
		c.reset()
	}
	return err
}

// contentReader notes whether its source fails or ends before the stated size.
type contentReader struct {
	source    io.Reader
	remaining int64 // bytes
	failed    bool
}

// Read implements io.Reader.
func (c *contentReader) Read(buf []byte) (int, error) {
	n, err := c.source.Read(buf)
	c.remaining -= int64(n)
	c.failed = err != nil && (c.remaining > 0 || !errors.Is(err, io.EOF))
	return n, err
}

func (p *Pool) newResponse(c *conn, request *Request, resp *response.Response, upload *upload) *Response {
	return &Response{
		Status:       resp.Status,
		Header:       resp.Header,
		Framing:      resp.Framing,
		Length:       resp.Length,
		pool:         p,
		address:      request.Address,
		conn:         c,
		body:         resp.Body,
		releaseHead:  resp.Release,
		EndsWithConn: resp.EndsWithConn,
		reusable:     resp.Framing != Unframed && !resp.Close && !request.isUnidentified(resp.Header) && !request.NewConn, // pooled connections that no request reuses would exhaust the endpoint's connection limit
		upload:       upload,
	}
}

// CopyLength copies the length that an answer to a HEAD request states of the body that it does not have, if it states one.
func CopyLength(dst, src http.Header) {
	if length, stated := src["Content-Length"]; stated {
		dst["Content-Length"] = length
	}
}

// Read reads the body. It returns io.EOF only if the body is complete: by its length, by its last chunk, or, without
// either, by an orderly close of the connection after the server has received the whole request.
func (r *Response) Read(buf []byte) (int, error) {
	n, err := r.body.Read(buf)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.EndsWithConn && !r.complete {
		if unreceived := r.upload.awaitReceived(r.conn); unreceived != nil {
			return n, unreceived
		}
	}
	r.complete = true
	return n, err
}

// ErrBodyTooLong is returned for a body that has not ended where it must.
var ErrBodyTooLong = errors.New("the body of the response is longer than it may be; check what the endpoint sends")

const (
	maxInitialBodyBytes = 64 << 10 // of room that is made for a body before its bytes arrive
	minReadBytes        = 512
)

// ReadAll returns the whole body, for which the length is stated; -1 if none is. It returns ErrBodyTooLong for one of more than maxBytes.
func ReadAll(body io.Reader, length int64, maxBytes int) ([]byte, error) {
	if length > int64(maxBytes) {
		return nil, ErrBodyTooLong
	}
	read := make([]byte, 0, min(max(length, 0), maxInitialBodyBytes)+minReadBytes)
	for {
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case len(read) > maxBytes:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return nil, err
		}
		if len(read) == cap(read) {
			read = append(read, 0)[:len(read)] // by the runtime's growth
		}
	}
}

// Close ends the exchange. The connection is reused only if the whole response was read, the whole request was sent,
// and no extra bytes are buffered.
func (r *Response) Close() {
	defer r.pool.release(r.address)
	r.releaseHead()
	notReset := r.stopReset()
	if !notReset || !r.reusable || !r.complete || !r.upload.isSent() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.putIdle(r.address, r.conn, keepAliveTimeout(r.Header))
}

// keepAliveTimeout returns the idle timeout that the server announces in its Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
