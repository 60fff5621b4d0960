package ingress

import (
	"errors"
	"io"
)

const (
	// firstBodyBytes is how much room a body gets at first, whatever length is stated.
	firstBodyBytes = 2 << 10
	bodyGrowth     = 2
)

// ErrBodyTooLong is returned for a body that is longer than the limit.
var ErrBodyTooLong = errors.New("the body is longer than the limit; send a shorter one")

// ReadBody reads a body whose stated length is -1 if there is none. Room for it is taken as it arrives. A limit of 0 or less means no
// limit. The error of a body that is refused is a *Refusal.
func (c *Conn) ReadBody(source io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, ErrBodyTooLong
	}
	if length == 0 {
		return nil, nil
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := c.grow(body, length, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			if length > int64(len(body)) {
				return nil, io.ErrUnexpectedEOF
			}
			return body, nil
		case err != nil:
			if refusal := c.Refused(); refusal != nil {
				return nil, refusal
			}
			return nil, err
		}
	}
}

// grow returns the body with more room. The old one counts until it is copied.
func (c *Conn) grow(body []byte, length, limit int64) ([]byte, error) {
	size := max(firstBodyBytes, bodyGrowth*int64(cap(body)))
	switch {
	case length >= 0:
		size = min(size, length+1) // a byte beyond, so that the end is read
	case limit > 0:
		size = min(size, limit+1) // likewise, so that a longer body is noticed
	}
	if size <= int64(cap(body)) {
		size = int64(cap(body)) + 1 // the source sends more than is stated
	}
	if err := c.reserveBody(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	if err := c.reserveBody(-int64(cap(body))); err != nil {
		return nil, err
	}
	return grown, nil
}

// ReadAnswer reads the beginning of the answer to a request of the connection: at most limit bytes, and fewer if there is no room for
// them beside what all callers hold. more reports whether the answer may go on. The error is that of the source.
func (c *Conn) ReadAnswer(source io.Reader, limit int) (begin []byte, more bool, err error) {
	for len(begin) < limit {
		if len(begin) == cap(begin) {
			size := min(limit, max(firstBodyBytes, bodyGrowth*cap(begin)))
			if !c.tryReserve(int64(size)) && len(begin) > 0 {
				return begin, true, nil
			}
			grown := make([]byte, len(begin), size)
			copy(grown, begin)
			c.release(int64(cap(begin)))
			begin = grown
		}
		n, err := source.Read(begin[len(begin):min(limit, cap(begin))])
		begin = begin[:len(begin)+n]
		if errors.Is(err, io.EOF) {
			return begin, false, nil
		}
		if err != nil {
			return begin, false, err
		}
	}
	return begin, true, nil
}
