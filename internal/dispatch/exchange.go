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
	// inlineBodyBytes are sent with the header in one write: more than that is written beside the wait for the answer,
	// since an endpoint may answer before it has read the body.
	inlineBodyBytes = 8 << 10
	// strayAnswers are answers to earlier requests that may stand before the wanted one on a kept connection.
	strayAnswers = 2
	// drainBytes of a stray answer are read at most to get to the next one.
	drainBytes = 64 << 10
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

var errStray = errors.New("the connection carried only answers to other requests; it was closed")

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

	pool    *Pool
	address string
	conn    *conn
	body    io.ReadCloser
	keep    bool
	whole   bool
	written <-chan error // result of a body that is sent beside the wait; nil when all was sent at once
	release func() bool
}

// Send sends the request and waits for the header of its answer. When the context ends the connection is closed. The
// error is a NotSentError while no byte was sent; after any other one the request may have run.
func (p *Pool) Send(ctx context.Context, request *Request) (*Answer, error) {
	c, err := p.open(ctx, request.Address, request.Fresh)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, c.reset)
	answer, err := p.exchange(c, request)
	if err != nil {
		release()
		c.reset()
		if ctx.Err() != nil && !NotSent(err) {
			err = ctx.Err()
		}
		return nil, err
	}
	answer.release = release
	return answer, nil
}

func (p *Pool) exchange(c *conn, request *Request) (*Answer, error) {
	out := outgoing(request)
	written, err := write(c, out, request.Body)
	if err != nil {
		return nil, err
	}
	for range strayAnswers + 1 {
		in, err := readHeader(c, out)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(in.Header) {
			return p.answer(c, request, in, written), nil
		}
		if !c.kept || in.Close || in.ContentLength < 0 && len(in.TransferEncoding) == 0 {
			break
		}
		if _, err := io.CopyN(io.Discard, in.Body, drainBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, errStray
}

func outgoing(request *Request) *http.Request {
	out := &http.Request{
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
		out.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return out
}

// targetURL returns a URL whose request line is the target, byte by byte. An opaque one that began with two slashes
// would be taken for an authority.
func targetURL(target string) *url.URL {
	path, query, queried := strings.Cut(target, "?")
	parsed := &url.URL{RawQuery: query, ForceQuery: queried}
	if strings.HasPrefix(path, "//") {
		parsed.Path, parsed.RawPath = path, path
		if plain, err := url.PathUnescape(path); err == nil {
			parsed.Path = plain
		}
		return parsed
	}
	parsed.Opaque = path
	return parsed
}

// write sends the request. A short one leaves in a single write, so that a failure without a byte sent is known as such.
func write(c *conn, out *http.Request, body []byte) (<-chan error, error) {
	if len(body) > inlineBodyBytes {
		written := make(chan error, 1)
		go func() { written <- out.Write(c) }() // ends with the connection at the latest
		return written, nil
	}
	var raw bytes.Buffer
	raw.Grow(len(body) + 1<<10)
	if err := out.Write(&raw); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	n, err := c.Write(raw.Bytes())
	if err != nil && n == 0 {
		return nil, &NotSentError{Cause: err}
	}
	return nil, err
}

func readHeader(c *conn, out *http.Request) (*http.Response, error) {
	for {
		in, err := http.ReadResponse(c.reader, out)
		if err != nil {
			return nil, err
		}
		if in.StatusCode >= http.StatusOK || in.StatusCode == http.StatusSwitchingProtocols {
			return in, nil
		}
	}
}

func (p *Pool) answer(c *conn, request *Request, in *http.Response, written <-chan error) *Answer {
	framed := in.ContentLength >= 0 || len(in.TransferEncoding) > 0
	return &Answer{
		Status:  in.StatusCode,
		Header:  in.Header,
		Framed:  framed,
		pool:    p,
		address: request.Address,
		conn:    c,
		body:    in.Body,
		keep:    framed && !in.Close && !request.Fresh, // kept ones that nobody takes would fill the endpoint's limit
		written: written,
	}
}

// Read reads the body. io.EOF means that the body is whole by its length, its last chunk, or the orderly end of a
// connection that had neither.
func (a *Answer) Read(into []byte) (int, error) {
	n, err := a.body.Read(into)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the answer was read to its end, the request was sent to its
// end, and nothing is left over.
func (a *Answer) Close() {
	attached := a.release()
	if !attached || !a.keep || !a.whole || !a.sent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.address, a.conn, statedIdle(a.Header))
}

func (a *Answer) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// statedIdle returns the time for which the other end keeps an idle connection, or 0 if it states none.
func statedIdle(header http.Header) time.Duration {
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
