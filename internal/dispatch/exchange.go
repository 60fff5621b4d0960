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
)

const (
	// maxInlineBodyBytes are sent with the header in one write: more than that is written beside the wait for the answer,
	// since an endpoint may answer before it has read the body.
	maxInlineBodyBytes = 8 << 10
	// maxStrayResponses are answers to earlier requests that may stand before the wanted one on a kept connection.
	maxStrayResponses = 2
	// maxDrainBytes of a stray answer are read at most to get to the next one.
	maxDrainBytes = 64 << 10
)

// NotSentError says that no byte of the request was sent, so that it has not run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string {
	return "nothing was sent; check that the endpoint runs and can be reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotSent tells whether the request failed before any byte of it was sent.
func NotSent(err error) bool {
	var unsent *NotSentError
	return errors.As(err, &unsent)
}

var errOnlyStrayResponses = errors.New("the connection carried only answers to other requests; it was closed")

// Request is one request to one endpoint.
type Request struct {
	Address string // IP number and port
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	Fresh   bool // over a new connection: a kept one that ends proves nothing of what became of the request
	// Matches tells whether an answer belongs to this request.
	Matches func(http.Header) bool
}

// Answer is an endpoint's answer. Its header has arrived; its body is read as it arrives. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Framed bool // its end is told by a length or a last chunk, not by the end of the connection

	pool        *Pool
	address     string
	conn        *conn
	body        io.ReadCloser
	reusable    bool
	complete    bool
	bodyWritten <-chan error // result of a body that is sent beside the wait; nil when all was sent at once
	stopReset   func() bool
}

// Send sends the request and waits for the header of its answer. When the context ends the connection is closed. The
// error is a NotSentError while no byte was sent; after any other one the request may have run.
func (p *Pool) Send(ctx context.Context, request *Request) (*Answer, error) {
	c, err := p.getConn(ctx, request.Address, request.Fresh)
	if err != nil {
		return nil, err
	}
	stopReset := context.AfterFunc(ctx, c.reset)
	response, err := p.exchange(c, request)
	if err != nil {
		stopReset()
		c.reset()
		if ctx.Err() != nil && !NotSent(err) {
			err = ctx.Err()
		}
		return nil, err
	}
	response.stopReset = stopReset
	return response, nil
}

func (p *Pool) exchange(c *conn, request *Request) (*Answer, error) {
	req := newHTTPRequest(request)
	bodyWritten, err := writeRequest(c, req, request.Body)
	if err != nil {
		return nil, err
	}
	for range maxStrayResponses + 1 {
		resp, err := readHeader(c, req)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(resp.Header) {
			return p.newAnswer(c, request, resp, bodyWritten), nil
		}
		if !c.reused || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, errOnlyStrayResponses
}

func newHTTPRequest(request *Request) *http.Request {
	req := &http.Request{
		Method:        request.Method,
		URL:           targetURL(request.Target),
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: int64(len(request.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(request.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return req
}

// targetURL returns a URL whose request line is the target, byte by byte. An opaque one that began with two slashes
// would be taken for an authority.
func targetURL(target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	parsed := &url.URL{RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		parsed.Path, parsed.RawPath = path, path
		if unescaped, err := url.PathUnescape(path); err == nil {
			parsed.Path = unescaped
		}
		return parsed
	}
	parsed.Opaque = path
	return parsed
}

// writeRequest sends the request. A short one leaves in a single writeRequest, so that a failure without a byte sent is known as such.
func writeRequest(c *conn, req *http.Request, body []byte) (<-chan error, error) {
	if len(body) > maxInlineBodyBytes {
		result := make(chan error, 1)
		go func() { result <- req.Write(c) }() // ends with the connection at the latest
		return result, nil
	}
	var raw bytes.Buffer
	raw.Grow(len(body) + 1<<10)
	if err := req.Write(&raw); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	n, err := c.Write(raw.Bytes())
	if err != nil && n == 0 {
		return nil, &NotSentError{Cause: err}
	}
	return nil, err
}

func readHeader(c *conn, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func (p *Pool) newAnswer(c *conn, request *Request, resp *http.Response, bodyWritten <-chan error) *Answer {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Answer{
		Status:      resp.StatusCode,
		Header:      resp.Header,
		Framed:      framed,
		pool:        p,
		address:     request.Address,
		conn:        c,
		body:        resp.Body,
		reusable:    framed && !resp.Close && !request.Fresh, // kept ones that nobody takes would fill the endpoint's limit
		bodyWritten: bodyWritten,
	}
}

// Read reads the body. io.EOF means that the body is whole by its length, its last chunk, or the orderly end of a
// connection that had neither.
func (a *Answer) Read(buf []byte) (int, error) {
	n, err := a.body.Read(buf)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the answer was read to its end, the request was sent to its
// end, and nothing is left over.
func (a *Answer) Close() {
	notReset := a.stopReset()
	if !notReset || !a.reusable || !a.complete || !a.requestSent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.putIdle(a.address, a.conn, keepAliveTimeout(a.Header))
}

func (a *Answer) requestSent() bool {
	if a.bodyWritten == nil {
		return true
	}
	select {
	case err := <-a.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the time for which the other end keeps an idle connection, or 0 if it states none.
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
