//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// client sends requests to one gateway, as clients of the platform do.
type client struct {
	record  *record
	gateway *gateway
	http    *http.Client
	prefix  string // of the numbers of its requests
	sent    atomic.Int64
	open    sync.WaitGroup
}

func newClient(r *record, g *gateway) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	return &client{record: r, gateway: g, http: &http.Client{Transport: transport}}
}

// answer is what a client got for a request.
type answer struct {
	id      string
	gateway string
	status  int // 0 for none
	header  http.Header
	body    string
	sentAt  time.Time
	at      time.Time
	err     error
}

// request is what a client sends.
type request struct {
	method     string
	path       string
	header     map[string]string
	body       io.Reader
	deadlineMs int
}

// do sends the request and reads the whole answer.
func (c *client) do(q request) answer {
	a := answer{id: fmt.Sprintf("%s.%s%d", c.gateway.name, c.prefix, c.sent.Add(1)), gateway: c.gateway.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.deadlineMs)*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.gateway.front+q.path, q.body)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = platformtest.Host
	r.Header.Set(platformtest.HeaderAttempt, a.id)
	r.Header.Set(platformtest.HeaderDeadline, strconv.Itoa(q.deadlineMs))
	r.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+clientKey)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	c.record.line("client sends %s to %s", a.id, c.gateway.name)
	response, err := c.http.Do(r)
	if err != nil {
		a.err, a.at = err, time.Now()
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err, a.at = response.StatusCode, response.Header, string(body), err, time.Now()
	return a
}

// every sends a request each interval until the context ends, without waiting for answers, and calls got with each answer.
func (c *client) every(ctx context.Context, interval time.Duration, next func() request, got func(answer)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.open.Wait()
			return
		case <-ticker.C:
			c.open.Add(1)
			go func() {
				defer c.open.Done()
				got(c.do(next()))
			}()
		}
	}
}
