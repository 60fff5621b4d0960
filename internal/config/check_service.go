package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
)

var callMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (c *checker) checkService(service *Service) {
	o := c.forObject(ObjectService, string(service.Name))
	switch service.Kind {
	case KindModel:
		o.checkModelService(service)
	case KindPlain:
		o.checkPlainService(service)
	default:
		o.addProblem("kind", fmt.Sprintf("%q is not a service kind", service.Kind), "use model or plain")
	}
	o.checkLimits(service.Limits)
	o.checkObjectives("objectives", service.Objectives, service.Kind)
	o.checkEndpoints(service)
}

func (o objectChecker) checkModelService(service *Service) {
	if len(service.Calls) > 0 {
		o.addProblem("calls", "a model service cannot list calls", "remove them; model requests are idempotent")
	}
	if service.Model == "" {
		o.addWarning("model", "no model is set, so a rule may assign a version of any model", "set the model")
	} else if o.checker.models[service.Model] == nil {
		o.addProblem("model", fmt.Sprintf("model %q does not exist", service.Model), "add the model or correct its name")
	}
	hasRule := slices.ContainsFunc(o.checker.set.Rules, func(rule Rule) bool { return rule.Service == service.Name })
	if !hasRule {
		o.addProblem("name", "no rule assigns a version to the service", "add a rule for the service")
	}
}

func (o objectChecker) checkPlainService(service *Service) {
	if service.Model != "" {
		o.addProblem("model", "a plain service cannot have a model", "remove the field or use kind model")
	}
	if len(service.Calls) == 0 {
		o.addWarning("calls", "no call is named, so that all are taken as not idempotent", "name the calls that may be repeated")
	}
	seen := make(map[string]bool)
	for i, call := range service.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		if !slices.Contains(callMethods, call.Method) {
			o.addProblem(field+".method", fmt.Sprintf("%q is not a supported HTTP method", call.Method), "use one of "+strings.Join(callMethods, ", "))
		}
		if !strings.HasPrefix(call.Path, "/") {
			o.addProblem(field+".path", fmt.Sprintf("%q does not begin with /", call.Path), "use an absolute path such as /profile")
		}
		if seen[call.Method+" "+call.Path] {
			o.addProblem(field, fmt.Sprintf("%s %s is listed twice", call.Method, call.Path), "remove one of them")
		}
		seen[call.Method+" "+call.Path] = true
	}
}

func (o objectChecker) checkLimits(limits Limits) {
	if limits.Max < 1 || limits.Max > maxRequestLimit {
		o.addProblem("limits.max", fmt.Sprintf("%d is not from 1 to %d", limits.Max, maxRequestLimit), "state the requests that a warm endpoint bears at once")
	}
	if limits.Cold < 1 || limits.Cold > maxRequestLimit {
		o.addProblem("limits.cold", fmt.Sprintf("%d is not from 1 to %d", limits.Cold, maxRequestLimit), "state the requests that a cold endpoint bears at once")
	}
	if limits.Cold > limits.Max && limits.Max >= 1 {
		o.addProblem("limits.cold", fmt.Sprintf("%d is more than limits.max, which is %d", limits.Cold, limits.Max), "lower limits.cold or raise limits.max")
	}
	if limits.Queue < 0 || limits.Queue > maxRequestLimit {
		o.addProblem("limits.queue", fmt.Sprintf("%d is not from 0 to %d", limits.Queue, maxRequestLimit), "state the requests that may wait at an endpoint")
	}
}

func (o objectChecker) checkEndpoints(service *Service) {
	if len(service.Endpoints) == 0 {
		o.addProblem("endpoints", "the service has no endpoints", "add the hosts that serve it")
		return
	}
	allOut := true
	for i, endpoint := range service.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		o.checkName(field+".host", string(endpoint.Host))
		domain := o.checker.domains[endpoint.FailureDomain]
		if domain == nil {
			o.addProblem(field+".failure_domain", fmt.Sprintf("failure domain %q does not exist", endpoint.FailureDomain), "add the failure domain or correct its name")
		}
		allOut = allOut && domain != nil && domain.Out
		o.checkHostUnique(field, endpoint.Host)
	}
	if allOut {
		o.addWarning("endpoints", "every failure domain with an endpoint is out of service, so no requests are served", "bring one back with lovagectl domain in")
	}
}

func (o objectChecker) checkHostUnique(field string, host core.HostID) {
	otherService, used := o.checker.serviceByHost[host]
	if used && host != "" {
		o.addProblem(field+".host", fmt.Sprintf("host %q is already an endpoint of service %q", host, otherService), "list each host once")
	}
	if !used {
		o.checker.serviceByHost[host] = core.Service(o.ref.Name)
	}
}

func (c *checker) checkRule(rule *Rule) {
	o := c.forObject(ObjectRule, rule.Name)
	service := c.services[rule.Service]
	version := c.versions[rule.Version]
	if service == nil {
		o.addProblem("service", fmt.Sprintf("service %q does not exist", rule.Service), "add the service or correct its name")
	}
	if version == nil {
		o.addProblem("version", fmt.Sprintf("version %q does not exist", rule.Version), "add the version or correct its name")
	}
	if service != nil {
		o.checkAssignment(rule, service, version)
	}
	o.checkReplicas(rule, service)
}

func (o objectChecker) checkAssignment(rule *Rule, service *Service, version *Version) {
	if service.Kind == KindPlain {
		o.addProblem("service", fmt.Sprintf("service %q is plain and cannot run a version", rule.Service), "remove the rule")
	}
	if version != nil && service.Model != "" && version.Model != service.Model {
		message := fmt.Sprintf("version %q is of model %q, and service %q runs model %q", rule.Version, version.Model, rule.Service, service.Model)
		o.addProblem("version", message, "use a version of the service's model")
	}
	if otherRule, alreadyAssigned := o.checker.ruleByService[rule.Service]; alreadyAssigned {
		o.addProblem("service", fmt.Sprintf("rule %q already assigns a version to service %q", otherRule, rule.Service), "keep one rule for each service")
		return
	}
	o.checker.ruleByService[rule.Service] = rule.Name
}

func (o objectChecker) checkReplicas(rule *Rule, service *Service) {
	total := 0
	for _, domain := range slices.Sorted(maps.Keys(rule.Replicas)) {
		field := fmt.Sprintf("replicas[%q]", domain)
		requested := rule.Replicas[domain]
		total += max(requested, 0)
		if o.checker.domains[domain] == nil {
			o.addProblem(field, fmt.Sprintf("failure domain %q does not exist", domain), "add the failure domain or correct its name")
			continue
		}
		if requested < 0 {
			o.addProblem(field, fmt.Sprintf("%d is not a valid number of replicas", requested), "set 0 or more")
		}
		if service == nil {
			continue
		}
		if available := service.countHostsIn(domain); requested > available {
			o.addProblem(field, fmt.Sprintf("%d replicas are requested, but service %q has %d hosts there", requested, service.Name, available), "ask for fewer or add endpoints")
		}
	}
	if total == 0 {
		o.addProblem("replicas", "no replicas are requested", "set the replicas of at least one failure domain")
	}
}

func (s *Service) countHostsIn(domain core.FailureDomain) int {
	count := 0
	for _, endpoint := range s.Endpoints {
		if endpoint.FailureDomain == domain {
			count++
		}
	}
	return count
}
