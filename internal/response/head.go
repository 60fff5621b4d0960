package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"

	"golang.org/x/net/http/httpguts"

	"github.com/lovageglade/lovageglade/internal/budget"
)

// The status codes of RFC 9110, section 15.
const (
	minStatus       = 100
	minFinalStatus  = 200
	maxStatus       = 599
	statusSwitching = 101 // answers only a request with an Upgrade field, which this system never sends
	statusDigits    = 3
)

// ErrTooLong is returned for a server that sends bytes without end where the head or the trailer section of a response is due.
var ErrTooLong = errors.New("the head of the response is too long; check what the endpoint sends")

// ErrNoRoom is returned for a head that is larger than usual while other such heads use up the memory for them.
var ErrNoRoom = errors.New("there is no room for a response with such a long head; check what the endpoints send")

// MalformedError is returned for bytes that are no response.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string {
	return "the bytes received are no HTTP response: " + e.Reason + "; check what the endpoint sends"
}

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// IsFinalStatus reports whether the status is that of a final response.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// section is the lines of a head or of a trailer section up to and with the empty line, as they were received.
type section []byte

// The memory that a section takes while it is read, parsed and in use.
const (
	copiesOfSection = 2   // as received and as parsed
	lineCostBytes   = 128 // of a field's entry in the header
)

// readSection appends the lines up to and with the next empty line to dst, whose buffer it may reuse. It reads at most limit bytes and
// accounts for their memory in kept.
func readSection(r *bufio.Reader, dst section, limit int, kept *budget.Growth) (section, error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if len(dst)+len(part) > limit {
			return dst, ErrTooLong
		}
		if !kept.Resize(kept.Size() + int64(copiesOfSection*len(part)+lineCostBytes)) {
			return dst, ErrNoRoom
		}
		dst = append(dst, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return dst, io.ErrUnexpectedEOF
		case err != nil:
			return dst, err
		}
		if len(trimLineEnd(dst[lineStart:])) == 0 {
			return dst, nil
		}
		lineStart = len(dst)
	}
}

// trimLineEnd removes the line feed, and a carriage return before it, from the end of the line. A recipient may take a single line
// feed for the end of a line (RFC 9112, section 2.2).
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// splitLine returns the first line without its end, and the rest.
func (s section) splitLine() (line []byte, rest section) {
	end := bytes.IndexByte(s, '\n') + 1 // every line of a section has an end
	return trimLineEnd(s[:end]), s[end:]
}

// statusLine is the first line of a response.
type statusLine struct {
	version string // "1.0" or a later one of HTTP/1
	status  int
}

// parseStatusLine parses the line, which must be that of a response of HTTP/1.
func parseStatusLine(line []byte) (statusLine, error) {
	if err := checkText(line); err != nil {
		return statusLine{}, err
	}
	protocol, rest, _ := strings.Cut(string(line), " ")
	version, isHTTP := strings.CutPrefix(protocol, "HTTP/")
	if !isHTTP || len(version) != len("1.1") || version[:2] != "1." || !isDigit(version[2]) {
		return statusLine{}, malformed("the first line %.40q is no status line of HTTP/1", line)
	}
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != statusDigits || strings.IndexFunc(code, isNoDigit) >= 0 {
		return statusLine{}, malformed("the status %.40q is not three digits", code)
	}
	status, _ := strconv.Atoi(code) // three digits
	if status < minStatus || status > maxStatus || status == statusSwitching {
		return statusLine{}, malformed("there is no status %s", code)
	}
	return statusLine{version: version, status: status}, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNoDigit(r rune) bool { return r > unicode.MaxASCII || !isDigit(byte(r)) }

// checkFields returns an error unless each line up to the empty one is a field of the grammar of RFC 9112, section 5, or the
// continuation of one (section 5.2).
func (s section) checkFields(version string) error {
	for first := true; ; first = false {
		var line []byte
		line, s = s.splitLine()
		if len(line) == 0 {
			return nil
		}
		if err := checkText(line); err != nil {
			return err
		}
		if line[0] == ' ' || line[0] == '\t' {
			if first {
				return malformed("the first field begins with a blank")
			}
			continue
		}
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) {
			return malformed("%.40q is no field", line)
		}
		// The recipient cannot know whether a server of HTTP/1.0 means the chunks (RFC 9112, section 6.1).
		if version == "1.0" && strings.EqualFold(string(name), "Transfer-Encoding") {
			return malformed("a response of HTTP/1.0 has a transfer encoding")
		}
	}
}

// checkText returns an error if the line holds a control character other than a tab.
func checkText(line []byte) error {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == '\x7f' {
			return malformed("%.40q holds a control character", line)
		}
	}
	return nil
}
