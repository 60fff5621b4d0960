package graceful

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// The time for which a closing listener accepts is over, because callers keep connecting or the process was held off.
func TestConnectionsThatWaitAtTheEndAreAccepted(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(tcp)
	const waiting = 20
	for range waiting {
		connect(t, tcp.Addr().String())
	}
	over, stop := context.WithDeadline(context.Background(), time.Now())
	defer stop()
	l.finish(over)
	for range waiting {
		c, err := l.Accept()
		if err != nil {
			t.Fatal("a connection that waited was not accepted: ", err)
		}
		_ = c.Close()
	}
	if c, err := l.Accept(); err != http.ErrServerClosed {
		t.Errorf("%v, error %v, want the end", c, err)
	}
}
