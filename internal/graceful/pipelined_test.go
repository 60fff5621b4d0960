package graceful

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// A request was read together with the one before it, which was still running when the server was told to stop.
func TestRequestThatWasReadWithItsPredecessorIsAnswered(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	s, address := startServer(t, func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})
	go func() { _ = s.Serve() }()
	const attempts = 400
	var readers []*bufio.Reader
	for range attempts {
		c := connect(t, address)
		const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
		if _, err := io.WriteString(c, request+request); err != nil {
			t.Fatal(err)
		}
		<-running
		readers = append(readers, bufio.NewReader(c))
	}
	ended := make(chan error, 1)
	go func() { ended <- shutdown(s) }()
	go func() {
		for range running { // the second requests
		}
	}()
	for c, err := s.listener.Accept(); err == nil; c, err = s.listener.Accept() {
		_ = c.Close()
	}
	close(release)
	for _, reader := range readers {
		for range 2 {
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal("a request that was read got no answer: ", err)
			}
			_ = answer.Body.Close()
		}
	}
}
