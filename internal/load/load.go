// Package load sends an open-loop load of model requests and bookings to the entries and measures what comes back.
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
)

// Options describe a load. Requests start at their due time, whether or not earlier ones have ended; with a concurrency
// instead of a rate, each request starts when one before it has ended.
type Options struct {
	Entries      []string // IP numbers and ports, taken in turn
	Workspace    core.Workspace
	ModelService core.Service
	PlainService core.Service
	Rate         float64 // requests a second
	Concurrency  int     // requests at once, in place of a rate
	Duration     time.Duration
	BookingShare float64 // share of the requests that are bookings
	Deadline     time.Duration
}

// Report is what a load came to. Times are in milliseconds.
type Report struct {
	Seconds    float64        `json:"seconds"` // from the first request's start to the last one's end
	Sent       int            `json:"sent"`
	Whole      int            `json:"whole"`
	NotRun     int            `json:"not_run"`
	Unknown    int            `json:"unknown"`
	Cut        int            `json:"cut"` // answers that ended early without a refusal
	Kinds      map[string]int `json:"kinds,omitempty"`
	P50        float64        `json:"p50_ms"`
	P95        float64        `json:"p95_ms"`
	P99        float64        `json:"p99_ms"`
	FirstToken float64        `json:"first_token_p95_ms"`
	Tokens     int            `json:"tokens"` // of all streams
	Booked     []string       `json:"-"`      // ids of bookings that were answered whole
	Refused    []string       `json:"-"`      // ids of bookings that were refused as not run
}

const (
	maxLatencyUS      = 10 * 60 * 1000 * 1000
	significantDigits = 3
	usPerMS           = 1000
)

type generator struct {
	options           Options
	client            *http.Client
	mu                sync.Mutex
	report            Report
	latency           *hdrhistogram.Histogram
	firstTokenLatency *hdrhistogram.Histogram
}

// Run sends the load and waits for its last answer.
func Run(ctx context.Context, options Options) Report {
	r := &generator{
		options:           options,
		client:            &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		latency:           hdrhistogram.New(1, maxLatencyUS, significantDigits),
		firstTokenLatency: hdrhistogram.New(1, maxLatencyUS, significantDigits),
	}
	r.report.Kinds = make(map[string]int)
	defer r.client.CloseIdleConnections()
	start := time.Now()
	if options.Concurrency > 0 {
		r.runClosedLoop(ctx)
	} else {
		r.runOpenLoop(ctx)
	}
	r.report.Seconds = time.Since(start).Seconds()
	r.report.P50 = percentileMS(r.latency, 50)
	r.report.P95 = percentileMS(r.latency, 95)
	r.report.P99 = percentileMS(r.latency, 99)
	r.report.FirstToken = percentileMS(r.firstTokenLatency, 95)
	return r.report
}

func percentileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / usPerMS
}

func (r *generator) runOpenLoop(ctx context.Context) {
	total := int(r.options.Rate * r.options.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / r.options.Rate)
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
		requests.Go(func() { r.runRequest(i, due) })
	}
}

// runClosedLoop keeps as many requests under way as the concurrency says.
func (r *generator) runClosedLoop(ctx context.Context) {
	end := time.Now().Add(r.options.Duration)
	var workers conc.WaitGroup
	defer workers.Wait()
	for worker := range r.options.Concurrency {
		workers.Go(func() {
			for i := worker; ctx.Err() == nil && time.Now().Before(end); i += r.options.Concurrency {
				r.runRequest(i, time.Now())
			}
		})
	}
}

func (r *generator) runRequest(i int, due time.Time) {
	entry := r.options.Entries[i%len(r.options.Entries)]
	booking := int(float64(i+1)*r.options.BookingShare) > int(float64(i)*r.options.BookingShare)
	if booking {
		r.runBooking(entry, due)
		return
	}
	r.runCompletion(entry, due)
}

func (r *generator) runBooking(entry string, due time.Time) {
	id := core.NewID()
	body, _ := json.Marshal(map[string]string{"id": id})
	answer, err := r.send(entry, "/services/"+string(r.options.PlainService)+"/bookings", id, body)
	if err != nil {
		r.recordTruncated()
		return
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		r.recordTruncated()
		return
	}
	if answer.StatusCode != http.StatusOK {
		r.recordRefusal(raw, id)
		return
	}
	if !bytes.Contains(raw, []byte(id)) {
		r.recordTruncated()
		return
	}
	r.recordSuccess(due, id)
}

func (r *generator) runCompletion(entry string, due time.Time) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, r.options.ModelService, core.NewID())
	answer, err := r.send(entry, "/v1/chat/completions", "", body)
	if err != nil {
		r.recordTruncated()
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(answer.Body)
		r.recordRefusal(raw, "")
		return
	}
	r.readStream(answer.Body, due)
}

func (r *generator) readStream(body io.Reader, due time.Time) {
	scanner := bufio.NewScanner(body)
	tokens := 0
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, `data: {"error":`):
			r.recordRefusal([]byte(strings.TrimSuffix(strings.TrimPrefix(line, `data: {"error":`), "}")), "")
			return
		case line == "data: [DONE]":
			r.recordSuccess(due, "")
			r.addTokens(tokens)
			return
		case strings.HasPrefix(line, "data: "):
			r.recordToken(tokens, due)
			tokens++
		}
	}
	r.recordTruncated()
}

func (r *generator) send(entry, path, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Lovage-Workspace", string(r.options.Workspace))
	request.Header.Set("Lovage-Deadline-Ms", fmt.Sprint(r.options.Deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	r.mu.Lock()
	r.report.Sent++
	r.mu.Unlock()
	return r.client.Do(request)
}

func (r *generator) recordToken(index int, due time.Time) {
	if index > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.firstTokenLatency.RecordValue(max(1, time.Since(due).Microseconds()))
}

func (r *generator) addTokens(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Tokens += tokens
}

func (r *generator) recordSuccess(due time.Time, booking string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Whole++
	_ = r.latency.RecordValue(max(1, time.Since(due).Microseconds()))
	if booking != "" {
		r.report.Booked = append(r.report.Booked, booking)
	}
}

func (r *generator) recordRefusal(raw []byte, booking string) {
	var refusal fault.Refusal
	_ = json.Unmarshal(raw, &refusal)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Kinds[refusal.Kind]++
	if refusal.Outcome == fault.NotRun {
		r.report.NotRun++
		if booking != "" {
			r.report.Refused = append(r.report.Refused, booking)
		}
		return
	}
	r.report.Unknown++
}

func (r *generator) recordTruncated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Cut++
}
