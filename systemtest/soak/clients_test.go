package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	clientPatience = 5 * time.Second // a second more than the routes' time-outs
	clientPause    = 8 * time.Millisecond
	freshShare     = 0.1 // of requests that are sent on a new connection
)

// request is what a client sent and what it got.
type request struct {
	id      string
	route   string
	key     string
	gateway int
	life    int // of the gateway when the request was sent
	sent    time.Time
	ended   time.Time
	status  int // 0 for no answer
	seal    string
	body    string
	err     error // also after a status, when the body broke off
}

// journal holds what clients got. It is safe for concurrent use.
type journal struct {
	mu  sync.Mutex
	all []*request
}

func (j *journal) add(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all = append(j.all, r)
}

func (j *journal) list() []*request {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*request(nil), j.all...)
}

var routeNames = []string{"once", "safe", "stream", "moving"}

// client sends one request after the other until the context ends. Its connections stay open while gateways live.
func (w *world) client(ctx context.Context, number int) {
	kept := &http.Transport{MaxIdleConnsPerHost: 2}
	defer kept.CloseIdleConnections()
	keys := w.config.Keys
	for count := 0; ctx.Err() == nil; count++ {
		r := &request{
			id:      fmt.Sprintf("c%d-%d", number, count),
			route:   routeNames[rand.IntN(len(routeNames))],
			key:     keys[0],
			gateway: rand.IntN(gatewayCount),
		}
		if rand.IntN(4) == 0 {
			r.key = keys[rand.IntN(len(keys))]
		}
		transport := kept
		if rand.Float64() < freshShare {
			transport = &http.Transport{DisableKeepAlives: true}
		}
		w.send(ctx, transport, r)
		w.requests.add(r)
		w.checkAnswer(r)
		time.Sleep(rand.N(clientPause))
	}
}

// send sends the request and reads what comes back.
func (w *world) send(ctx context.Context, transport *http.Transport, r *request) {
	call, stop := context.WithTimeout(ctx, clientPatience)
	defer stop()
	gateway := w.gateways[r.gateway]
	r.life = gateway.lives()
	message, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+gateway.front+"/"+r.route+"/x", strings.NewReader("body of "+r.id))
	if err != nil {
		w.t.Error(err)
		return
	}
	message.Host = platformtest.Host
	message.Header.Set(platformtest.HeaderAttempt, r.id)
	message.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+r.key)
	message.Header.Set(platformtest.HeaderDeadline, "4500")
	if r.route == "stream" {
		message.Header.Set(platformtest.HeaderModel, pieces.Model)
		message.Header.Set(platformtest.HeaderTokens, "500,40")
	}
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	answer, err := transport.RoundTrip(message)
	if err != nil {
		r.err = err
		return
	}
	defer answer.Body.Close()
	r.status = answer.StatusCode
	r.seal = answer.Header.Get(platformtest.HeaderSignature)
	body, err := io.ReadAll(answer.Body)
	r.body = string(body)
	r.err = err
}

// checkAnswer checks what a client can see of its own answer.
func (w *world) checkAnswer(r *request) {
	whole := r.status == http.StatusOK && r.err == nil
	if r.route == "stream" {
		w.checkStream(r, whole)
		return
	}
	if !whole {
		return
	}
	instance := strings.TrimPrefix(r.seal, "seal-of-")
	if r.seal == "" || r.body != bodyOf(r.id, instance) {
		w.t.Errorf("whole answers: %s got %d bytes sealed %q that are not its own whole answer", r.id, len(r.body), r.seal)
	}
}

// checkStream checks that the events came in order, none twice, and all of them if the stream looks complete.
func (w *world) checkStream(r *request, whole bool) {
	if r.status != http.StatusOK {
		return
	}
	var want strings.Builder
	for number := 1; number <= streamEvents; number++ {
		want.WriteString(eventOf(r.id, number))
	}
	if whole && r.body != want.String() {
		w.t.Errorf("streams: %s looks complete with %q", r.id, r.body)
	}
	if !strings.HasPrefix(want.String(), r.body) {
		w.t.Errorf("streams: %s got events out of order: %q", r.id, r.body)
	}
}

// succeeds tells whether the gateway serves each route now.
func (w *world) succeeds(ctx context.Context, gateway int) error {
	transport := &http.Transport{DisableKeepAlives: true}
	for _, route := range routeNames {
		r := &request{id: fmt.Sprintf("probe-%d-%s", w.probes.Add(1), route), route: route, key: "kept", gateway: gateway}
		w.send(ctx, transport, r)
		w.requests.add(r)
		w.checkAnswer(r)
		if r.status != http.StatusOK || r.err != nil {
			return errors.Join(fmt.Errorf("gateway %d answers %d to %s: %s", gateway, r.status, route, r.body), r.err)
		}
	}
	return nil
}
