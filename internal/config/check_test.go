package config

import (
	"slices"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

var testDigest = core.VersionID(strings.Repeat("0a", 32))

// validSet returns a set without problems and warnings, which tests modify.
func validSet() Set {
	limits := Limits{Cold: 2, Max: 8, Queue: 4}
	return Set{
		FailureDomains: []FailureDomain{{Name: "a", Region: "east"}, {Name: "b", Region: "west"}},
		Workspaces:     []Workspace{{Name: "space", Services: []core.Service{"chat", "bookings"}, Objectives: map[core.Service]Objectives{"chat": {Availability: 0.99}}}},
		Models:         []Model{{Name: "brief"}, {Name: "other"}},
		Versions:       []Version{{Name: "brief-1", Model: "brief", Manifest: testDigest}, {Name: "other-1", Model: "other", Manifest: testDigest}},
		Services: []Service{
			{
				Name: "chat", Kind: KindModel, Model: "brief", Limits: limits,
				Endpoints:  []Endpoint{{Host: "r1", FailureDomain: "a"}, {Host: "r2", FailureDomain: "b"}},
				Objectives: Objectives{Availability: 0.999, FirstTokenMS: 1100, BetweenTokensMS: 51, ReplicasS: 300},
			},
			{
				Name: "bookings", Kind: KindPlain, Limits: limits,
				Endpoints: []Endpoint{{Host: "p1", FailureDomain: "a"}},
				Calls:     []Call{{Method: "GET", Path: "/profile", Idempotent: true}},
			},
		},
		Rules: []Rule{{Name: "chat", Service: "chat", Version: "brief-1", Replicas: map[core.FailureDomain]int{"a": 1, "b": 1}}},
	}
}

func TestValidSetHasNoFindings(t *testing.T) {
	findings := FindProblems(validSet())
	if len(findings.Problems) > 0 || len(findings.Warnings) > 0 {
		t.Fatalf("found %v", findings)
	}
}

// invalidSets lists modifications of validSet with all problems that the check must report.
var invalidSets = []struct {
	modify func(*Set)
	want   []string
}{
	{func(s *Set) { s.Models[1].Name = "" }, []string{
		`model "": name: the name is empty; set a name`,
		`version "other-1": model: model "other" does not exist; add the model or correct its name`,
	}},
	{func(s *Set) { s.FailureDomains[0].Region = "" }, []string{`failure domain "a": region: the name is empty; set a name`}},
	{func(s *Set) { s.Workspaces[0].Name = "a/b" }, []string{`workspace "a/b": name: "a/b" is not a valid name; use letters, digits, dots, dashes and underscores, beginning with a letter or digit`}},
	{func(s *Set) { s.Workspaces[0].Name = core.Workspace(strings.Repeat("w", 64)) }, []string{
		`workspace "` + strings.Repeat("w", 64) + `": name: "wwwwwwwwwwwwwwwwwwww"... is longer than 63 bytes; shorten the name`,
	}},
	{func(s *Set) { s.Models = append(s.Models, Model{Name: "brief"}, Model{Name: "brief"}) }, []string{`model "brief": name: the name is used more than once; rename or remove all but one`}},
	{func(s *Set) { s.Versions[1].Manifest = testDigest[1:] + "G" }, []string{
		`version "other-1": manifest: "` + string(testDigest[1:]) + `G" is not a SHA-256 digest in lower-case hex; use what lovagectl version add printed`,
	}},
	{func(s *Set) { s.Workspaces[0].Services = []core.Service{"chat", "chat", "none"} }, []string{
		`workspace "space": services[1]: service "chat" is listed twice; remove one of them`,
		`workspace "space": services[2]: service "none" does not exist; add the service or correct its name`,
	}},
	{func(s *Set) { s.Workspaces[0].Objectives = map[core.Service]Objectives{"none": {}} }, []string{`workspace "space": objectives["none"]: service "none" does not exist; add the service or correct its name`}},
	{func(s *Set) { s.Workspaces[0].Services = []core.Service{"bookings"} }, []string{
		`workspace "space": objectives["chat"]: the workspace may not call service "chat"; add the service to the workspace's services or remove the objectives`,
	}},
	{func(s *Set) { s.Workspaces[0].Objectives["chat"] = Objectives{ReplicasS: 5} }, []string{
		`workspace "space": objectives["chat"].replicas_s: a workspace cannot set the time to replicas; set it on the service`,
	}},
	{func(s *Set) {
		s.Services[0].Objectives = Objectives{Availability: 1, FirstTokenMS: -1, BetweenTokensMS: 600_001, ReplicasS: 86_401}
	}, []string{
		`service "chat": objectives.availability: 1 is not at least 0.5 and below 1; set a ratio such as 0.999`,
		`service "chat": objectives.first_token_ms: -1 is not from 0 to 600000; set a value in milliseconds, or 0 for no objective`,
		`service "chat": objectives.between_tokens_ms: 600001 is not from 0 to 600000; set a value in milliseconds, or 0 for no objective`,
		`service "chat": objectives.replicas_s: 86401 is not from 0 to 86400; set a value in seconds, or 0 for no objective`,
	}},
	{func(s *Set) { s.Services[1].Objectives.FirstTokenMS = 5 }, []string{`service "bookings": objectives: a plain service supports only the availability objective; remove the other objectives`}},
	{func(s *Set) { s.Services[1].Kind = "engine" }, []string{`service "bookings": kind: "engine" is not a service kind; use model or plain`}},
	{func(s *Set) { s.Services[0].Calls = []Call{{Method: "GET", Path: "/"}} }, []string{`service "chat": calls: a model service cannot list calls; remove them; model requests are idempotent`}},
	{func(s *Set) { s.Services[0].Model = "none" }, []string{
		`service "chat": model: model "none" does not exist; add the model or correct its name`,
		`rule "chat": version: version "brief-1" is of model "brief", and service "chat" runs model "none"; use a version of the service's model`,
	}},
	{func(s *Set) { s.Rules = nil }, []string{`service "chat": name: no rule assigns a version to the service; add a rule for the service`}},
	{func(s *Set) { s.Services[1].Model = "brief" }, []string{`service "bookings": model: a plain service cannot have a model; remove the field or use kind model`}},
	{func(s *Set) {
		s.Services[1].Calls = []Call{{Method: "get", Path: "x"}, {Method: "PUT", Path: "/a"}, {Method: "PUT", Path: "/a"}}
	}, []string{
		`service "bookings": calls[0].method: "get" is not a supported HTTP method; use one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`,
		`service "bookings": calls[0].path: "x" does not begin with /; use an absolute path such as /profile`,
		`service "bookings": calls[2]: PUT /a is listed twice; remove one of them`,
	}},
	{func(s *Set) { s.Services[1].Limits = Limits{Cold: 0, Max: 0, Queue: -1} }, []string{
		`service "bookings": limits.max: 0 is not from 1 to 100000; state the requests that a warm endpoint bears at once`,
		`service "bookings": limits.cold: 0 is not from 1 to 100000; state the requests that a cold endpoint bears at once`,
		`service "bookings": limits.queue: -1 is not from 0 to 100000; state the requests that may wait at an endpoint`,
	}},
	{func(s *Set) { s.Services[1].Limits.Cold = 9 }, []string{`service "bookings": limits.cold: 9 is more than limits.max, which is 8; lower limits.cold or raise limits.max`}},
	{func(s *Set) { s.Services[1].Endpoints = nil }, []string{`service "bookings": endpoints: the service has no endpoints; add the hosts that serve it`}},
	{func(s *Set) { s.Services[1].Endpoints[0] = Endpoint{Host: "", FailureDomain: "c"} }, []string{
		`service "bookings": endpoints[0].host: the name is empty; set a name`,
		`service "bookings": endpoints[0].failure_domain: failure domain "c" does not exist; add the failure domain or correct its name`,
	}},
	{func(s *Set) { s.Services[1].Endpoints[0].Host = "r2" }, []string{`service "bookings": endpoints[0].host: host "r2" is already an endpoint of service "chat"; list each host once`}},
	{func(s *Set) { s.Rules[0].Service = "none" }, []string{
		`service "chat": name: no rule assigns a version to the service; add a rule for the service`,
		`rule "chat": service: service "none" does not exist; add the service or correct its name`,
	}},
	{func(s *Set) { s.Rules[0].Version = "none" }, []string{`rule "chat": version: version "none" does not exist; add the version or correct its name`}},
	{func(s *Set) { s.Rules[0].Version = "other-1" }, []string{
		`rule "chat": version: version "other-1" is of model "other", and service "chat" runs model "brief"; use a version of the service's model`,
	}},
	{func(s *Set) {
		s.Rules = append(s.Rules, Rule{Name: "plain", Service: "bookings", Version: "brief-1", Replicas: map[core.FailureDomain]int{"a": 1}})
	}, []string{`rule "plain": service: service "bookings" is plain and cannot run a version; remove the rule`}},
	{func(s *Set) { s.Rules = append(s.Rules, s.Rules[0]); s.Rules[1].Name = "second" }, []string{
		`rule "second": service: rule "chat" already assigns a version to service "chat"; keep one rule for each service`,
	}},
	{func(s *Set) { s.Rules[0].Replicas = map[core.FailureDomain]int{"a": 2, "b": -1, "c": 1} }, []string{
		`rule "chat": replicas["a"]: 2 replicas are requested, but service "chat" has 1 hosts there; ask for fewer or add endpoints`,
		`rule "chat": replicas["b"]: -1 is not a valid number of replicas; set 0 or more`,
		`rule "chat": replicas["c"]: failure domain "c" does not exist; add the failure domain or correct its name`,
	}},
	{func(s *Set) { s.Rules[0].Replicas = nil }, []string{`rule "chat": replicas: no replicas are requested; set the replicas of at least one failure domain`}},
}

func TestCheckNamesObjectFieldAndRemedy(t *testing.T) {
	for _, test := range invalidSets {
		set := validSet()
		test.modify(&set)
		if got := problemStrings(FindProblems(set).Problems); !slices.Equal(got, test.want) {
			t.Errorf("\n got %s\nwant %s", strings.Join(got, "\n     "), strings.Join(test.want, "\n     "))
		}
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	set := validSet()
	set.Rules[0].Version = "none"
	set.FailureDomains[0].Region = ""
	err := Check(set)
	if !fault.Is(err, fault.BadConfig) || !strings.Contains(err.Error(), "2 problems") {
		t.Fatalf("got %v", err)
	}
	for _, part := range []string{`failure domain "a": region`, `rule "chat": version`} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not in %v", part, err)
		}
	}
}

func TestWarnings(t *testing.T) {
	set := validSet()
	set.Services[0].Model = ""
	set.Services[1].Calls = nil
	set.FailureDomains[0].Out = true
	want := []string{
		`service "chat": model: no model is set, so a rule may assign a version of any model; set the model`,
		`service "bookings": calls: no call is named, so that all are taken as not idempotent; name the calls that may be repeated`,
		`service "bookings": endpoints: every failure domain with an endpoint is out of service, so no requests are served; bring one back with lovagectl domain in`,
	}
	findings := FindProblems(set)
	if got := problemStrings(findings.Warnings); !slices.Equal(got, want) || len(findings.Problems) > 0 {
		t.Fatalf("got %q and %v", got, findings.Problems)
	}
}

func problemStrings(problems []Problem) []string {
	var all []string
	for _, problem := range problems {
		all = append(all, problem.String())
	}
	return all
}
