package dispatch

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// placeholder is the target that net/http writes. withTarget replaces it, since net/http changes some targets, such as those that
// begin with two slashes and hold bytes outside ASCII.
const placeholder = "/"

var errBadTarget = errors.New("the target holds a space or a control character")

// isTarget reports whether the text can stand in a request line.
func isTarget(text string) bool {
	isSeparator := func(r rune) bool { return r <= ' ' || r == '\x7f' }
	return text != "" && !strings.ContainsFunc(text, isSeparator)
}

// withTarget returns a writer for the request that writes the target byte by byte instead of the placeholder.
func withTarget(w io.Writer, req *http.Request, target string) io.Writer {
	return &targetWriter{Writer: w, before: len(req.Method) + len(" "), target: target}
}

type targetWriter struct {
	io.Writer
	before  int // bytes of the request line before the target
	target  string
	written bool // the target has been written
}

// Write implements io.Writer. The first write holds the whole request line, since net/http buffers more than that.
func (t *targetWriter) Write(data []byte) (int, error) {
	if t.written {
		return t.Writer.Write(data)
	}
	t.written = true
	after := data[t.before+len(placeholder):]
	line := make([]byte, 0, len(data)+len(t.target))
	line = append(append(append(line, data[:t.before]...), t.target...), after...)
	n, err := t.Writer.Write(line)
	return min(n, len(data)), err
}
