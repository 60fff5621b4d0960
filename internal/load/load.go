// Package load generates an open-loop or closed-loop load of model requests and bookings, sends it to the entries and measures
// the responses.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/stream"
)

// Options describes a load. With a rate the load is open-loop: each request starts at its due time, whether or not earlier ones
// have ended. With a concurrency it is closed-loop: each request starts when an earlier one has ended.
type Options struct {
	Entries      []string // IP:port of each entry, used in turn
	Workspace    core.Workspace
	ModelService core.Service
	PlainService core.Service
	Rate         float64 // requests per second
	Concurrency  int     // concurrent requests; takes precedence over Rate if positive
	Duration     time.Duration
	BookingShare float64 // fraction of the requests that are bookings, 0 to 1
	Deadline     time.Duration
}

// Report is the result of a load. Latencies are in milliseconds and are measured from the due time of a request.
type Report struct {
	Seconds       float64        `json:"seconds"` // from the start of the load to the end of the last request
	Sent          int            `json:"sent"`
	Completed     int            `json:"whole"`
	NotRun        int            `json:"not_run"` // refusals that say that the request did not run
	Unknown       int            `json:"unknown"` // all other refusals
	Truncated     int            `json:"cut"`     // responses that were incomplete or missing, without a refusal
	ErrorKinds    map[string]int `json:"kinds,omitempty"`
	P50           float64        `json:"p50_ms"`
	P95           float64        `json:"p95_ms"`
	P99           float64        `json:"p99_ms"`
	FirstTokenP95 float64        `json:"first_token_p95_ms"`
	Tokens        int            `json:"tokens"` // received in complete streams
	BookedIDs     []string       `json:"-"`      // ids of bookings with a complete response
	RefusedIDs    []string       `json:"-"`      // ids of bookings that were refused as not executed
}

const (
	maxLatencyUS      = 10 * 60 * 1000 * 1000
	significantDigits = 3
	usPerMS           = 1000

	progressTimeout  = time.Minute // without a byte from an entry
	answerGrace      = time.Minute // after the deadline of a request
	maxConnsPerEntry = 4096
	maxAnswerBytes   = 1 << 20 // of a booking or a refusal
)

type generator struct {
	options           Options
	client            *stream.Client
	mu                sync.Mutex
	report            Report
	latency           *hdrhistogram.Histogram
	firstTokenLatency *hdrhistogram.Histogram
}

// Run sends the load and returns the report when the last request has ended.
func Run(ctx context.Context, options Options) Report {
	g := &generator{
		options:           options,
		client:            stream.NewClient(progressTimeout, maxConnsPerEntry),
		latency:           hdrhistogram.New(1, maxLatencyUS, significantDigits),
		firstTokenLatency: hdrhistogram.New(1, maxLatencyUS, significantDigits),
	}
	g.report.ErrorKinds = make(map[string]int)
	defer g.client.Close()
	start := time.Now()
	if options.Concurrency > 0 {
		g.runClosedLoop(ctx)
	} else {
		g.runOpenLoop(ctx)
	}
	g.report.Seconds = time.Since(start).Seconds()
	g.report.P50 = percentileMS(g.latency, 50)
	g.report.P95 = percentileMS(g.latency, 95)
	g.report.P99 = percentileMS(g.latency, 99)
	g.report.FirstTokenP95 = percentileMS(g.firstTokenLatency, 95)
	return g.report
}

func percentileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / usPerMS
}

func (g *generator) runOpenLoop(ctx context.Context) {
	total := int(g.options.Rate * g.options.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / g.options.Rate)
	start := time.Now()
	var requests conc.WaitGroup
	defer requests.Wait()
	for i := range total {
		due := start.Add(time.Duration(i) * interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		requests.Go(func() { g.runRequest(i, due) })
	}
}

// runClosedLoop keeps options.Concurrency requests in flight until the duration is over.
func (g *generator) runClosedLoop(ctx context.Context) {
	end := time.Now().Add(g.options.Duration)
	var workers conc.WaitGroup
	defer workers.Wait()
	for worker := range g.options.Concurrency {
		workers.Go(func() {
			for i := worker; ctx.Err() == nil && time.Now().Before(end); i += g.options.Concurrency {
				g.runRequest(i, time.Now())
			}
		})
	}
}

func (g *generator) runRequest(i int, due time.Time) {
	entry := g.options.Entries[i%len(g.options.Entries)]
	booking := int(float64(i+1)*g.options.BookingShare) > int(float64(i)*g.options.BookingShare)
	if booking {
		g.runBooking(entry, due)
		return
	}
	g.runCompletion(entry, due)
}

func (g *generator) runBooking(entry string, due time.Time) {
	id := core.NewID()
	body, _ := json.Marshal(map[string]string{"id": id})
	ctx, cancel := g.requestContext()
	defer cancel()
	response, err := g.send(ctx, entry, "/services/"+string(g.options.PlainService)+"/bookings", id, body)
	if err != nil {
		g.recordTruncated()
		return
	}
	defer response.Close()
	raw, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		g.recordTruncated()
		return
	}
	if response.Status != http.StatusOK {
		g.recordRefusal(raw, id)
		return
	}
	if !bytes.Contains(raw, []byte(id)) {
		g.recordTruncated()
		return
	}
	g.recordSuccess(due, id)
}

func (g *generator) runCompletion(entry string, due time.Time) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, g.options.ModelService, core.NewID())
	ctx, cancel := g.requestContext()
	defer cancel()
	response, err := g.send(ctx, entry, "/v1/chat/completions", "", body)
	if err != nil {
		g.recordTruncated()
		return
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		raw, err := response.ReadAll(maxAnswerBytes)
		if err != nil {
			g.recordTruncated()
			return
		}
		g.recordRefusal(raw, "")
		return
	}
	g.readStream(response, due)
}

func (g *generator) readStream(body io.Reader, due time.Time) {
	scanner := bufio.NewScanner(body)
	tokens := 0
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, `data: {"error":`):
			g.recordRefusal([]byte(strings.TrimSuffix(strings.TrimPrefix(line, `data: {"error":`), "}")), "")
			return
		case line == "data: [DONE]":
			g.recordSuccess(due, "")
			g.addTokens(tokens)
			return
		case strings.HasPrefix(line, "data: "):
			g.recordToken(tokens, due)
			tokens++
		}
	}
	g.recordTruncated()
}

// requestContext returns the context of a request. It ends when the entry must long have answered.
func (g *generator) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.options.Deadline+answerGrace)
}

func (g *generator) send(ctx context.Context, entry, path, key string, body []byte) (*stream.Response, error) {
	header := map[string]string{
		"Lovage-Workspace":   string(g.options.Workspace),
		"Lovage-Deadline-Ms": fmt.Sprint(g.options.Deadline.Milliseconds()),
	}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	g.mu.Lock()
	g.report.Sent++
	g.mu.Unlock()
	return g.client.Do(ctx, stream.Request{Method: http.MethodPost, Address: entry, Target: path, ContentType: "application/json", Header: header, Body: body})
}

// recordToken records the latency of the first token of a stream. It ignores the other tokens.
func (g *generator) recordToken(index int, due time.Time) {
	if index > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.firstTokenLatency.RecordValue(max(1, time.Since(due).Microseconds()))
}

func (g *generator) addTokens(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Tokens += tokens
}

func (g *generator) recordSuccess(due time.Time, booking string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Completed++
	_ = g.latency.RecordValue(max(1, time.Since(due).Microseconds()))
	if booking != "" {
		g.report.BookedIDs = append(g.report.BookedIDs, booking)
	}
}

func (g *generator) recordRefusal(raw []byte, booking string) {
	var refusal fault.Refusal
	_ = json.Unmarshal(raw, &refusal)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.ErrorKinds[refusal.Kind]++
	if refusal.Outcome == fault.NotRun {
		g.report.NotRun++
		if booking != "" {
			g.report.RefusedIDs = append(g.report.RefusedIDs, booking)
		}
		return
	}
	g.report.Unknown++
}

func (g *generator) recordTruncated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Truncated++
}
