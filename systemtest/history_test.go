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

// said is what a caller was told of a booking.
type said string

const (
	booked  said = "booked"
	notRun  said = "not_run"
	unknown said = "unknown"
)

// call is one operation on the booking of one key: a booking, or in the end the count of how often it was made.
type call struct {
	key   string
	count bool
}

// answered is what an operation came to.
type answered struct {
	said said
	kind string
	made int
}

// bookingModel holds how often a key's booking was made. Only a booking that was said to be made, or of which nothing
// is known, can have made it.
var bookingModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(call).key
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
	made := state.(int)
	result := output.(answered)
	switch {
	case input.(call).count:
		return only(made == result.made, made)
	case result.said == booked:
		return []any{1}
	case result.said == notRun:
		return only(made == 0, 0)
	}
	return []any{made, 1}
}

func only(legal bool, state int) []any {
	if !legal {
		return nil
	}
	return []any{state}
}

// history records operations. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	kinds      map[string]int
}

func newHistory() *history { return &history{start: time.Now(), kinds: make(map[string]int)} }

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

// record adds an operation. One of unknown outcome may still take effect at any later time.
func (h *history) record(client int, input call, begun int64, output answered) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := h.now()
	if output.said == unknown {
		ended = math.MaxInt64
	}
	h.kinds[string(output.said)+" "+output.kind]++
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: begun, Output: output, Return: ended})
}

func (h *history) length() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// book sends a booking under its key and records what was said.
func (h *history) book(client *http.Client, number int, entry, key string, deadline time.Duration) answered {
	begun := h.now()
	output := book(client, entry, key, key, deadline)
	h.record(number, call{key: key}, begun, output)
	return output
}

// book sends a booking and returns what was said of it. A caller without an answer knows nothing.
func book(client *http.Client, entry, key, id string, deadline time.Duration) answered {
	body, _ := json.Marshal(map[string]string{"id": id})
	request, _ := http.NewRequest(http.MethodPost, "http://"+entry+"/services/bookings/bookings", bytes.NewReader(body))
	request.Header.Set("Lovage-Workspace", "space")
	request.Header.Set("Lovage-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	answer, err := client.Do(request)
	if err != nil {
		return answered{said: unknown, kind: "no_answer"}
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return answered{said: unknown, kind: "cut"}
	}
	if answer.StatusCode == http.StatusOK {
		return answered{said: booked}
	}
	var refusal fault.Refusal
	_ = json.Unmarshal(raw, &refusal)
	if refusal.Outcome == fault.NotRun {
		return answered{said: notRun, kind: refusal.Kind}
	}
	return answered{said: unknown, kind: refusal.Kind}
}
