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

// around a request's lines, the state of the processes that handled it is told.
const around = 3 * time.Second

// stateMessages tell what a process believes or depends on.
var stateMessages = []string{
	"dependency lost", "dependency regained", "endpoint avoided after a failure", "endpoint answers again", "sidecar cannot be reached",
	"version served changed", "engine ordered to load", "configuration taken over", "readiness changed", "gateway started", "gateway draining",
	"sidecar started", "sidecar draining", "log lines dropped; the output is not read or the bound is reached",
}

// causes says what the reasons of refusals and the kinds of outcomes come from.
var causes = []struct{ sign, cause string }{
	{"weights are loading", "engines were changing their weights and took nothing new; see the lines on versions"},
	{"it would run into a change of weights", "engines were about to change their weights and took only short requests"},
	{"no room", "engines ran as many requests as they have slots; more engines are needed for this load"},
	{"first event later than the bound", "engines had too many prompts to read for the first event to come in time"},
	{"engine is cold", "engines had just started and were sent no more than they bear while cold"},
	{"its sidecar is away", "sidecars could not be reached and the gateway's share past them was in use"},
	{"connection reset", "an endpoint or the network reset the connection after the request was sent"},
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

// Story is what the logs say of one request.
type Story struct {
	Request string
	Lines   []Line // about the request, in order
	State   []Line // of the processes that wrote them, around that time
	Dropped int    // lines that these processes dropped meanwhile
}

// Of finds the story of the request.
func Of(lines []Line, request string) (*Story, error) {
	story := &Story{Request: request}
	hosts := make(map[string]bool)
	endpoints := make(map[string]bool)
	for _, line := range lines {
		if line.text(fieldRequest) != request {
			continue
		}
		story.Lines = append(story.Lines, line)
		hosts[line.Host] = true
		if endpoint := line.text("endpoint"); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	if len(story.Lines) == 0 {
		return nil, fault.New(fault.NotFound, "no line of the logs is about "+request, "check the id, and that the logs of all gateways of that time are in the folder")
	}
	from, to := story.Lines[0].At.Add(-around), story.Lines[len(story.Lines)-1].At.Add(around)
	for _, line := range lines {
		if line.At.Before(from) || line.At.After(to) || !hosts[line.Host] || !slices.Contains(stateMessages, line.Message) {
			continue
		}
		if endpoint := line.text("endpoint"); endpoint != "" && !endpoints[endpoint] {
			continue
		}
		if dropped, ok := line.Fields["dropped"].(float64); ok {
			story.Dropped += int(dropped)
		}
		story.State = append(story.State, line)
	}
	return story, nil
}

// Causes returns what the request's lines point to, in the order of their signs.
func (s *Story) Causes() []string {
	var found []string
	for _, known := range causes {
		if slices.ContainsFunc(s.Lines, func(line Line) bool { return line.mentions(known.sign) }) {
			found = append(found, known.cause)
		}
	}
	return found
}

func (l Line) mentions(sign string) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(l.Fields)), func(value any) bool {
		return strings.Contains(fmt.Sprint(value), sign)
	})
}

// Write tells the story: all lines in order, with the milliseconds since the first one about the request, then what they
// point to.
func (s *Story) Write(out io.Writer) error {
	all := slices.Concat(s.Lines, s.State)
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	start := s.Lines[0].At
	var text strings.Builder
	fmt.Fprintf(&text, "request %s, first line at %s\n", s.Request, start.Format(time.RFC3339Nano))
	for _, line := range all {
		mark := " "
		if line.text(fieldRequest) == s.Request {
			mark = "*"
		}
		fmt.Fprintf(&text, "%s %7d ms  %-22s %s%s\n", mark, line.At.Sub(start).Milliseconds(), line.Host, line.Message, line.fields())
	}
	for _, cause := range s.Causes() {
		fmt.Fprintf(&text, "cause: %s\n", cause)
	}
	if s.Dropped > 0 {
		fmt.Fprintf(&text, "%d lines of these processes were dropped at the time; the story may lack some\n", s.Dropped)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// fields lists the other fields in the order of their names.
func (l Line) fields() string {
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
