//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The case of streams that may not be resumed, at an engine that falls silent shortly before its version has to be replaced.
const (
	lateGateways     = 2
	lateEngines      = 2
	lateInterval     = 66 * time.Millisecond // between two requests of one gateway's clients
	latePrompt       = 647
	lateTokens       = 70
	lateDeadlineMs   = 6000
	lateObjectiveMs  = 400
	latePauseMs      = 400
	lateNamed        = 4 * time.Second // from the start of traffic until version 2 is named
	lateOriginGone   = 8 * time.Second // from shortly before on
	lateSilenceAfter = 6900 * time.Millisecond
	lateSilence      = 1200 * time.Millisecond
	latePlay         = 16 * time.Second
	versionBound     = 8 * time.Second
	originMbps       = 15
)

var standWeights = platformtest.Weights{Model: modelName, Chunks: 48, ChunkBytes: 49152}

// enginePace is what the configuration states of the engines.
var enginePace = platformtest.Pace{StepMs: 8.87, PerSequenceMs: 0.0388, ReadPerS: 19100, ChunkTokens: 2048, Stride: engineStride, CapacityTokens: 1180000}

func playLateBegin(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	origin := platformtest.NewOrigin(standWeights)
	defer origin.Close()
	origin.SetRate(originMbps)
	s.config = modelConfiguration(origin)
	s.store.Configure(s.config)
	engines, gateways, stop, err := s.startModels(lateGateways, lateEngines)
	if err != nil {
		return false, err
	}
	defer stop()
	ctx, end := context.WithTimeout(context.Background(), latePlay)
	defer end()
	var clients sync.WaitGroup
	for _, g := range gateways {
		clients.Add(1)
		go func() {
			defer clients.Done()
			newClient(r, g).every(ctx, lateInterval, nextNote, func(a answer) {
				r.line("client got %d for %s after %v, version %s, error %v", a.status, a.id, a.at.Sub(a.sentAt).Round(time.Millisecond), a.header.Get(platformtest.HeaderWeights), a.err)
			})
		}()
	}
	time.Sleep(lateNamed)
	if trouble {
		origin.SetUnavailable(true)
		r.line("origin gives no weights for %v", lateOriginGone)
		time.AfterFunc(lateOriginGone, func() { origin.SetUnavailable(false) })
	}
	s.store.SetTargetVersion(modelName, 2)
	acknowledged := time.Now()
	r.line("version 2 is named and acknowledged")
	if trouble {
		time.AfterFunc(lateSilenceAfter, func() { engines[0].fallSilent(lateSilence) })
	}
	clients.Wait()
	return beganLate(r, engines, acknowledged), nil
}

// modelConfiguration has one route, of streams that may not be resumed.
func modelConfiguration(origin *platformtest.Origin) platformtest.Configuration {
	return platformtest.Configuration{
		Version: 1,
		Routes: []platformtest.Route{{
			Name: "note", Kind: "stream", Service: engineService, TimeoutMs: lateDeadlineMs, MaxAttempts: 2, Generates: true, ObjectiveMs: lateObjectiveMs, PauseMs: latePauseMs,
		}},
		EngineService: engineService,
		Slots:         engineSlots,
		Pace:          &enginePace,
		Weights:       standWeights,
		Origin:        origin.Address(),
		OriginMbps:    originMbps,
		Keys:          []string{clientKey},
	}
}

func nextNote() request {
	return request{
		method: http.MethodPost, path: "/note/1", deadlineMs: lateDeadlineMs, body: strings.NewReader("note"),
		header: map[string]string{
			platformtest.HeaderModel:  modelName,
			platformtest.HeaderTokens: fmt.Sprintf("%d,%d", latePrompt, lateTokens),
			platformtest.HeaderPrompt: fmt.Sprintf("5c1e07a2:40,%x:%d", time.Now().UnixNano(), latePrompt-40),
		},
	}
}

// beganLate checks VERSION.
func beganLate(r *record, engines []*engine, acknowledged time.Time) bool {
	late, all := 0, 0
	for _, e := range engines {
		for _, b := range e.requestsBegun() {
			all++
			if b.version < 2 && b.at.Sub(acknowledged) > versionBound {
				late++
				r.printf("request %s began on version %d at engine %s, %.3f s after version 2 was acknowledged", b.id, b.version, e.id, b.at.Sub(acknowledged).Seconds())
			}
		}
	}
	r.printf("%d requests began, %d of them on version 1 later than %v after version 2 was acknowledged", all, late, versionBound)
	return late > 0
}

// startModels starts engines with their sidecars, and gateways, and waits until a request is served. The returned function stops the
// engines.
func (s *system) startModels(gatewayCount, engineCount int) (engines []*engine, gateways []*gateway, stop func(), err error) {
	done := make(chan struct{})
	stop = func() {
		close(done)
		for _, e := range engines {
			e.close()
		}
	}
	for i := range engineCount {
		e, err := newEngine(s.record, s.store, "i-model-"+strconv.Itoa(i), s.at(firstSide+i, engineOffset), standWeights)
		if err != nil {
			stop()
			return nil, nil, nil, err
		}
		engines = append(engines, e)
		go e.beat(done)
	}
	if gateways, err = s.startGateways(gatewayCount); err != nil {
		stop()
		return nil, nil, nil, err
	}
	for i := range engineCount {
		if _, err = s.startSidecar("side-"+strconv.Itoa(i), firstSide+i, engineService); err != nil {
			stop()
			return nil, nil, nil, err
		}
	}
	for _, g := range gateways {
		if err = awaitServed(s.record, g); err != nil {
			stop()
			return nil, nil, nil, err
		}
	}
	return engines, gateways, stop, nil
}

// awaitServed waits until the gateway has a whole answer for a request.
func awaitServed(r *record, g *gateway) error {
	c := newClient(r, g)
	c.prefix = "start-"
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if a := c.do(nextNote()); a.status == http.StatusOK && a.err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s serves no request", g.name)
}
