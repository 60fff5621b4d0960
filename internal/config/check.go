package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Limits on values. References cannot form a cycle: rules and workspaces refer to services, rules to versions, versions
// and services to models, and endpoints to failure domains.
const (
	maxRequestLimit    = 100_000 // requests at one endpoint
	maxTokenLatencyMS  = 600_000 // milliseconds
	maxTimeToReplicasS = 86_400  // seconds
	minAvailability    = 0.5     // smallest availability objective
	maxNameBytes       = 63      // bytes
	digestPattern      = `^[0-9a-f]{64}$`
	namePattern        = `^[A-Za-z0-9][A-Za-z0-9._-]*$`
)

var (
	validName   = regexp.MustCompile(namePattern)
	validDigest = regexp.MustCompile(digestPattern)
)

// Check returns all problems of the set as one error of kind BadConfig, or nil if there are none.
func Check(set Set) error { return FindProblems(set).Err() }

// FindProblems returns the problems and warnings of the set. Problems with names come first. The others are ordered by
// object kind, then by position in the set's lists.
func FindProblems(set Set) Findings {
	c := newChecker(set)
	c.checkNames()
	for i := range set.FailureDomains {
		c.checkFailureDomain(&set.FailureDomains[i])
	}
	for i := range set.Workspaces {
		c.checkWorkspace(&set.Workspaces[i])
	}
	for i := range set.Versions {
		c.checkVersion(&set.Versions[i])
	}
	for i := range set.Services {
		c.checkService(&set.Services[i])
	}
	for i := range set.Rules {
		c.checkRule(&set.Rules[i])
	}
	return c.findings
}

// checker holds the indexes of the set and the findings so far.
type checker struct {
	set           Set
	findings      Findings
	domains       map[core.FailureDomain]*FailureDomain
	services      map[core.Service]*Service
	models        map[core.Model]*Model
	versions      map[string]*Version
	serviceByHost map[core.HostID]core.Service // first service that lists each host
	ruleByService map[core.Service]string      // first rule for each service
}

func newChecker(set Set) *checker {
	return &checker{
		set:           set,
		domains:       indexBy(set.FailureDomains, func(item *FailureDomain) core.FailureDomain { return item.Name }),
		services:      indexBy(set.Services, func(item *Service) core.Service { return item.Name }),
		models:        indexBy(set.Models, func(item *Model) core.Model { return item.Name }),
		versions:      indexBy(set.Versions, func(item *Version) string { return item.Name }),
		serviceByHost: make(map[core.HostID]core.Service),
		ruleByService: make(map[core.Service]string),
	}
}

// objectChecker records the findings about one object.
type objectChecker struct {
	checker *checker
	ref     objectRef
}

func (c *checker) forObject(kind ObjectKind, name string) objectChecker {
	return objectChecker{checker: c, ref: objectRef{Kind: kind, Name: name}}
}

func (o objectChecker) addProblem(field, message, remedy string) {
	findings := &o.checker.findings
	findings.Problems = append(findings.Problems, o.newProblem(field, message, remedy))
}

func (o objectChecker) addWarning(field, message, remedy string) {
	findings := &o.checker.findings
	findings.Warnings = append(findings.Warnings, o.newProblem(field, message, remedy))
}

func (o objectChecker) newProblem(field, message, remedy string) Problem {
	problem := Problem{Kind: o.ref.Kind, Object: o.ref.Name, Field: field, Message: message, Remedy: remedy}
	if fileNames := o.checker.set.files[o.ref]; len(fileNames) > 0 {
		problem.File = fileNames[0]
	}
	return problem
}

// checkNames checks that every object has a valid name, and that no other object of its kind has the same name.
func (c *checker) checkNames() {
	seen := make(map[objectRef]int)
	for _, object := range c.set.objects() {
		o := objectChecker{checker: c, ref: object.ref}
		o.checkName("name", object.ref.Name)
		seen[object.ref]++
		if seen[object.ref] == 2 {
			o.addProblem("name", "the name is used more than once"+c.describeFiles(object.ref), "rename or remove all but one")
		}
	}
}

func (c *checker) describeFiles(ref objectRef) string {
	names := slices.Compact(slices.Sorted(slices.Values(c.set.files[ref])))
	if len(names) < 2 {
		return ""
	}
	return fmt.Sprintf(", in %q", names)
}

func (o objectChecker) checkName(field, name string) {
	switch {
	case name == "":
		o.addProblem(field, "the name is empty", "set a name")
	case len(name) > maxNameBytes:
		o.addProblem(field, fmt.Sprintf("%.20q... is longer than %d bytes", name, maxNameBytes), "shorten the name")
	case !validName.MatchString(name):
		o.addProblem(field, fmt.Sprintf("%q is not a valid name", name), "use letters, digits, dots, dashes and underscores, beginning with a letter or digit")
	}
}

func (c *checker) checkFailureDomain(domain *FailureDomain) {
	o := c.forObject(ObjectFailureDomain, string(domain.Name))
	o.checkName("region", string(domain.Region))
}

func (c *checker) checkVersion(version *Version) {
	o := c.forObject(ObjectVersion, version.Name)
	if c.models[version.Model] == nil {
		o.addProblem("model", fmt.Sprintf("model %q does not exist", version.Model), "add the model or correct its name")
	}
	if !validDigest.MatchString(string(version.Manifest)) {
		o.addProblem("manifest", fmt.Sprintf("%q is not a SHA-256 digest in lower-case hex", version.Manifest), "use what lovagectl version add printed")
	}
}

func (c *checker) checkWorkspace(workspace *Workspace) {
	o := c.forObject(ObjectWorkspace, string(workspace.Name))
	seen := make(map[core.Service]bool)
	for i, name := range workspace.Services {
		field := fmt.Sprintf("services[%d]", i)
		if c.services[name] == nil {
			o.addProblem(field, fmt.Sprintf("service %q does not exist", name), "add the service or correct its name")
		}
		if seen[name] {
			o.addProblem(field, fmt.Sprintf("service %q is listed twice", name), "remove one of them")
		}
		seen[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(workspace.Objectives)) {
		o.checkWorkspaceObjectives(workspace, name)
	}
}

func (o objectChecker) checkWorkspaceObjectives(workspace *Workspace, name core.Service) {
	field := fmt.Sprintf("objectives[%q]", name)
	service := o.checker.services[name]
	if service == nil {
		o.addProblem(field, fmt.Sprintf("service %q does not exist", name), "add the service or correct its name")
		return
	}
	if !workspace.Allows(name) {
		o.addProblem(field, fmt.Sprintf("the workspace may not call service %q", name), "add the service to the workspace's services or remove the objectives")
	}
	objectives := workspace.Objectives[name]
	if objectives.ReplicasS != 0 {
		o.addProblem(field+".replicas_s", "a workspace cannot set the time to replicas", "set it on the service")
		objectives.ReplicasS = 0
	}
	o.checkObjectives(field, objectives, service.Kind)
}

func (o objectChecker) checkObjectives(field string, objectives Objectives, kind ServiceKind) {
	availability := objectives.Availability
	if availability != 0 && !(availability >= minAvailability && availability < 1) {
		o.addProblem(field+".availability", fmt.Sprintf("%v is not at least %v and below 1", availability, minAvailability), "set a ratio such as 0.999")
	}
	o.checkObjectiveRange(field+".first_token_ms", objectives.FirstTokenMS, maxTokenLatencyMS, "milliseconds")
	o.checkObjectiveRange(field+".between_tokens_ms", objectives.BetweenTokensMS, maxTokenLatencyMS, "milliseconds")
	o.checkObjectiveRange(field+".replicas_s", objectives.ReplicasS, maxTimeToReplicasS, "seconds")
	if kind == KindPlain && (objectives.FirstTokenMS != 0 || objectives.BetweenTokensMS != 0 || objectives.ReplicasS != 0) {
		o.addProblem(field, "a plain service supports only the availability objective", "remove the other objectives")
	}
}

func (o objectChecker) checkObjectiveRange(field string, value, limit int, unit string) {
	if value < 0 || value > limit {
		o.addProblem(field, fmt.Sprintf("%d is not from 0 to %d", value, limit), "set a value in "+unit+", or 0 for no objective")
	}
}
