//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// request is one client attempt.
type request struct {
	id, method, route, prompt, body string
	key                             string // "" for clientKey
	gateway                         int    // machine that the platform's balancer chose
	deadline                        time.Duration
}

// outcome is what a client has got.
type outcome struct {
	request
	sentAt, endedAt time.Time
	status          int // 0 if there was no whole answer
	rate            string
	err             error
}

// clients sends requests and keeps their outcomes. It is safe for concurrent use.
type clients struct {
	fleet   *fleet
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// send sends the request on a connection of its own without waiting for the answer.
func (c *clients) send(r request) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		o := c.exchange(r)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		c.fleet.record.add("client: %s at edge-%d ended with %d after %v %v", r.id, r.gateway, o.status, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.err)
	}()
}

func (c *clients) exchange(r request) outcome {
	o := outcome{request: r, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/x", c.fleet.frontAddress(r.gateway), r.route)
	sent, err := http.NewRequestWithContext(ctx, r.method, url, strings.NewReader(r.body))
	if err != nil {
		o.err = err
		return o
	}
	sent.Host = platformtest.Host
	sent.Header.Set(platformtest.HeaderAttempt, r.id)
	sent.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(r.deadline.Milliseconds()))
	sent.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+cmp.Or(r.key, clientKey))
	if r.prompt != "" {
		sent.Header.Set(platformtest.HeaderModel, c.fleet.weights.Model)
		sent.Header.Set(platformtest.HeaderTokens, "400,70")
		sent.Header.Set(platformtest.HeaderPrompt, r.prompt)
	}
	c.fleet.record.add("client: %s sent to edge-%d", r.id, r.gateway)
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(sent)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		o.rate = answer.Header.Get(platformtest.HeaderRate)
		o.status = answer.StatusCode
	}
	o.endedAt, o.err = time.Now(), err
	if err != nil {
		o.status = 0
	}
	return o
}

func (c *clients) all() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
