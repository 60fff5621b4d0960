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
	clientTimeout      = 5 * time.Second // a second more than the routes' time-outs
	maxClientPause     = 8 * time.Millisecond
	newConnectionShare = 0.1 // of requests that are sent on a new connection
)

// request is what a client sent and what it got.
type request struct {
	id          string
	route       string
	apiKey      string
	gateway     int
	incarnation int // of the gateway when the request was sent
	sent        time.Time
	ended       time.Time
	status      int // 0 for no answer
	signature   string
	body        string
	err         error // also after a status, when the body broke off
}

// requestLog holds what clients got. It is safe for concurrent use.
type requestLog struct {
	mu  sync.Mutex
	all []*request
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

func (l *requestLog) list() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*request(nil), l.all...)
}

var routeNames = []string{"once", "safe", "stream", "moving"}

// runClient sends one request after the other until the context ends. Its connections stay open while gateways live.
func (s *system) runClient(ctx context.Context, number int) {
	keepAlive := &http.Transport{MaxIdleConnsPerHost: 2}
	defer keepAlive.CloseIdleConnections()
	keys := s.config.Keys
	for count := 0; ctx.Err() == nil; count++ {
		r := &request{
			id:      fmt.Sprintf("c%d-%d", number, count),
			route:   routeNames[rand.IntN(len(routeNames))],
			apiKey:  keys[0],
			gateway: rand.IntN(gatewayCount),
		}
		if rand.IntN(4) == 0 {
			r.apiKey = keys[rand.IntN(len(keys))]
		}
		transport := keepAlive
		if rand.Float64() < newConnectionShare {
			transport = &http.Transport{DisableKeepAlives: true}
		}
		s.send(ctx, transport, r)
		s.requestLog.add(r)
		s.checkAnswer(r)
		time.Sleep(rand.N(maxClientPause))
	}
}

// send sends the request and reads what comes back.
func (s *system) send(ctx context.Context, transport *http.Transport, r *request) {
	call, stop := context.WithTimeout(ctx, clientTimeout)
	defer stop()
	gateway := s.gateways[r.gateway]
	r.incarnation = gateway.currentIncarnation()
	message, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+gateway.frontAddress+"/"+r.route+"/x", strings.NewReader("body of "+r.id))
	if err != nil {
		s.t.Error(err)
		return
	}
	message.Host = platformtest.Host
	message.Header.Set(platformtest.HeaderAttempt, r.id)
	message.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+r.apiKey)
	message.Header.Set(platformtest.HeaderDeadline, "4500")
	if r.route == "stream" {
		message.Header.Set(platformtest.HeaderModel, testWeights.Model)
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
	r.signature = answer.Header.Get(platformtest.HeaderSignature)
	body, err := io.ReadAll(answer.Body)
	r.body = string(body)
	r.err = err
}

// checkAnswer checks what a client can see of its own answer.
func (s *system) checkAnswer(r *request) {
	complete := r.status == http.StatusOK && r.err == nil
	if r.route == "stream" {
		s.checkStream(r, complete)
		return
	}
	if !complete {
		return
	}
	instance := strings.TrimPrefix(r.signature, "seal-of-")
	if r.signature == "" || r.body != answerBody(r.id, instance) {
		s.t.Errorf("whole answers: %s got %d bytes sealed %q that are not its own whole answer", r.id, len(r.body), r.signature)
	}
}

// checkStream checks that the events came in order, none twice, and all of them if the stream looks complete.
func (s *system) checkStream(r *request, complete bool) {
	if r.status != http.StatusOK {
		return
	}
	var want strings.Builder
	for number := 1; number <= streamEvents; number++ {
		want.WriteString(streamEvent(r.id, number))
	}
	if complete && r.body != want.String() {
		s.t.Errorf("streams: %s looks complete with %q", r.id, r.body)
	}
	if !strings.HasPrefix(want.String(), r.body) {
		s.t.Errorf("streams: %s got events out of order: %q", r.id, r.body)
	}
}

// probeRoutes tells whether the gateway serves each route now.
func (s *system) probeRoutes(ctx context.Context, gateway int) error {
	transport := &http.Transport{DisableKeepAlives: true}
	for _, route := range routeNames {
		r := &request{id: fmt.Sprintf("probe-%d-%s", s.probeCount.Add(1), route), route: route, apiKey: "kept", gateway: gateway}
		s.send(ctx, transport, r)
		s.requestLog.add(r)
		s.checkAnswer(r)
		if r.status != http.StatusOK || r.err != nil {
			return errors.Join(fmt.Errorf("gateway %d answers %d to %s: %s", gateway, r.status, route, r.body), r.err)
		}
	}
	return nil
}
