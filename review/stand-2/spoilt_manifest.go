//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	namedAfter    = 3 * time.Second // from the first request
	spoiltTraffic = 75 * time.Second
	requestGap    = 9 * time.Millisecond
	maxUnserved   = 0.6 // of the requests
)

// chunkBytesKey stands in a manifest before the size of its pieces.
const chunkBytesKey = `"chunk-bytes":`

// spoilingOrigin passes requests on to the origin and spoils one byte of the first manifest of version 2.
type spoilingOrigin struct {
	fleet  *fleet
	spoils bool

	answers, manifests atomic.Int64
}

// ServeHTTP implements http.Handler.
func (o *spoilingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := http.Get("http://" + o.fleet.origin.Address() + r.RequestURI)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body) // a short one is a spoilt one
	o.answers.Add(1)
	note := ""
	if strings.HasPrefix(r.URL.Path, "/manifest/") && r.FormValue("version") == "2" && o.manifests.Add(1) == 1 && o.spoils {
		body, note = spoilSize(body), ", one byte is spoilt"
	}
	o.fleet.record.add("origin: answers %s with %d and %d bytes%s", r.RequestURI, answer.StatusCode, len(body), note)
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(body) // the caller may have left
}

// spoilSize returns the manifest with another first digit in the size of its pieces: 99152 instead of 49152.
func spoilSize(manifest []byte) []byte {
	spoilt := bytes.Clone(manifest)
	spoilt[bytes.Index(spoilt, []byte(chunkBytesKey))+len(chunkBytesKey)] = '9'
	return spoilt
}

// spoiltManifest names a new version of the weights and counts the requests that are served, with trouble beside one manifest of which the
// origin sends one byte wrong.
func spoiltManifest(f *fleet, trouble bool) (bool, error) {
	const gateways, engines = 3, 6
	f.weights = platformtest.Weights{Model: "m", Chunks: 48, ChunkBytes: 49152}
	f.origin.Close()
	f.origin = platformtest.NewOrigin(f.weights)
	origin := &spoilingOrigin{fleet: f, spoils: trouble}
	originAddress := fmt.Sprintf("%s:%d", f.ip(200), f.ports.origin)
	listener, err := listen(originAddress)
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(listener, origin) }() // until the end of this process
	f.store.Configure(platformtest.Configuration{
		Version:       1,
		Routes:        []platformtest.Route{{Name: "brief", Kind: "stream", Service: "models", TimeoutMs: 6000, MaxAttempts: 2, Resumable: true, Generates: true, ObjectiveMs: 500, PauseMs: 400}},
		EngineService: "models", Slots: 16, Weights: f.weights, Origin: originAddress, OriginMbps: 15, Keys: []string{clientKey},
		Pace: &platformtest.Pace{StepMs: 8.87, PerSequenceMs: 0.04, ReadPerS: 19100, ChunkTokens: 2048, Stride: 5, CapacityTokens: 1180000},
	})
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, f.controlAddress(i))
	}
	var all []*engine
	for i := range engines {
		e := &engine{fleet: f, number: i, service: "models", slots: 16, crashes: new(atomic.Bool), onCrash: func(time.Time, string) {}, onRun: func(time.Time, bool) {}, onBegin: func(string) {}}
		if err := e.start(); err != nil {
			return false, err
		}
		all = append(all, e)
	}
	for i := range gateways {
		if err := f.startGateway(i, seeds); err != nil {
			return false, err
		}
	}
	for i := range engines {
		if err := f.startSidecar(i, "models", seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(gateways); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the sidecars learn their engines' versions
	c := &clients{fleet: f}
	began, named := time.Now(), false
	for number := 0; time.Since(began) < spoiltTraffic; number++ {
		if !named && time.Since(began) > namedAfter {
			f.store.SetTargetVersion(f.weights.Model, 2)
			f.record.add("operator: version 2 is named")
			named = true
		}
		c.send(request{id: fmt.Sprintf("r-%d", number), method: "POST", route: "brief", prompt: fmt.Sprintf("a0000000:20,%08x:100", 0xb0000000+number), body: fmt.Sprintf("prompt %d", number), gateway: number % gateways, deadline: 6 * time.Second})
		time.Sleep(requestGap)
	}
	c.running.Wait()
	if ended := f.ended(); len(ended) > 0 {
		f.record.tell("processes have ended by themselves: %v", ended)
	}
	var versions []int64
	for _, e := range all {
		e.mu.Lock()
		versions = append(versions, e.version)
		e.mu.Unlock()
	}
	served, lastServed := 0, began
	for _, o := range c.all() {
		if o.status == http.StatusOK {
			served++
			if o.sentAt.After(lastServed) {
				lastServed = o.sentAt
			}
		}
	}
	sent := len(c.all())
	f.record.tell("the origin gave %d answers; the engines hold the versions %v at the end", origin.answers.Load(), versions)
	f.record.tell("%d of %d requests were served, the last one sent %.1f s after version 2 was named, %.1f s before the end", served, sent, lastServed.Sub(began.Add(namedAfter)).Seconds(), spoiltTraffic.Seconds()-lastServed.Sub(began).Seconds())
	return float64(sent-served) > maxUnserved*float64(sent), nil
}
