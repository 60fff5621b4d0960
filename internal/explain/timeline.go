package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// contextMargin is the time before the first and after the last line of a request for which state changes are included.
const contextMargin = 3 * time.Second

// stateMessages are the messages of lines that report a change of a process's state or of its dependencies.
var stateMessages = []string{
	"dependency lost", "dependency regained", "endpoint avoided after a failure", "endpoint answers again", "sidecar cannot be reached",
	"version served changed", "engine closed until it has a newer version", "older model versions begin no more requests", "engine ordered to load", "configuration taken over", "readiness changed", "gateway started", "gateway draining",
	"endpoint says that it is leaving", "endpoint wants no requests", "engine's readiness for requests changed", "store was restored from a copy",
	"endpoint's stated request rate changed", "engine's stated request rate changed",
	"engine crashed", "endpoint crashed", "prompt part quarantined", "quarantine of a prompt part ended", "sidecar started", "sidecar draining", "log lines dropped; the output is not read or the bound is reached",
}

// causes maps texts in a request's log fields to explanations. The patterns also match lines that earlier builds wrote.
var causes = []struct{ pattern, cause string }{
	{"weights are loading", "engines were changing their weights and took nothing new; see the lines on versions"},
	{"it would run into a change of weights", "engines were about to change their weights and took only short requests"},
	{"no room", "engines ran as many requests as they have slots; more engines are needed for this load"},
	{"prompt would delay the first event of another request", "prompts that engines had still to read left no time for this one before others would be late"},
	{"prompt would lengthen the pauses of running streams", "the prompt was too long to be read between the events of the streams that ran"},
	{"first event later than the bound", "engines had too many prompts to read for the first event to come in time"},
	{"engine is cold", "engines had just started and were sent no more than their request rate while cold"},
	{"engine is leaving", "engines were shutting down"},
	{"wants no requests", "endpoints had asked for no requests for some time"},
	{"request rate that it states", "endpoints in trouble had stated how many requests a second they take, and had been sent as many"},
	{"it states a request rate", "the sidecar of an engine that states a request rate could not be reached, and no gateway knows how much of the rate the others use"},
	{"part of its prompt has crashed e", "the request or a part of its prompt is quarantined: endpoints crashed as they began to answer requests with it; see the lines on crashes"},
	{"its sidecar is away", "sidecars could not be reached and the gateway's share past them was in use"},
	{"connection reset", "an endpoint or the network reset the connection after the request was sent"},
	{"ended inside an event", "an endpoint ended its stream in the middle of an event, as one that crashes does"},
	{"head of the response is too long", "an endpoint sent bytes without end instead of an answer"},
	{"before any event", "an endpoint closed the connection before its stream's first event, as one that crashes does"},
	{"EOF", "an endpoint or its sidecar closed the connection before its answer was complete"},
	{"use of closed network connection", "the gateway gave the exchange up: the caller left, or its time or the route's time-out was over"},
	{"context deadline exceeded", "the time of the caller or of the route's time-out was over"},
	{"i/o timeout", "an endpoint or the network to it was silent"},
	{"connection refused", "nothing listened at an endpoint's address: the process had ended"},
	{"could not be read for too long", "the gateway was cut off from the store and its delegates, so that it could not judge keys"},
	{"may have been replaced", "the gateway's configuration was too old to say that something does not exist"},
	{"no configuration is known yet", "the gateway had just started"},
	{"no endpoint of", "no endpoint was in service, allowed in the regions and at the version that may run the request"},
	{"belongs to no workspace", "the key was not in force in the gateway's configuration"},
	{"no route matches", "the gateway's configuration had no such route"},
}

// Timeline is the part of the logs that concerns one request.
type Timeline struct {
	Request      string
	RequestLines []Line // lines about the request, in order of time
	StateChanges []Line // state changes of the processes that wrote those lines, around the same time
	Dropped      int    // lines that these processes dropped around the same time
}

// ForRequest returns the timeline of the request. Lines must be in order of time. It returns an error of kind NotFound if no line
// is about the request.
func ForRequest(lines []Line, request string) (*Timeline, error) {
	timeline := &Timeline{Request: request}
	hosts := make(map[string]bool)
	endpoints := make(map[string]bool)
	for _, line := range lines {
		if line.stringField(fieldRequest) != request {
			continue
		}
		timeline.RequestLines = append(timeline.RequestLines, line)
		hosts[line.Host] = true
		if endpoint := line.stringField("endpoint"); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	if len(timeline.RequestLines) == 0 {
		return nil, fault.New(fault.NotFound, "no line of the logs is about "+request, "check the id, and that the logs of all gateways of that time are in the folder")
	}
	begin, end := timeline.RequestLines[0].Time.Add(-contextMargin), timeline.RequestLines[len(timeline.RequestLines)-1].Time.Add(contextMargin)
	for _, line := range lines {
		if line.Time.Before(begin) || line.Time.After(end) || !hosts[line.Host] || !slices.Contains(stateMessages, line.Message) {
			continue
		}
		if endpoint := line.stringField("endpoint"); endpoint != "" && !endpoints[endpoint] {
			continue
		}
		if dropped, ok := line.Fields["dropped"].(float64); ok {
			timeline.Dropped += int(dropped)
		}
		timeline.StateChanges = append(timeline.StateChanges, line)
	}
	return timeline, nil
}

// Causes returns the likely causes that the request's lines indicate, in the order of the causes table.
func (t *Timeline) Causes() []string {
	var matching []string
	for _, candidate := range causes {
		if slices.ContainsFunc(t.RequestLines, func(line Line) bool { return line.containsPattern(candidate.pattern) }) {
			matching = append(matching, candidate.cause)
		}
	}
	return matching
}

func (l Line) containsPattern(pattern string) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(l.Fields)), func(value any) bool {
		return strings.Contains(fmt.Sprint(value), pattern)
	})
}

// Write prints all lines in order with the milliseconds since the first line about the request, then the likely causes. An
// asterisk marks the lines about the request.
func (t *Timeline) Write(out io.Writer) error {
	all := slices.Concat(t.RequestLines, t.StateChanges)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	start := t.RequestLines[0].Time
	var text strings.Builder
	fmt.Fprintf(&text, "request %s, first line at %s\n", t.Request, start.Format(time.RFC3339Nano))
	for _, line := range all {
		marker := " "
		if line.stringField(fieldRequest) == t.Request {
			marker = "*"
		}
		fmt.Fprintf(&text, "%s %7d ms  %-22s %s%s\n", marker, line.Time.Sub(start).Milliseconds(), line.Host, line.Message, line.formatFields())
	}
	for _, cause := range t.Causes() {
		fmt.Fprintf(&text, "cause: %s\n", cause)
	}
	if t.Dropped > 0 {
		fmt.Fprintf(&text, "%d lines of these processes were dropped at the time; the story may lack some\n", t.Dropped)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// formatFields returns the remaining fields as " name=value" pairs, sorted by name and without the request id.
func (l Line) formatFields() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == fieldRequest {
			continue
		}
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			value = []byte(err.Error())
		}
		fmt.Fprintf(&text, " %s=%s", name, value)
	}
	return text.String()
}
