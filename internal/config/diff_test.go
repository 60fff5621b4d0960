package config

import (
	"slices"
	"testing"
)

func TestDiff(t *testing.T) {
	from, to := validSet(), validSet()
	to.FailureDomains[1].Out = true
	to.Models = to.Models[:1]
	to.Services[0].Limits.Max = 9
	to.Services[0].Endpoints = append([]Endpoint{{Host: "r0", FailureDomain: "a"}}, to.Services[0].Endpoints...)
	to.Workspaces[0].Services = to.Workspaces[0].Services[:1]
	to.Workspaces = append(to.Workspaces, Workspace{Name: "new"})
	want := []string{
		"~ failure domain \"b\"\n    out: (none) -> true",
		`+ workspace "new"`,
		"~ workspace \"space\"\n    services[bookings]: \"bookings\" -> (none)",
		`- model "other"`,
		"~ service \"chat\"\n    endpoints[r0].failure_domain: (none) -> \"a\"\n    endpoints[r0].host: (none) -> \"r0\"\n    limits.max: 8 -> 9",
	}
	var got []string
	for _, change := range Diff(from, to) {
		got = append(got, change.String())
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %q\nwant %q", got, want)
	}
	if unchanged := Diff(from, validSet()); len(unchanged) != 0 {
		t.Fatalf("equal sets differ: %v", unchanged)
	}
}
