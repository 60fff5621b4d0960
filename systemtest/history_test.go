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

// bookingOutcome is what the caller of a booking learned from the answer.
type bookingOutcome string

const (
	booked  bookingOutcome = "booked"
	notRun  bookingOutcome = "not_run"
	unknown bookingOutcome = "unknown"
)

// bookingCall is one operation of the history: a booking under a key, or a read of how often the key's booking was
// made.
type bookingCall struct {
	key       string
	countOnly bool
}

// bookingResult is the result of an operation.
type bookingResult struct {
	outcome     bookingOutcome
	refusalKind string
	count       int
}

// bookingModel is the reference model for the linearizability check. Its state is how often a key's booking was made. A
// confirmed call sets it to 1, a call of unknown outcome may do so, and a refused one requires that it is 0.
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

// history records operations with their times. It is safe for concurrent use.
type history struct {
	mu            sync.Mutex
	start         time.Time
	operations    []porcupine.Operation
	outcomeCounts map[string]int
}

func newHistory() *history { return &history{start: time.Now(), outcomeCounts: make(map[string]int)} }

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

// record adds an operation that ends now. One of unknown outcome may still take effect at any later time, so it never
// ends.
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

// book sends a booking with its key as the idempotency key and records the result.
func (h *history) book(client *http.Client, number int, entry, key string, deadline time.Duration) bookingResult {
	started := h.now()
	output := book(client, entry, key, key, deadline)
	h.record(number, bookingCall{key: key}, started, output)
	return output
}

// book sends a booking and returns its result. Without a complete answer the outcome is unknown.
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
