package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Problem is one thing that is wrong with an object, or that an operator should know of it.
type Problem struct {
	File    string     `json:"file,omitempty"` // "" for a set that was not read from files
	Kind    ObjectKind `json:"kind"`
	Object  string     `json:"object"`
	Field   string     `json:"field"`
	Message string     `json:"wrong"`
	Remedy  string     `json:"remedy"`
}

// String renders the problem on one line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Object, p.Field, p.Message)
	if p.File != "" {
		text = p.File + ": " + text
	}
	return text + "; " + p.Remedy
}

// Findings are what a check found. A set with problems is not published; warnings do not prevent it.
type Findings struct {
	Problems []Problem `json:"problems"`
	Warnings []Problem `json:"warnings"`
}

// Err joins the problems to one error of kind BadConfig, or returns nil when there are none.
func (f Findings) Err() error {
	if len(f.Problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(f.Problems))
	for _, problem := range f.Problems {
		lines = append(lines, problem.String())
	}
	cause := errors.New(strings.Join(lines, "\n"))
	message := fmt.Sprintf("the configuration has %d problems", len(f.Problems))
	return fault.Wrap(cause, fault.BadConfig, message, "correct these")
}
