package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// bookingOutcome is what a caller was told of a booking.
type bookingOutcome string

const (
	booked  bookingOutcome = "booked"
	notRun  bookingOutcome = "not_run"
	unknown bookingOutcome = "unknown"
)

// bookingCall is one operation on the booking of one key: a booking, or in the end the count of how often it was made.
type bookingCall struct {
	key       string
	countOnly bool
}

// bookingResult is what an operation came to.
type bookingResult struct {
	outcome     bookingOutcome
	refusalKind string
	count       int
}

// bookingModel holds how often a key's booking was made. Only a booking that was said to be made, or of which nothing
// is known, can have made it.
var bookingModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(bookingCall).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init:  func() []any { return []any{0} },
	Step:  stepBooking,
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v: %+v", input, output)
	},
}).ToModel()

func stepBooking(state, input, output any) []any {
	count := state.(int)
	result := output.(bookingResult)
	switch {
	case input.(bookingCall).countOnly:
		return legalState(count == result.count, count)
	case result.outcome == booked:
		return []any{1}
	case result.outcome == notRun:
		return legalState(count == 0, 0)
	}
	return []any{count, 1}
}

func legalState(legal bool, state int) []any {
	if !legal {
		return nil
	}
	return []any{state}
}

// history records operations. It is safe for concurrent use.
type history struct {
	mu            sync.Mutex
	start         time.Time
	operations    []porcupine.Operation
	outcomeCounts map[string]int
}

func newHistory() *history { return &history{start: time.Now(), outcomeCounts: make(map[string]int)} }

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

// record adds an operation. One of unknown outcome may still take effect at any later time.
func (h *history) record(client int, input bookingCall, started int64, output bookingResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	finished := h.now()
	if output.outcome == unknown {
		finished = math.MaxInt64
	}
	h.outcomeCounts[string(output.outcome)+" "+output.refusalKind]++
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: started, Output: output, Return: finished})
}

func (h *history) length() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// book sends a booking under its key and records what was said.
func (h *history) book(client *http.Client, number int, entry, key string, deadline time.Duration) bookingResult {
	started := h.now()
	output := book(client, entry, key, key, deadline)
	h.record(number, bookingCall{key: key}, started, output)
	return output
}

// book sends a booking and returns what was said of it. A caller without an answer knows nothing.
func book(client *http.Client, entry, key, id string, deadline time.Duration) bookingResult {
	body, _ := json.Marshal(map[string]string{"id": id})
	request, _ := http.NewRequest(http.MethodPost, "http://"+entry+"/services/bookings/bookings", bytes.NewReader(body))
	request.Header.Set("Lovage-Workspace", "space")
	request.Header.Set("Lovage-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	answer, err := client.Do(request)
	if err != nil {
		return bookingResult{outcome: unknown, refusalKind: "no_answer"}
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return bookingResult{outcome: unknown, refusalKind: "cut"}
	}
	if answer.StatusCode == http.StatusOK {
		return bookingResult{outcome: booked}
	}
	var refusal fault.Refusal
	_ = json.Unmarshal(raw, &refusal)
	if refusal.Outcome == fault.NotRun {
		return bookingResult{outcome: notRun, refusalKind: refusal.Kind}
	}
	return bookingResult{outcome: unknown, refusalKind: refusal.Kind}
}
