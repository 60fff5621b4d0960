package rpc

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestIdleConnectionsAreClosed guards against connections that stay open after their last call. It moves the time
// of closeIdle past the idle timeout and then calls again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := Serve(listener, map[string]Method{"echo": Handle(func(_ context.Context, text string) (string, error) { return text, nil })})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	echo := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var answer string
		if err := client.Call(ctx, address, "echo", "text", &answer); err != nil || answer != "text" {
			t.Fatalf("answer %q, error %v", answer, err)
		}
	}
	echo()
	first := client.conns[address]
	echo()
	if client.conns[address] != first {
		t.Error("a connection in use was replaced by a new one")
	}
	client.closeIdle(time.Now().Add(2 * idleTimeout))
	if len(client.conns) != 0 || len(client.uses) != 0 || !isDisconnected(first) {
		t.Error("an idle connection was not closed")
	}
	echo()
}
