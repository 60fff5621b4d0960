// Package response reads responses of HTTP/1. It has the one rule for what counts as the head of a response and the one for where its
// body ends, for all that reads answers: net/http and fasthttp accept heads that differ from the grammar, and each reads them in its
// own way.
package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"

	"github.com/lovageglade/lovageglade/internal/budget"
)

const (
	// MaxHeadBytes bounds the head of a response, with the interim responses before it.
	MaxHeadBytes = 256 << 10
	// freeHeadBytes of the memory of a head take no room in the budget. Usual heads need less.
	freeHeadBytes = 32 << 10
	// maxTrailerBytes bounds the trailer section, which is read and not used.
	maxTrailerBytes = 16 << 10
)

// Framing is how the end of a response's body is marked.
type Framing string

// The framings of responses.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	Unframed       Framing = "none" // the body ends with the connection, so a crash of the server can look like its end
)

// Response is a response whose head has arrived.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	Length  int64 // that is stated of the body; -1 if none is
	Close   bool  // the server closes the connection after the response
	// EndsWithConn says that the end of the connection is that of the body. Answers to HEAD can be unframed and have no body.
	EndsWithConn bool
	// Body returns io.EOF once the body is complete: by its length, by its last chunk and a sound trailer section, or, if EndsWithConn is
	// set, at the end of the connection.
	Body io.Reader

	kept budget.Growth // by the head
}

// Release gives back the memory of the head, which must no longer be used.
func (r *Response) Release() { r.kept.Release() }

// headBuffer holds a head while it is read and parsed.
type headBuffer struct {
	head   section
	source bytes.Reader
	reader *bufio.Reader // of source
}

const (
	initialHeadBytes = 1 << 10 // fits a usual head
	maxPooledBytes   = 8 << 10 // of a head whose buffer is kept for reuse
)

var headBuffers = sync.Pool{New: func() any {
	return &headBuffer{head: make(section, 0, initialHeadBytes), reader: bufio.NewReader(nil)}
}}

// release returns the buffer to the pool.
func (b *headBuffer) release() {
	if cap(b.head) > maxPooledBytes {
		b.head = make(section, 0, initialHeadBytes)
	}
	headBuffers.Put(b)
}

// Read reads the head of the response to a request of the method. It skips interim responses. The memory of long heads is taken from
// the budget until Release. It returns a MalformedError for bytes that are no response, ErrTooLong after MaxHeadBytes, ErrNoRoom if
// the budget is used up, and io.ErrUnexpectedEOF if the connection ends within the head.
func Read(r *bufio.Reader, method string, heads *budget.Budget) (*Response, error) {
	kept := budget.Growth{Budget: heads, Free: freeHeadBytes}
	response, err := readFinal(r, method, &kept)
	if err != nil {
		kept.Release()
		return nil, err
	}
	response.kept = kept
	return response, nil
}

func readFinal(r *bufio.Reader, method string, kept *budget.Growth) (*Response, error) {
	limit := MaxHeadBytes
	buffer := headBuffers.Get().(*headBuffer)
	defer buffer.release()
	for {
		var err error
		if buffer.head, err = readSection(r, buffer.head[:0], limit, kept); err != nil {
			return nil, err
		}
		limit -= len(buffer.head)
		first, fields := buffer.head.splitLine()
		line, err := parseStatusLine(first)
		if err == nil {
			err = fields.checkFields(line.version)
		}
		if err != nil {
			return nil, err
		}
		if line.status >= minFinalStatus {
			return buffer.parse(r, method)
		}
	}
}

// parse parses a sound head. The body follows in r.
func (b *headBuffer) parse(r *bufio.Reader, method string) (*Response, error) {
	b.source.Reset(b.head)
	b.reader.Reset(&b.source)
	parsed, err := http.ReadResponse(b.reader, &http.Request{Method: method})
	if err != nil {
		return nil, malformed("%v", err)
	}
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header, Framing: framingOf(parsed), Close: parsed.Close, Length: parsed.ContentLength}
	switch {
	case parsed.Body == http.NoBody:
		response.Body = http.NoBody
	case response.Framing == FramedByLength:
		response.Body = &lengthReader{source: r, remaining: parsed.ContentLength}
	case response.Framing == FramedByChunks:
		response.Body = &chunksReader{chunks: httputil.NewChunkedReader(r), source: r}
	default:
		response.Body, response.EndsWithConn = r, true
	}
	return response, nil
}

func framingOf(parsed *http.Response) Framing {
	switch {
	case parsed.ContentLength >= 0:
		return FramedByLength
	case len(parsed.TransferEncoding) > 0:
		return FramedByChunks
	}
	return Unframed
}

// lengthReader reads a body of a stated length.
type lengthReader struct {
	source    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (l *lengthReader) Read(buf []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.source.Read(buf[:min(int64(len(buf)), l.remaining)])
	l.remaining -= int64(n)
	switch {
	case l.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunksReader reads a body in chunks and the trailer section after it.
type chunksReader struct {
	chunks io.Reader
	source *bufio.Reader
	end    error // of the trailer section, io.EOF if it is sound; nil before
}

// Read implements io.Reader.
func (c *chunksReader) Read(buf []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.chunks.Read(buf)
	if errors.Is(err, io.EOF) {
		c.end = readTrailer(c.source)
		err = c.end
	}
	return n, err
}

// readTrailer reads the trailer section and returns io.EOF if it is sound.
func readTrailer(r *bufio.Reader) error {
	trailer, err := readSection(r, nil, maxTrailerBytes, &budget.Growth{})
	if err == nil {
		err = trailer.checkFields("")
	}
	if err == nil {
		err = io.EOF
	}
	return err
}
