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
	maxLatencyUS = 10 * 60 * 1000 * 1000
	digits       = 3
	usPerMS      = 1000
)

type run struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	report  Report
	whole   *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

// Run sends the load and waits for its last answer.
func Run(ctx context.Context, options Options) Report {
	r := &run{
		options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		whole:   hdrhistogram.New(1, maxLatencyUS, digits),
		first:   hdrhistogram.New(1, maxLatencyUS, digits),
	}
	r.report.Kinds = make(map[string]int)
	defer r.client.CloseIdleConnections()
	began := time.Now()
	if options.Concurrency > 0 {
		r.keepUnderWay(ctx)
	} else {
		r.schedule(ctx)
	}
	r.report.Seconds = time.Since(began).Seconds()
	r.report.P50 = milliseconds(r.whole, 50)
	r.report.P95 = milliseconds(r.whole, 95)
	r.report.P99 = milliseconds(r.whole, 99)
	r.report.FirstToken = milliseconds(r.first, 95)
	return r.report
}

func milliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / usPerMS
}

func (r *run) schedule(ctx context.Context) {
	total := int(r.options.Rate * r.options.Duration.Seconds())
	gap := time.Duration(float64(time.Second) / r.options.Rate)
	start := time.Now()
	var requests conc.WaitGroup
	defer requests.Wait()
	for i := range total {
		due := start.Add(time.Duration(i) * gap)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		requests.Go(func() { r.one(i, due) })
	}
}

// keepUnderWay keeps as many requests under way as the concurrency says.
func (r *run) keepUnderWay(ctx context.Context) {
	end := time.Now().Add(r.options.Duration)
	var callers conc.WaitGroup
	defer callers.Wait()
	for caller := range r.options.Concurrency {
		callers.Go(func() {
			for i := caller; ctx.Err() == nil && time.Now().Before(end); i += r.options.Concurrency {
				r.one(i, time.Now())
			}
		})
	}
}

func (r *run) one(i int, due time.Time) {
	entry := r.options.Entries[i%len(r.options.Entries)]
	booking := int(float64(i+1)*r.options.BookingShare) > int(float64(i)*r.options.BookingShare)
	if booking {
		r.book(entry, due)
		return
	}
	r.complete(entry, due)
}

func (r *run) book(entry string, due time.Time) {
	id := core.NewID()
	body, _ := json.Marshal(map[string]string{"id": id})
	answer, err := r.send(entry, "/services/"+string(r.options.PlainService)+"/bookings", id, body)
	if err != nil {
		r.cut()
		return
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		r.cut()
		return
	}
	if answer.StatusCode != http.StatusOK {
		r.refused(raw, id)
		return
	}
	if !bytes.Contains(raw, []byte(id)) {
		r.cut()
		return
	}
	r.answered(due, id)
}

func (r *run) complete(entry string, due time.Time) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, r.options.ModelService, core.NewID())
	answer, err := r.send(entry, "/v1/chat/completions", "", body)
	if err != nil {
		r.cut()
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(answer.Body)
		r.refused(raw, "")
		return
	}
	r.readStream(answer.Body, due)
}

func (r *run) readStream(body io.Reader, due time.Time) {
	scanner := bufio.NewScanner(body)
	tokens := 0
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, `data: {"error":`):
			r.refused([]byte(strings.TrimSuffix(strings.TrimPrefix(line, `data: {"error":`), "}")), "")
			return
		case line == "data: [DONE]":
			r.answered(due, "")
			r.countTokens(tokens)
			return
		case strings.HasPrefix(line, "data: "):
			r.token(tokens, due)
			tokens++
		}
	}
	r.cut()
}

func (r *run) send(entry, path, key string, body []byte) (*http.Response, error) {
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

func (r *run) token(number int, due time.Time) {
	if number > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.first.RecordValue(max(1, time.Since(due).Microseconds()))
}

func (r *run) countTokens(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Tokens += tokens
}

func (r *run) answered(due time.Time, booking string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Whole++
	_ = r.whole.RecordValue(max(1, time.Since(due).Microseconds()))
	if booking != "" {
		r.report.Booked = append(r.report.Booked, booking)
	}
}

func (r *run) refused(raw []byte, booking string) {
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

func (r *run) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Cut++
}
