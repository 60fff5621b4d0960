// Package where defines how an operator asks a gateway where a request would go now, and how the answer is printed.
package where

import (
	"fmt"
	"io"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// Method is the control method of gateways that answers a Question.
const Method = "where.explain"

// Question describes a request that is not sent.
type Question struct {
	Host         string
	Path         string
	Key          string            `json:",omitempty"`
	Model        core.Model        `json:",omitempty"`
	PromptTokens int               `json:",omitempty"`
	Parts        []core.PromptPart `json:",omitempty"` // shared parts of the prompt
	TimeLeft     time.Duration     `json:",omitempty"` // 0 if the caller states no timeout
}

// Result tells what the gateway would do with the request.
type Result string

// The results.
const (
	Served  Result = "served"
	Refused Result = "refused"
	Unknown Result = "unknown" // no such route or key
)

// Answer explains what would become of a request.
type Answer struct {
	Result        Result
	Reason        string `json:",omitempty"` // why it would not be served
	Configuration int64
	ViewAge       time.Duration      // negative before the first read
	Route         string             `json:",omitempty"`
	Workspace     core.Workspace     `json:",omitempty"`
	Service       core.Service       `json:",omitempty"` // one draw by the weights of the route's services
	MinVersion    int64              `json:",omitempty"` // oldest version of the model that may run it
	TimeLeft      time.Duration      `json:",omitempty"` // for the whole answer
	LeftOut       []LeftOut          `json:",omitempty"`
	Candidates    []Candidate        `json:",omitempty"`
	First         catalog.EndpointID `json:",omitempty"`
	Alternative   catalog.EndpointID `json:",omitempty"` // if the first gave no answer
}

// LeftOut is an endpoint that would not be asked.
type LeftOut struct {
	Endpoint catalog.EndpointID
	Reason   string
}

// Candidate is an endpoint that may be asked. Its score is the sum of the parts; lower is better.
type Candidate struct {
	Endpoint  catalog.EndpointID
	Load      float64       // part of the score: estimated load with this request, as a share of the slots
	Region    float64       // part of the score: for another region
	Refusal   float64       // part of the score: for a recent refusal
	Requests  int64         // estimated to be at the endpoint
	Slots     int           // requests that it can run at once
	ReportAge time.Duration // negative without a report
	Direct    bool          // its sidecar cannot be reached
	Cold      bool
}

// Score returns the sum of the parts.
func (c Candidate) Score() float64 { return c.Load + c.Region + c.Refusal }

// Write prints the answer for people.
func (a Answer) Write(out io.Writer) error {
	lines := []string{
		fmt.Sprintf("configuration %d, view %s", a.Configuration, age(a.ViewAge)),
		fmt.Sprintf("route %s, workspace %s, service %s", orNone(a.Route), orNone(string(a.Workspace)), orNone(string(a.Service))),
	}
	if a.MinVersion > 0 {
		lines = append(lines, fmt.Sprintf("version %d or newer", a.MinVersion))
	}
	for _, e := range a.LeftOut {
		lines = append(lines, fmt.Sprintf("left out   %s: %s", e.Endpoint, e.Reason))
	}
	for _, c := range a.Candidates {
		lines = append(lines, c.line())
	}
	lines = append(lines, a.verdict())
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func (c Candidate) line() string {
	line := fmt.Sprintf("candidate  %s: score %.2f = load %.2f (%d of %d, report %s)", c.Endpoint, c.Score(), c.Load, c.Requests, c.Slots, age(c.ReportAge))
	if c.Region > 0 {
		line += fmt.Sprintf(" + other region %.2f", c.Region)
	}
	if c.Refusal > 0 {
		line += fmt.Sprintf(" + recent refusal %.2f", c.Refusal)
	}
	if c.Cold {
		line += ", cold"
	}
	if c.Direct {
		line += ", past its sidecar"
	}
	return line
}

func (a Answer) verdict() string {
	if a.Result != Served {
		return fmt.Sprintf("%s: %s", a.Result, a.Reason)
	}
	return fmt.Sprintf("served by %s; if it gives no answer, by %s", a.First, orNone(string(a.Alternative)))
}

func age(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	return d.Round(time.Millisecond).String() + " old"
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
