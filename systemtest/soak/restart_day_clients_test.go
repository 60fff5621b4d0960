package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// runClient sends requests at random times over a connection that it keeps, to one gateway after another if they fail.
func (d *day) runClient(ctx context.Context, domain dayDomain) {
	interval := time.Duration(float64(domain.clients) / domain.perSecond * float64(time.Second))
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	number := rand.IntN(domain.gateways)
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval)))
		kind := drawKind()
		requests.Go(func() {
			deadline := time.Now().Add(time.Duration(kind.deadlineMs) * time.Millisecond)
			for attempt := range 2 {
				gateway := d.gateways[domain.name][(number+attempt)%domain.gateways]
				wait, again := d.send(transport, gateway.address, kind, deadline)
				if !again || wait > time.Duration(float64(time.Until(deadline))*dayRetryShare) {
					return
				}
				time.Sleep(wait)
			}
		})
	}
}

func drawKind() dayKind {
	sum := 0.0
	for _, kind := range dayKinds {
		sum += kind.perSecond
	}
	draw := rand.Float64() * sum
	for _, kind := range dayKinds {
		if draw -= kind.perSecond; draw < 0 {
			return kind
		}
	}
	return dayKinds[0]
}

// send sends a request and reports whether the client may send it again, after the wait.
func (d *day) send(transport *http.Transport, gateway string, kind dayKind, deadline time.Time) (wait time.Duration, again bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/"+kind.route+"/x", strings.NewReader(strings.Repeat("b", 400)))
	if err != nil {
		d.t.Error(err)
		return 0, false
	}
	request.Host = platformtest.Host
	request.Header.Set(platformtest.HeaderAttempt, id)
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"kept")
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(time.Until(deadline).Milliseconds()))
	if kind.kind == "stream" {
		prompt := max(60, int(float64(kind.promptTokens)*min(3, rand.ExpFloat64())))
		events := max(1, int(float64(kind.events)*min(2.5, rand.ExpFloat64())))
		request.Header.Set(platformtest.HeaderModel, dayWeights.Model)
		request.Header.Set(platformtest.HeaderTokens, fmt.Sprintf("%d,%d", prompt, events*dayPace.Stride))
		request.Header.Set(platformtest.HeaderPrompt, fmt.Sprintf("%x:40,%s:%d", rand.IntN(60)+1, id, prompt-40))
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		d.count(0)
		return 0, kind.kind != "unsafe" || errors.Is(err, syscall.ECONNREFUSED)
	}
	defer answer.Body.Close()
	d.count(answer.StatusCode)
	_, err = io.Copy(io.Discard, bufio.NewReader(answer.Body))
	if answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests {
		var seconds float64
		_, _ = fmt.Sscan(answer.Header.Get("Retry-After"), &seconds) // absent means at once
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, err != nil && kind.kind != "unsafe"
}
