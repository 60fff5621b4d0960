package config

import (
	"errors"
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/core"
)

// naive finds the places of problems by searching every list anew for every question.
type naive struct {
	set    Set
	places []string
}

func (n *naive) unless(sound bool, kind ObjectKind, name any, field string, parts ...any) {
	if !sound {
		n.places = append(n.places, fmt.Sprintf("%s %q: %s", kind, name, fmt.Sprintf(field, parts...)))
	}
}

func sound(name string) bool {
	return len(name) <= maxNameBytes && regexp.MustCompile(namePattern).MatchString(name)
}

func within(value, low, high int) bool { return value >= low && value <= high }

func (n *naive) service(name core.Service) *Service {
	for i := range n.set.Services {
		if n.set.Services[i].Name == name {
			return &n.set.Services[i]
		}
	}
	return nil
}

func (n *naive) has(kind ObjectKind, name string) bool { return n.count(kind, name) > 0 }

func (n *naive) count(kind ObjectKind, name string) int {
	count := 0
	for _, object := range n.set.objects() {
		if object.ref.Kind == kind && object.ref.Name == name {
			count++
		}
	}
	return count
}

func (n *naive) objectives(kind ObjectKind, name any, field string, o Objectives, of ServiceKind) {
	n.unless(o.Availability == 0 || (o.Availability >= 0.5 && o.Availability < 1), kind, name, "%s.availability", field)
	n.unless(within(o.FirstTokenMS, 0, 600_000), kind, name, "%s.first_token_ms", field)
	n.unless(within(o.BetweenTokensMS, 0, 600_000), kind, name, "%s.between_tokens_ms", field)
	n.unless(within(o.ReplicasS, 0, 86_400), kind, name, "%s.replicas_s", field)
	n.unless(of != KindPlain || o == Objectives{Availability: o.Availability}, kind, name, "%s", field)
}

func (n *naive) check() []string {
	seen := make(map[objectRef]bool)
	for _, object := range n.set.objects() {
		n.unless(sound(object.ref.Name), object.ref.Kind, object.ref.Name, "name")
		if !seen[object.ref] {
			n.unless(n.count(object.ref.Kind, object.ref.Name) == 1, object.ref.Kind, object.ref.Name, "name")
		}
		seen[object.ref] = true
	}
	for _, domain := range n.set.FailureDomains {
		n.unless(sound(string(domain.Region)), ObjectFailureDomain, domain.Name, "region")
	}
	for _, version := range n.set.Versions {
		n.unless(n.has(ObjectModel, string(version.Model)), ObjectVersion, version.Name, "model")
		n.unless(len(version.Manifest) == 64 && strings.Trim(string(version.Manifest), "0123456789abcdef") == "", ObjectVersion, version.Name, "manifest")
	}
	for _, workspace := range n.set.Workspaces {
		n.workspace(workspace)
	}
	for _, service := range n.set.Services {
		n.checkService(service)
	}
	n.endpointsOnce()
	for i, rule := range n.set.Rules {
		n.rule(i, rule)
	}
	return n.places
}

func (n *naive) workspace(w Workspace) {
	for i, name := range w.Services {
		n.unless(n.service(name) != nil, ObjectWorkspace, w.Name, "services[%d]", i)
		n.unless(!slices.Contains(w.Services[:i], name), ObjectWorkspace, w.Name, "services[%d]", i)
	}
	for name, o := range w.Objectives {
		field := fmt.Sprintf("objectives[%q]", name)
		n.unless(n.service(name) != nil, ObjectWorkspace, w.Name, "%s", field)
		if n.service(name) == nil {
			continue
		}
		n.unless(len(w.Services) == 0 || slices.Contains(w.Services, name), ObjectWorkspace, w.Name, "%s", field)
		n.unless(o.ReplicasS == 0, ObjectWorkspace, w.Name, "%s.replicas_s", field)
		o.ReplicasS = 0
		n.objectives(ObjectWorkspace, w.Name, field, o, n.service(name).Kind)
	}
}

func (n *naive) checkService(s Service) {
	model, plain := s.Kind == KindModel, s.Kind == KindPlain
	n.unless(model || plain, ObjectService, s.Name, "kind")
	n.unless(!model || len(s.Calls) == 0, ObjectService, s.Name, "calls")
	n.unless(!model || s.Model == "" || n.has(ObjectModel, string(s.Model)), ObjectService, s.Name, "model")
	n.unless(!plain || s.Model == "", ObjectService, s.Name, "model")
	bound := slices.ContainsFunc(n.set.Rules, func(rule Rule) bool { return rule.Service == s.Name })
	n.unless(!model || bound, ObjectService, s.Name, "name")
	for i, call := range s.Calls {
		if !plain {
			continue
		}
		n.unless(slices.Contains(callMethods, call.Method), ObjectService, s.Name, "calls[%d].method", i)
		n.unless(strings.HasPrefix(call.Path, "/"), ObjectService, s.Name, "calls[%d].path", i)
		twice := slices.ContainsFunc(s.Calls[:i], func(other Call) bool { return other.Method == call.Method && other.Path == call.Path })
		n.unless(!twice, ObjectService, s.Name, "calls[%d]", i)
	}
	n.unless(within(s.Limits.Max, 1, maxLimit), ObjectService, s.Name, "limits.max")
	n.unless(within(s.Limits.Cold, 1, maxLimit), ObjectService, s.Name, "limits.cold")
	n.unless(s.Limits.Max < 1 || s.Limits.Cold <= s.Limits.Max, ObjectService, s.Name, "limits.cold")
	n.unless(within(s.Limits.Queue, 0, maxLimit), ObjectService, s.Name, "limits.queue")
	n.objectives(ObjectService, s.Name, "objectives", s.Objectives, s.Kind)
	n.unless(len(s.Endpoints) > 0, ObjectService, s.Name, "endpoints")
	for i, endpoint := range s.Endpoints {
		n.unless(sound(string(endpoint.Host)), ObjectService, s.Name, "endpoints[%d].host", i)
		n.unless(n.has(ObjectFailureDomain, string(endpoint.FailureDomain)), ObjectService, s.Name, "endpoints[%d].failure_domain", i)
	}
}

func (n *naive) endpointsOnce() {
	var before []core.HostID
	for _, service := range n.set.Services {
		for i, endpoint := range service.Endpoints {
			n.unless(endpoint.Host == "" || !slices.Contains(before, endpoint.Host), ObjectService, service.Name, "endpoints[%d].host", i)
			before = append(before, endpoint.Host)
		}
	}
}

func (n *naive) rule(at int, r Rule) {
	service := n.service(r.Service)
	n.unless(service != nil, ObjectRule, r.Name, "service")
	n.unless(n.has(ObjectVersion, r.Version), ObjectRule, r.Name, "version")
	if service != nil {
		n.unless(service.Kind != KindPlain, ObjectRule, r.Name, "service")
		twice := slices.ContainsFunc(n.set.Rules[:at], func(other Rule) bool { return other.Service == r.Service })
		n.unless(!twice, ObjectRule, r.Name, "service")
		for _, version := range n.set.Versions {
			n.unless(version.Name != r.Version || service.Model == "" || version.Model == service.Model, ObjectRule, r.Name, "version")
		}
	}
	total := 0
	for domain, asked := range r.Replicas {
		total += max(asked, 0)
		known := n.has(ObjectFailureDomain, string(domain))
		n.unless(known, ObjectRule, r.Name, "replicas[%q]", domain)
		n.unless(!known || asked >= 0, ObjectRule, r.Name, "replicas[%q]", domain)
		held := 0
		for i := 0; service != nil && i < len(service.Endpoints); i++ {
			if service.Endpoints[i].FailureDomain == domain {
				held++
			}
		}
		n.unless(!known || service == nil || asked <= held, ObjectRule, r.Name, "replicas[%q]", domain)
	}
	n.unless(total > 0, ObjectRule, r.Name, "replicas")
}

func places(problems []Problem) []string {
	var all []string
	for _, problem := range problems {
		all = append(all, fmt.Sprintf("%s %q: %s", problem.Kind, problem.Object, problem.Field))
	}
	return all
}

// drawSet draws a set of few names, so that references hit, miss and repeat. Names of services and versions do not
// repeat, since which of two namesakes a reference means is left open.
func drawSet(t *rapid.T) Set {
	set := soundSet()
	pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	number := func(label string) int {
		return rapid.SampledFrom([]int{-1, 0, 1, 2, 9, 100_001, 700_000}).Draw(t, label)
	}
	chance := func(label string) bool { return rapid.IntRange(0, 3).Draw(t, label) == 0 }
	name := func(label string) string {
		return pick(label, "a", "b", "chat", "bookings", "none", "", "-x", "brief", "brief-1")
	}
	objectives := func() Objectives {
		share := rapid.SampledFrom([]float64{0, 0.4, 0.99, 1}).Draw(t, "share")
		return Objectives{Availability: share, FirstTokenMS: number("first"), BetweenTokensMS: number("between"), ReplicasS: number("replicas_s")}
	}
	for i := range set.Services {
		service := &set.Services[i]
		if chance("service kind") {
			service.Kind = ServiceKind(pick("kind", "model", "plain", "x"))
		}
		if chance("service model") {
			service.Model = core.Model(pick("model", "", "brief", "other", "none"))
		}
		if chance("limits") {
			service.Limits = Limits{Cold: number("cold"), Max: number("max"), Queue: number("queue")}
		}
		if chance("objectives") {
			service.Objectives = objectives()
		}
		if chance("calls") {
			call := Call{Method: pick("method", "GET", "get"), Path: pick("path", "/", "x")}
			service.Calls = append(service.Calls, call, call)
		}
		for range rapid.IntRange(0, 2).Draw(t, "endpoints") {
			service.Endpoints = append(service.Endpoints, Endpoint{Host: core.HostID(pick("host", "r1", "r3", "", "!")), FailureDomain: core.FailureDomain(name("of"))})
		}
		if chance("endpoints gone") {
			service.Endpoints = nil
		}
	}
	if chance("more domains") {
		set.FailureDomains = append(set.FailureDomains, FailureDomain{Name: core.FailureDomain(name("domain")), Region: core.Region(name("region"))})
	}
	if chance("more models") {
		set.Models = append(set.Models, Model{Name: core.Model(name("new model"))})
	}
	if chance("version") {
		set.Versions[0].Model = core.Model(name("version model"))
		set.Versions[1].Manifest = core.VersionID(pick("digest", "", string(digest), strings.ToUpper(string(digest))))
	}
	for range rapid.IntRange(0, 2).Draw(t, "workspaces") {
		workspace := Workspace{Name: core.Workspace(name("workspace")), Objectives: map[core.Service]Objectives{core.Service(name("objectives of")): objectives()}}
		for range rapid.IntRange(0, 3).Draw(t, "services") {
			workspace.Services = append(workspace.Services, core.Service(name("service")))
		}
		set.Workspaces = append(set.Workspaces, workspace)
	}
	for range rapid.IntRange(0, 2).Draw(t, "rules") {
		rule := Rule{Name: name("rule"), Service: core.Service(name("bound")), Version: name("version"), Replicas: make(map[core.FailureDomain]int)}
		for range rapid.IntRange(0, 2).Draw(t, "replicas") {
			rule.Replicas[core.FailureDomain(name("in"))] = number("asked")
		}
		set.Rules = append(set.Rules, rule)
	}
	if chance("rules gone") {
		set.Rules = set.Rules[1:]
	}
	return set
}

const (
	naiveSeed  = "20260"
	naiveCases = "3000"
)

// fixSeed makes rapid draw the same cases in every run.
func fixSeed(t *testing.T, seed, cases string) {
	t.Helper()
	if err := errors.Join(flag.Set("rapid.seed", seed), flag.Set("rapid.checks", cases), flag.Set("rapid.nofailfile", "true")); err != nil {
		t.Fatal(err)
	}
}

func TestCheckAgreesWithNaive(t *testing.T) {
	fixSeed(t, naiveSeed, naiveCases)
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		reference := naive{set: set}
		want := slices.Sorted(slices.Values(reference.check()))
		got := slices.Sorted(slices.Values(places(Examine(set).Problems)))
		if !slices.Equal(got, want) {
			t.Fatalf("\n got %s\nwant %s", strings.Join(got, "\n     "), strings.Join(want, "\n     "))
		}
	})
}
