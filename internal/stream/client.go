// Package stream sends HTTP requests and streams their responses. Each read and write has its own timeout, so a silent
// connection ends with an error. A connection whose response was not read to its end is closed, so that the rest cannot
// be taken for another response.
package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/completeness"
	"github.com/lovageglade/lovageglade/internal/dispatch"
)

const (
	dialTimeout = time.Second
	idleTimeout = 10 * time.Second // below that of the servers of this system
	// maxDiscardBytes is how much of a body that nobody needs is read so that its connection can be reused.
	maxDiscardBytes = 8 << 10
)

// NotSent reports whether the request failed before any byte of it was sent.
func NotSent(err error) bool {
	if dispatch.NotSent(err) {
		return true
	}
	wrapped := errorx.Cast(err)
	return wrapped != nil && NotSent(wrapped.Cause())
}

// Client sends requests and streams their responses. It is safe for concurrent use.
type Client struct {
	pool *dispatch.Pool
	// ConfirmEnds makes a body that ends with its connection complete only if its server is known to live. It is not changed while the
	// client is used.
	ConfirmEnds bool
}

// NewClient returns a client whose reads and writes fail after progressTimeout without a byte.
func NewClient(progressTimeout time.Duration, maxConnsPerHost int) *Client {
	pool := dispatch.NewPool()
	pool.ProgressTimeout = progressTimeout
	pool.MaxOpen = maxConnsPerHost
	pool.MaxIdlePerAddress = maxConnsPerHost
	pool.IdleTimeout = idleTimeout
	return &Client{pool: pool}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Request is one HTTP request.
type Request struct {
	Method      string
	Address     string // IP address and port
	Target      string // path and query; sent unchanged
	ContentType string
	Header      map[string]string
	Body        []byte
	Content     io.Reader // sent in place of Body if it is set
	ContentSize int64     // bytes of Content
	NewConn     bool      // use a new connection, since a reused one may be dead
}

// Response is a response whose body is read as it arrives. Close must be called.
type Response struct {
	Status      int
	ContentType string
	raw         *dispatch.Response
	confirmEnd  func() error // nil once the end is confirmed, or if that is not needed
}

// Do sends the request and returns when the header of the response has arrived. The connection is reset when the context ends.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	header := http.Header{"User-Agent": nil} // without one
	if request.ContentType != "" {
		header.Set("Content-Type", request.ContentType)
	}
	for name, value := range request.Header {
		header.Set(name, value)
	}
	if request.NewConn {
		header.Set("Connection", "close")
	}
	raw, err := c.pool.Send(ctx, &dispatch.Request{
		Address:     request.Address,
		Method:      request.Method,
		Target:      request.Target,
		Host:        request.Address,
		Header:      header,
		Body:        request.Body,
		Content:     request.Content,
		ContentSize: request.ContentSize,
		DialTimeout: dialTimeout,
		NewConn:     request.NewConn,
	})
	if err != nil {
		return nil, err
	}
	response := &Response{Status: raw.Status, ContentType: raw.Header.Get("Content-Type"), raw: raw}
	if c.ConfirmEnds && raw.EndsWithConn {
		response.confirmEnd = func() error {
			return completeness.Confirm(ctx, raw.Framing, completeness.ByListener(request.Address))
		}
	}
	return response, nil
}

// Read reads the body. It returns io.EOF only if the body is complete, as dispatch.Response does, and its end is confirmed.
func (r *Response) Read(buf []byte) (int, error) {
	n, err := r.raw.Read(buf)
	if errors.Is(err, io.EOF) && r.confirmEnd != nil {
		if unconfirmed := r.confirmEnd(); unconfirmed != nil {
			return n, unconfirmed
		}
		r.confirmEnd = nil
	}
	return n, err
}

// ReadAll returns the whole body. A body of more than maxBytes is an error.
func (r *Response) ReadAll(maxBytes int) ([]byte, error) {
	return dispatch.ReadAll(r, r.raw.Length, maxBytes)
}

// ReadToEnd discards the rest of the body. It returns an error if the body is not complete after maxDiscardBytes.
func (r *Response) ReadToEnd() error {
	switch _, err := io.CopyN(io.Discard, r, maxDiscardBytes); {
	case err == nil:
		return dispatch.ErrBodyTooLong
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// Discard reads a short rest of the body, so that the connection can be reused.
func (r *Response) Discard() { _ = r.ReadToEnd() }

// Close releases the response. Its connection is reused only if the body was read to its end.
func (r *Response) Close() { r.raw.Close() }
