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
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	clientTimeout      = 5 * time.Second // longer than the deadline that is sent with each request
	requestDeadlineMs  = "4500"
	maxClientPause     = 8 * time.Millisecond
	newConnectionShare = 0.1 // share of requests that are sent on a new connection
)

// request is a client's request and the answer it received.
type request struct {
	id          string
	route       string
	apiKey      string
	gateway     int
	incarnation int // of the gateway at the time of sending
	sent        time.Time
	written     atomic.Int64 // Unix time in nanoseconds at which it had been sent completely; 0 before
	ended       time.Time
	status      int // 0 if there was no answer
	signature   string
	body        string
	err         error  // also set after a status if the body was cut off
	part        string // part of the prompt after the one that all prompts share; "" for one of the request alone
}

// requestLog holds the requests of all clients with their answers. It is safe for concurrent use.
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

// runClient sends one request after another until the context ends. Most requests use keep-alive connections.
func (s *system) runClient(ctx context.Context, number int) {
	keepAlive := &http.Transport{MaxIdleConnsPerHost: 2}
	defer keepAlive.CloseIdleConnections()
	s.mu.Lock()
	keys := s.config.Keys
	s.mu.Unlock()
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

// send sends the request and records the answer in it.
func (s *system) send(ctx context.Context, transport *http.Transport, r *request) {
	callCtx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	gateway := s.gateways[r.gateway]
	r.incarnation = gateway.currentIncarnation()
	httpRequest, err := http.NewRequestWithContext(r.noteWritten(callCtx), http.MethodPost, "http://"+gateway.frontAddress+"/"+r.route+"/x", strings.NewReader("body of "+r.id))
	if err != nil {
		s.t.Error(err)
		return
	}
	httpRequest.Host = platformtest.Host
	httpRequest.Header.Set(platformtest.HeaderAttempt, r.id)
	httpRequest.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+r.apiKey)
	httpRequest.Header.Set(platformtest.HeaderDeadline, requestDeadlineMs)
	if r.route == "stream" {
		httpRequest.Header.Set(platformtest.HeaderModel, testWeights.Model)
		httpRequest.Header.Set(platformtest.HeaderTokens, "500,40")
		httpRequest.Header.Set(platformtest.HeaderPrompt, promptOf(r))
	}
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	answer, err := transport.RoundTrip(httpRequest)
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

// checkAnswer checks that an answer that looks complete to the client is the complete answer to its own request.
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
		s.t.Errorf("whole answers: %s got %d bytes with signature %q that are not its own complete answer", r.id, len(r.body), r.signature)
	}
}

// checkStream checks that events came in order and without duplicates, and that none is missing if the stream looks
// complete.
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

// probeRoutes sends one request to each route through the gateway and returns an error for the first that fails.
func (s *system) probeRoutes(ctx context.Context, gateway int) error {
	transport := &http.Transport{DisableKeepAlives: true}
	for _, route := range routeNames {
		r := &request{id: fmt.Sprintf("probe-%d-%s", s.probeCount.Add(1), route), route: route, apiKey: "kept", gateway: gateway}
		s.send(ctx, transport, r)
		s.requestLog.add(r)
		s.checkAnswer(r)
		if r.status != http.StatusOK || r.err != nil {
			return errors.Join(fmt.Errorf("gateway %d answered status %d on route %s: %s", gateway, r.status, route, r.body), r.err)
		}
	}
	return nil
}
