package response

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/budget"
)

// read reads the response to a GET request and its body.
func read(text string) (*Response, string, error) {
	response, err := Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

func TestStatusOutsideOfTheStandardIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "999", "20", "2000", "+20", "-00", "0x1", "２００", "abc", ""} {
		for _, after := range []string{"", sound} {
			_, body, err := read("HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n" + after)
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("status %q: body %q, error %v", status, body, err)
			}
		}
	}
	for _, line := range []string{"", "\r\n", "HTTP/2.0 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1.1\t200 OK", "200 OK", "HTTP/1.1 200 O\x01K"} {
		if _, body, err := read(line + "\r\n\r\n" + sound); err == nil {
			t.Errorf("first line %q: body %q", line, body)
		}
	}
}

func TestSoundStatusLinesAreRead(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Not quite: \xc3\xa4\t/", "HTTP/1.1 599 x", "HTTP/1.1 404 x"} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 x\r\n\r\n"} {
			if _, body, err := read(interim + line + "\r\nContent-Length: 5\r\n\r\nwhole"); err != nil || body != "whole" {
				t.Errorf("%q after %q: body %q, error %v", line, interim, body, err)
			}
		}
	}
}

// oddFields are lines that are no fields by the grammar.
var oddFields = map[string]string{
	"a blank within the name":            "A B: c",
	"a blank after the name":             "Content-Length : 2",
	"a tab after the name":               "Content-Length\t: 2",
	"a blank after Transfer-Encoding":    "Transfer-Encoding : chunked",
	"a control byte in the name":         "A\x01B: c",
	"NUL in the name":                    "A\x00: c",
	"DEL in the name":                    "A\x7f: c",
	"a carriage return in the name":      "A\rB: c",
	"no name":                            ": c",
	"no colon":                           "A",
	"a byte outside of ASCII in a name":  "\xc3\xa4: c",
	"a separator in the name":            "A(b): c",
	"a control byte in the value":        "A: b\x01c",
	"NUL in the value":                   "A: b\x00c",
	"a carriage return in the value":     "A: b\rContent-Length: 2",
	"a name in a line that is continued": "A b:\r\n c",
}

func TestHeadWithALineThatIsNoFieldIsNoResponse(t *testing.T) {
	for name, line := range oddFields {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n\r\nwhole",
			"HTTP/1.1 200 OK\n" + line + "\nContent-Length: 5\n\nwhole",
			"HTTP/1.1 103 x\r\n" + line + "\r\n\r\n" + sound,
		} {
			_, body, err := read(text)
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("%s: body %q, error %v", name, body, err)
			}
		}
	}
}

func TestTrailerSectionWithALineThatIsNoFieldEndsNoResponse(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	for name, line := range oddFields {
		if _, body, err := read(chunks + line + "\r\n\r\n"); err == nil {
			t.Errorf("%s: body %q", name, body)
		}
	}
	for _, trailer := range []string{"", "A: b\r\n", "A: b\r\n c\r\nD:\r\n"} {
		if _, body, err := read(chunks + trailer + "\r\n"); err != nil || body != "whole" {
			t.Errorf("trailer section %q: body %q, error %v", trailer, body, err)
		}
		for _, end := range []string{"", "\r"} {
			if _, body, err := read(chunks + trailer + end); err == nil {
				t.Errorf("trailer section %q without its end: body %q", trailer, body)
			}
		}
	}
}

// The framing must be stated so that all recipients read it the same way.
func TestUnclearFramingIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
		"a list of lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 5, 6",
		"a length with a sign":          "HTTP/1.1 200 OK\r\nContent-Length: +5",
		"a length that is no number":    "HTTP/1.1 200 OK\r\nContent-Length: five",
		"a length without a value":      "HTTP/1.1 200 OK\r\nContent-Length:",
		"a coding that is not known":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
		"chunks twice":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"chunks of HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
		"chunks of HTTP/1.0 and length": "HTTP/1.0 200 OK\r\nContent-Length: 5\r\ntransfer-encoding: chunked",
	} {
		if _, body, err := read(head + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"); err == nil {
			t.Errorf("%s: body %q", name, body)
		}
	}
}

func TestSoundHeadsAreRead(t *testing.T) {
	long := strings.Repeat("x", MaxHeadBytes-100) // of a head within the limit
	for _, test := range []struct {
		name, head, after string
		framing           Framing
		field, value      string
	}{
		{"length", "Content-Length: 5", "whole", FramedByLength, "", ""},
		{"chunks", "Transfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n", FramedByChunks, "", ""},
		{"chunk extension", "Transfer-Encoding: chunked", "5;a=b\r\nwhole\r\n0;c\r\n\r\n", FramedByChunks, "", ""},
		{"unframed", "A: b", "whole", Unframed, "A", "b"},
		{"no space before the value", "A:b\r\nContent-Length:5", "whole", FramedByLength, "A", "b"},
		{"all characters of names", "!#$%&'*+-.^_`|~09azAZ: b", "whole", Unframed, "!#$%&'*+-.^_`|~09azAZ", "b"},
		{"tabs, blanks and bytes outside of ASCII in a value", "A: \tb \xc3\xa4\t: c \t", "whole", Unframed, "A", "b \xc3\xa4\t: c"},
		{"no value", "A:", "whole", Unframed, "A", ""},
		{"a continued field", "A: b\r\n\tc", "whole", Unframed, "A", "b c"},
		{"a long field", "A: " + long, "whole", Unframed, "A", long},
		{"the same length twice", "Content-Length: 5\r\nContent-Length: 5", "whole", FramedByLength, "", ""},
	} {
		response, body, err := read("HTTP/1.1 200 OK\r\n" + test.head + "\r\n\r\n" + test.after)
		if err != nil || body != "whole" || response.Framing != test.framing || response.EndsWithConn != (test.framing == Unframed) {
			t.Errorf("%s: body %q, error %v, response %v", test.name, body, err, response)
			continue
		}
		if values := response.Header[http.CanonicalHeaderKey(test.field)]; test.field != "" && (len(values) != 1 || values[0] != test.value) {
			t.Errorf("%s: values %q", test.name, values)
		}
	}
}

func TestAnswersWithoutABodyHaveNone(t *testing.T) {
	for _, test := range []struct{ method, head string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nA: b"},
		{http.MethodGet, "HTTP/1.1 204 x\r\nA: b"},
		{http.MethodGet, "HTTP/1.1 304 x\r\nContent-Length: 5"},
		{http.MethodGet, "HTTP/1.1 200 x\r\nContent-Length: 0"},
	} {
		next := bufio.NewReader(strings.NewReader(test.head + "\r\n\r\n" + sound))
		response, err := Read(next, test.method, nil)
		if err != nil {
			t.Errorf("%q: %v", test.head, err)
			continue
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) > 0 || response.EndsWithConn {
			t.Errorf("%s, %q: body %q, error %v", test.method, test.head, body, err)
		}
		if _, err := Read(next, http.MethodGet, nil); err != nil {
			t.Errorf("%s, %q: the next response is not read: %v", test.method, test.head, err)
		}
	}
}

func TestSectionsWithoutEndAreTooLong(t *testing.T) {
	for name, text := range map[string]string{
		"a status line":       strings.Repeat("x", MaxHeadBytes+1),
		"a field":             "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", MaxHeadBytes),
		"fields":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", MaxHeadBytes/6),
		"interim responses":   strings.Repeat("HTTP/1.1 103 x\r\n\r\n", MaxHeadBytes/18+1),
		"a trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + strings.Repeat("x", maxTrailerBytes),
		"fields of a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes/6+1),
	} {
		if _, _, err := read(text); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s without end: %v", name, err)
		}
	}
}

// Heads of the largest size together must not take more than the budget. Usual ones are read beside them.
func TestHeadsAreBoundedTogether(t *testing.T) {
	const limit = 4 << 20
	heads := budget.New(limit)
	long := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", (MaxHeadBytes-100)/6) + "\r\n"
	var open []*Response
	for {
		response, err := Read(bufio.NewReader(strings.NewReader(long)), http.MethodGet, heads)
		if errors.Is(err, ErrNoRoom) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if open = append(open, response); len(open) > limit/MaxHeadBytes {
			t.Fatalf("%d heads are held", len(open))
		}
	}
	held := heads.Held()
	if response, err := Read(bufio.NewReader(strings.NewReader(sound)), http.MethodGet, heads); err != nil || response.Status != http.StatusOK || heads.Held() != held {
		t.Errorf("a usual head beside them: %v", err)
	}
	for _, text := range []string{long[:len(long)/8], "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n"} {
		if _, err := Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet, heads); err == nil || heads.Held() != held {
			t.Errorf("a head that is none: %v, %d more bytes are held", err, heads.Held()-held)
		}
	}
	for _, response := range open {
		response.Release()
	}
	if heads.Held() != 0 {
		t.Errorf("%d bytes are held after all", heads.Held())
	}
}
