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

// referenceModel is a naive version of the check. It finds the same problems as FindProblems, but by linear search
// instead of indexes. Only where a problem is (object and field) is compared, not its text.
type referenceModel struct {
	set       Set
	locations []string
}

func (m *referenceModel) require(valid bool, kind ObjectKind, name any, fieldFormat string, args ...any) {
	if !valid {
		m.locations = append(m.locations, fmt.Sprintf("%s %q: %s", kind, name, fmt.Sprintf(fieldFormat, args...)))
	}
}

func isValidName(name string) bool {
	return len(name) <= maxNameBytes && regexp.MustCompile(namePattern).MatchString(name)
}

func inRange(value, low, high int) bool { return value >= low && value <= high }

func (m *referenceModel) findService(name core.Service) *Service {
	for i := range m.set.Services {
		if m.set.Services[i].Name == name {
			return &m.set.Services[i]
		}
	}
	return nil
}

func (m *referenceModel) exists(kind ObjectKind, name string) bool { return m.count(kind, name) > 0 }

func (m *referenceModel) count(kind ObjectKind, name string) int {
	count := 0
	for _, object := range m.set.objects() {
		if object.ref.Kind == kind && object.ref.Name == name {
			count++
		}
	}
	return count
}

func (m *referenceModel) checkObjectives(kind ObjectKind, name any, field string, o Objectives, serviceKind ServiceKind) {
	m.require(o.Availability == 0 || (o.Availability >= 0.5 && o.Availability < 1), kind, name, "%s.availability", field)
	m.require(inRange(o.FirstTokenMS, 0, 600_000), kind, name, "%s.first_token_ms", field)
	m.require(inRange(o.BetweenTokensMS, 0, 600_000), kind, name, "%s.between_tokens_ms", field)
	m.require(inRange(o.ReplicasS, 0, 86_400), kind, name, "%s.replicas_s", field)
	m.require(serviceKind != KindPlain || o == Objectives{Availability: o.Availability}, kind, name, "%s", field)
}

func (m *referenceModel) check() []string {
	seen := make(map[objectRef]bool)
	for _, object := range m.set.objects() {
		m.require(isValidName(object.ref.Name), object.ref.Kind, object.ref.Name, "name")
		if !seen[object.ref] {
			m.require(m.count(object.ref.Kind, object.ref.Name) == 1, object.ref.Kind, object.ref.Name, "name")
		}
		seen[object.ref] = true
	}
	for _, domain := range m.set.FailureDomains {
		m.require(isValidName(string(domain.Region)), ObjectFailureDomain, domain.Name, "region")
	}
	for _, version := range m.set.Versions {
		m.require(m.exists(ObjectModel, string(version.Model)), ObjectVersion, version.Name, "model")
		m.require(len(version.Manifest) == 64 && strings.Trim(string(version.Manifest), "0123456789abcdef") == "", ObjectVersion, version.Name, "manifest")
	}
	for _, workspace := range m.set.Workspaces {
		m.checkWorkspace(workspace)
	}
	for _, service := range m.set.Services {
		m.checkService(service)
	}
	m.checkHostsUnique()
	for i, rule := range m.set.Rules {
		m.checkRule(i, rule)
	}
	return m.locations
}

func (m *referenceModel) checkWorkspace(w Workspace) {
	for i, name := range w.Services {
		m.require(m.findService(name) != nil, ObjectWorkspace, w.Name, "services[%d]", i)
		m.require(!slices.Contains(w.Services[:i], name), ObjectWorkspace, w.Name, "services[%d]", i)
	}
	for name, o := range w.Objectives {
		field := fmt.Sprintf("objectives[%q]", name)
		m.require(m.findService(name) != nil, ObjectWorkspace, w.Name, "%s", field)
		if m.findService(name) == nil {
			continue
		}
		m.require(len(w.Services) == 0 || slices.Contains(w.Services, name), ObjectWorkspace, w.Name, "%s", field)
		m.require(o.ReplicasS == 0, ObjectWorkspace, w.Name, "%s.replicas_s", field)
		o.ReplicasS = 0 // already reported above; don't report its range too
		m.checkObjectives(ObjectWorkspace, w.Name, field, o, m.findService(name).Kind)
	}
}

func (m *referenceModel) checkService(s Service) {
	model, plain := s.Kind == KindModel, s.Kind == KindPlain
	m.require(model || plain, ObjectService, s.Name, "kind")
	m.require(!model || len(s.Calls) == 0, ObjectService, s.Name, "calls")
	m.require(!model || s.Model == "" || m.exists(ObjectModel, string(s.Model)), ObjectService, s.Name, "model")
	m.require(!plain || s.Model == "", ObjectService, s.Name, "model")
	hasRule := slices.ContainsFunc(m.set.Rules, func(rule Rule) bool { return rule.Service == s.Name })
	m.require(!model || hasRule, ObjectService, s.Name, "name")
	for i, call := range s.Calls {
		if !plain {
			continue
		}
		m.require(slices.Contains(callMethods, call.Method), ObjectService, s.Name, "calls[%d].method", i)
		m.require(strings.HasPrefix(call.Path, "/"), ObjectService, s.Name, "calls[%d].path", i)
		duplicate := slices.ContainsFunc(s.Calls[:i], func(other Call) bool { return other.Method == call.Method && other.Path == call.Path })
		m.require(!duplicate, ObjectService, s.Name, "calls[%d]", i)
	}
	m.require(inRange(s.Limits.Max, 1, maxRequestLimit), ObjectService, s.Name, "limits.max")
	m.require(inRange(s.Limits.Cold, 1, maxRequestLimit), ObjectService, s.Name, "limits.cold")
	m.require(s.Limits.Max < 1 || s.Limits.Cold <= s.Limits.Max, ObjectService, s.Name, "limits.cold")
	m.require(inRange(s.Limits.Queue, 0, maxRequestLimit), ObjectService, s.Name, "limits.queue")
	m.checkObjectives(ObjectService, s.Name, "objectives", s.Objectives, s.Kind)
	m.require(len(s.Endpoints) > 0, ObjectService, s.Name, "endpoints")
	for i, endpoint := range s.Endpoints {
		m.require(isValidName(string(endpoint.Host)), ObjectService, s.Name, "endpoints[%d].host", i)
		m.require(m.exists(ObjectFailureDomain, string(endpoint.FailureDomain)), ObjectService, s.Name, "endpoints[%d].failure_domain", i)
	}
}

func (m *referenceModel) checkHostsUnique() {
	var seen []core.HostID
	for _, service := range m.set.Services {
		for i, endpoint := range service.Endpoints {
			m.require(endpoint.Host == "" || !slices.Contains(seen, endpoint.Host), ObjectService, service.Name, "endpoints[%d].host", i)
			seen = append(seen, endpoint.Host)
		}
	}
}

func (m *referenceModel) checkRule(index int, r Rule) {
	service := m.findService(r.Service)
	m.require(service != nil, ObjectRule, r.Name, "service")
	m.require(m.exists(ObjectVersion, r.Version), ObjectRule, r.Name, "version")
	if service != nil {
		m.require(service.Kind != KindPlain, ObjectRule, r.Name, "service")
		duplicate := slices.ContainsFunc(m.set.Rules[:index], func(other Rule) bool { return other.Service == r.Service })
		m.require(!duplicate, ObjectRule, r.Name, "service")
		for _, version := range m.set.Versions {
			m.require(version.Name != r.Version || service.Model == "" || version.Model == service.Model, ObjectRule, r.Name, "version")
		}
	}
	total := 0
	for domain, requested := range r.Replicas {
		total += max(requested, 0)
		known := m.exists(ObjectFailureDomain, string(domain))
		m.require(known, ObjectRule, r.Name, "replicas[%q]", domain)
		m.require(!known || requested >= 0, ObjectRule, r.Name, "replicas[%q]", domain)
		available := 0
		for i := 0; service != nil && i < len(service.Endpoints); i++ {
			if service.Endpoints[i].FailureDomain == domain {
				available++
			}
		}
		m.require(!known || service == nil || requested <= available, ObjectRule, r.Name, "replicas[%q]", domain)
	}
	m.require(total > 0, ObjectRule, r.Name, "replicas")
}

func problemLocations(problems []Problem) []string {
	var all []string
	for _, problem := range problems {
		all = append(all, fmt.Sprintf("%s %q: %s", problem.Kind, problem.Object, problem.Field))
	}
	return all
}

// drawSet draws a set from a small pool of names, so that references may be valid, dangling or duplicate. It never adds
// a service or version, so their names stay unique: which of two namesakes a reference means is unspecified.
func drawSet(t *rapid.T) Set {
	set := validSet()
	pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
	number := func(label string) int {
		return rapid.SampledFrom([]int{-1, 0, 1, 2, 9, 100_001, 700_000}).Draw(t, label)
	}
	chance := func(label string) bool { return rapid.IntRange(0, 3).Draw(t, label) == 0 }
	name := func(label string) string {
		return pick(label, "a", "b", "chat", "bookings", "none", "", "-x", "brief", "brief-1")
	}
	objectives := func() Objectives {
		availability := rapid.SampledFrom([]float64{0, 0.4, 0.99, 1}).Draw(t, "share")
		return Objectives{Availability: availability, FirstTokenMS: number("first"), BetweenTokensMS: number("between"), ReplicasS: number("replicas_s")}
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
		set.Versions[1].Manifest = core.VersionID(pick("digest", "", string(testDigest), strings.ToUpper(string(testDigest))))
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
	referenceSeed  = "20260"
	referenceCases = "3000"
)

// setRapidSeed makes rapid draw the same cases in every run.
func setRapidSeed(t *testing.T, seed, cases string) {
	t.Helper()
	if err := errors.Join(flag.Set("rapid.seed", seed), flag.Set("rapid.checks", cases), flag.Set("rapid.nofailfile", "true")); err != nil {
		t.Fatal(err)
	}
}

func TestCheckMatchesReferenceModel(t *testing.T) {
	setRapidSeed(t, referenceSeed, referenceCases)
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		reference := referenceModel{set: set}
		want := slices.Sorted(slices.Values(reference.check()))
		got := slices.Sorted(slices.Values(problemLocations(FindProblems(set).Problems)))
		if !slices.Equal(got, want) {
			t.Fatalf("\n got %s\nwant %s", strings.Join(got, "\n     "), strings.Join(want, "\n     "))
		}
	})
}
