package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Problem is an error or a warning about a field of an object.
type Problem struct {
	File    string     `json:"file,omitempty"` // "" for a set that was not read from files
	Kind    ObjectKind `json:"kind"`
	Object  string     `json:"object"`
	Field   string     `json:"field"`
	Message string     `json:"wrong"`
	Remedy  string     `json:"remedy"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Object, p.Field, p.Message)
	if p.File != "" {
		text = p.File + ": " + text
	}
	return text + "; " + p.Remedy
}

// Findings are the results of checking a set. Problems prevent its publication, warnings do not.
type Findings struct {
	Problems []Problem `json:"problems"`
	Warnings []Problem `json:"warnings"`
}

// Err returns the problems as one error of kind BadConfig, or nil if there are none.
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
