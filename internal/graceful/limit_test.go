package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/ingress"
)

// A head for which there is no room at its end, in one read or the last of several, is answered with a promise that it has not run.
func TestHeadWithoutRoomIsRefusedWithAnAnswer(t *testing.T) {
	const room = 64 << 10 // for a connection and some lines
	head := "GET / HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("a:\r\n", 500)
	for name, newServer := range map[string]func(tcp *net.TCPListener) *Server{
		"net/http": func(tcp *net.TCPListener) *Server {
			return NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a refused request was served") })}, tcp)
		},
		"fiber": func(tcp *net.TCPListener) *Server {
			app := fiber.New(fiber.Config{StreamRequestBody: true})
			app.Use(ReadBody(1 << 20))
			return NewFiberServer(app, tcp, testTimeout)
		},
	} {
		for _, parts := range [][]string{{head + "\r\n"}, {head[:20], head[20:] + "\r\n"}} {
			tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			s := newServer(tcp)
			s.Limit(ingress.NewGuard(ingress.Options{Memory: room, Connections: 1}))
			go func() { _ = s.Serve() }()
			c := connect(t, tcp.Addr().String())
			for _, part := range parts {
				_, _ = io.WriteString(c, part) // the connection may be closed
			}
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("%s, %d parts: no answer: %v", name, len(parts), err)
				continue
			}
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
				t.Errorf("%s, %d parts: status %d, header %v, error %v", name, len(parts), answer.StatusCode, answer.Header, err)
			}
			_ = s.Close()
		}
	}
}
