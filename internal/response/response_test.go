package response

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// read reads the response to a GET request and its body.
func read(text string) (*Response, string, error) {
	response, err := Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
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
