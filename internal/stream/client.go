// Package stream sends HTTP requests whose answers are read as they arrive. Every read has a progress deadline, so a
// connection that has gone silent ends as an error, and a connection whose answer was not read to its end is closed,
// so that the rest of it can never be taken for another answer.
package stream

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const dialTimeout = time.Second

// errAbandoned closes the connection of an answer that was given up.
var errAbandoned = errors.New("answer given up before its end")

// Client sends requests and streams their answers.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client that fails a read after the progress time without a byte.
func NewClient(progress time.Duration, connsPerHost int) *Client {
	dialer := &fasthttp.TCPDialer{}
	dial := func(address string) (net.Conn, error) {
		conn, err := dialer.DialTimeout(address, dialTimeout)
		if err != nil {
			return nil, err
		}
		return &progressConn{Conn: conn, progress: progress}, nil
	}
	return &Client{http: &fasthttp.Client{
		Dial:                      dial,
		StreamResponseBody:        true,
		MaxConnsPerHost:           connsPerHost,
		MaxIdemponentCallAttempts: 1, // a retry is the entry's own decision
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}
}

// Request is one HTTP request. URL names its host by IP number and port.
type Request struct {
	Method      string
	URL         string
	ContentType string
	Header      map[string]string
	Body        []byte
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
	in := fasthttp.AcquireResponse()
	if err := c.http.Do(out, in); err != nil {
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

// progressConn gives every read and write a deadline of its own.
type progressConn struct {
	net.Conn
	progress time.Duration
}

func (c *progressConn) Read(into []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}

func (c *progressConn) Write(from []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.Conn.Write(from)
}
