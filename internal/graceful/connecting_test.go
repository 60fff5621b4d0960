package graceful

import (
	"context"
	"net"
	"testing"
	"time"
)

// Its stop would last until the grace period ends, and cut the open requests.
func TestListenerClosesWhileCallersKeepConnecting(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(tcp)
	defer l.Close()
	over, stop := context.WithDeadline(context.Background(), time.Now())
	defer stop()
	l.finish(over)
	for began := time.Now(); time.Since(began) < longestFinish; {
		caller, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			return // it is closed
		}
		c, err := l.Accept()
		_ = caller.Close()
		if err != nil {
			return
		}
		_ = c.Close()
		<-time.After(time.Millisecond)
	}
	t.Error("the listener is open long after the time for which it accepts")
}
