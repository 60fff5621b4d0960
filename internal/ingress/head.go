package ingress

import (
	"bytes"
	"net/http"
)

// headScanner follows a head as it arrives. The zero value is at its beginning.
type headScanner struct {
	bytes   int
	lineLen int  // bytes of the line under way, without a carriage return
	begun   bool // a line that is not empty was seen; servers pass over empty ones before it
	ended   bool
}

// scan returns what the bytes cost in memory. It stops at the end of the head.
func (s *headScanner) scan(data []byte) (cost int64) {
	for used := 0; used < len(data) && !s.ended; {
		part := data[used:]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
			cost += lineBytes
		}
		used += len(part)
		s.bytes += len(part)
		cost += headCopies * int64(len(part))
		s.lineLen += len(bytes.TrimRight(part, "\r\n"))
		if end >= 0 {
			s.ended = s.begun && s.lineLen == 0
			s.begun = s.begun || s.lineLen > 0
			s.lineLen = 0
		}
	}
	return cost
}

// costOf returns what a header costs in memory, as scan counts it.
func costOf(header http.Header) int64 {
	var cost int64
	for name, values := range header {
		for _, value := range values {
			cost += lineBytes + headCopies*int64(len(name)+len(value))
		}
	}
	return cost
}
