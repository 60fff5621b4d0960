package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Idle connections take descriptors that open requests need.
func TestIdleConnectionsToAllAddressesAreBounded(t *testing.T) {
	const addresses, bound = 12, 5
	pool := NewPool()
	pool.MaxIdle = bound
	defer pool.Close()
	for range addresses {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		for range 2 { // the second request may reuse the connection of the first
			response, err := pool.Send(context.Background(), &Request{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			drain(t, response)
		}
	}
	idle := 0
	for _, list := range pool.idle {
		idle += len(list)
	}
	if idle != bound || pool.idleCount != idle {
		t.Errorf("%d idle connections, counted as %d, want %d", idle, pool.idleCount, bound)
	}
	for address := range pool.idle {
		pool.CloseIdle(address)
	}
	if pool.idleCount != 0 {
		t.Errorf("%d connections are counted after all were closed", pool.idleCount)
	}
}

// A pool that is no longer used must not keep connections until their servers have closed them.
func TestIdleConnectionsExpireWithoutFurtherRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	pool := NewPool()
	pool.IdleTimeout = 50 * time.Millisecond
	defer pool.Close()
	response, err := pool.Send(t.Context(), &Request{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	drain(t, response)
	idle := func() (int, int) {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.idleCount, len(pool.idle)
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if count, addresses := idle(); count == 0 && addresses == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection stays open")
		}
	}
}

func drain(t *testing.T, response *Response) {
	t.Helper()
	buffer := make([]byte, 1024)
	for {
		if _, err := response.Read(buffer); err != nil {
			break
		}
	}
	response.Close()
}
