package quarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
)

func TestPartsOfARepeatedRequestAreTheSame(t *testing.T) {
	c := call.Call{ID: "1", Method: "POST", Host: "h", Target: "/x", Prompt: "c:1,x:2,own:3", SharedParts: []core.PromptPart{"c", "x"}, Body: []byte("body")}
	parts := PartsOf(&c)
	if len(parts) != 3 || parts[0] != "c" || parts[1] != "x" || len(c.SharedParts) != 2 {
		t.Fatalf("the parts are %v", parts)
	}
	repeated := c
	repeated.ID, repeated.Timeout = "2", 5
	if PartsOf(&repeated)[2] != parts[2] {
		t.Error("a repeated request is another one")
	}
	for name, change := range map[string]func(*call.Call){
		"caller": func(c *call.Call) { c.Workspace = "other" },
		"path":   func(c *call.Call) { c.Target = "/y" },
		"body":   func(c *call.Call) { c.Body = []byte("other") },
		"prompt": func(c *call.Call) { c.Prompt = "c:1,x:2,other:3" },
	} {
		other := c
		change(&other)
		if PartsOf(&other)[2] == parts[2] {
			t.Errorf("a request with another %s is the same", name)
		}
	}
}

// A caller chooses the lengths of the parts and of the id, and the ledger keeps thousands of them.
func TestLongWordsOfCallersAreNotKept(t *testing.T) {
	long := strings.Repeat("p", 8000)
	c := call.Call{ID: core.RequestID(long), SharedParts: []core.PromptPart{core.PromptPart(long + "1"), core.PromptPart(long + "2"), "short"}}
	parts := PartsOf(&c)
	if len(parts) != 4 || parts[0] == parts[1] || parts[2] != "short" {
		t.Fatalf("the parts are %v", parts)
	}
	l := NewLedger("h", func() time.Duration { return 0 })
	l.RecordCrash("", []Suspect{{Request: c.ID, Parts: parts}})
	for _, suspect := range l.records[0].Suspects {
		for _, words := range append([]string{string(suspect.Request)}, PartNames(suspect.Parts)...) {
			if len(words) > longestKept {
				t.Errorf("%d bytes of a caller are kept", len(words))
			}
		}
	}
}
