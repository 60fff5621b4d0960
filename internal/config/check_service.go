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
	at := c.subject(ObjectService, string(service.Name))
	switch service.Kind {
	case KindModel:
		at.checkModelService(service)
	case KindPlain:
		at.checkPlainService(service)
	default:
		at.problem("kind", fmt.Sprintf("%q is no kind of service", service.Kind), "use model or plain")
	}
	at.checkLimits(service.Limits)
	at.checkObjectives("objectives", service.Objectives, service.Kind)
	at.checkEndpoints(service)
}

func (s subject) checkModelService(service *Service) {
	if len(service.Calls) > 0 {
		s.problem("calls", "a model service has no named calls", "remove them; model requests are idempotent")
	}
	if service.Model == "" {
		s.warning("model", "no model is named, so that a rule may bind versions of any model", "name the model")
	} else if s.checker.models[service.Model] == nil {
		s.problem("model", fmt.Sprintf("model %q does not exist", service.Model), "add the model or correct its name")
	}
	bound := slices.ContainsFunc(s.checker.set.Rules, func(rule Rule) bool { return rule.Service == service.Name })
	if !bound {
		s.problem("name", "no rule binds the service to a version", "add a rule that names the service")
	}
}

func (s subject) checkPlainService(service *Service) {
	if service.Model != "" {
		s.problem("model", "a plain service runs no model", "remove the field or use kind model")
	}
	if len(service.Calls) == 0 {
		s.warning("calls", "no call is named, so that all are taken as not idempotent", "name the calls that may be repeated")
	}
	seen := make(map[string]bool)
	for i, call := range service.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		if !slices.Contains(callMethods, call.Method) {
			s.problem(field+".method", fmt.Sprintf("%q is no HTTP method", call.Method), "use one of "+strings.Join(callMethods, ", "))
		}
		if !strings.HasPrefix(call.Path, "/") {
			s.problem(field+".path", fmt.Sprintf("%q does not begin with /", call.Path), "state the path's beginning, such as /profile")
		}
		if seen[call.Method+" "+call.Path] {
			s.problem(field, fmt.Sprintf("%s %s is named twice", call.Method, call.Path), "remove one of them")
		}
		seen[call.Method+" "+call.Path] = true
	}
}

func (s subject) checkLimits(limits Limits) {
	if limits.Max < 1 || limits.Max > maxLimit {
		s.problem("limits.max", fmt.Sprintf("%d is not from 1 to %d", limits.Max, maxLimit), "state the requests that a warm endpoint bears at once")
	}
	if limits.Cold < 1 || limits.Cold > maxLimit {
		s.problem("limits.cold", fmt.Sprintf("%d is not from 1 to %d", limits.Cold, maxLimit), "state the requests that a cold endpoint bears at once")
	}
	if limits.Cold > limits.Max && limits.Max >= 1 {
		s.problem("limits.cold", fmt.Sprintf("%d is more than limits.max, which is %d", limits.Cold, limits.Max), "lower limits.cold or raise limits.max")
	}
	if limits.Queue < 0 || limits.Queue > maxLimit {
		s.problem("limits.queue", fmt.Sprintf("%d is not from 0 to %d", limits.Queue, maxLimit), "state the requests that may wait at an endpoint")
	}
}

func (s subject) checkEndpoints(service *Service) {
	if len(service.Endpoints) == 0 {
		s.problem("endpoints", "the service has no endpoint", "add the hosts that serve it")
		return
	}
	allOut := true
	for i, endpoint := range service.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		s.checkName(field+".host", string(endpoint.Host))
		domain := s.checker.domains[endpoint.FailureDomain]
		if domain == nil {
			s.problem(field+".failure_domain", fmt.Sprintf("failure domain %q does not exist", endpoint.FailureDomain), "add the failure domain or correct its name")
		}
		allOut = allOut && domain != nil && domain.Out
		s.checkHostUsedOnce(field, endpoint.Host)
	}
	if allOut {
		s.warning("endpoints", "every failure domain that holds an endpoint is out, so that no request is served", "bring one back with lovagectl domain in")
	}
}

func (s subject) checkHostUsedOnce(field string, host core.HostID) {
	other, used := s.checker.hosts[host]
	if used && host != "" {
		s.problem(field+".host", fmt.Sprintf("host %q already is an endpoint of service %q", host, other), "name each host once")
	}
	if !used {
		s.checker.hosts[host] = core.Service(s.ref.Name)
	}
}

func (c *checker) checkRule(rule *Rule) {
	at := c.subject(ObjectRule, rule.Name)
	service := c.services[rule.Service]
	version := c.versions[rule.Version]
	if service == nil {
		at.problem("service", fmt.Sprintf("service %q does not exist", rule.Service), "add the service or correct its name")
	}
	if version == nil {
		at.problem("version", fmt.Sprintf("version %q does not exist", rule.Version), "add the version or correct its name")
	}
	if service != nil {
		at.checkBinding(rule, service, version)
	}
	at.checkReplicas(rule, service)
}

func (s subject) checkBinding(rule *Rule, service *Service, version *Version) {
	if service.Kind == KindPlain {
		s.problem("service", fmt.Sprintf("service %q is plain and runs no version", rule.Service), "remove the rule")
	}
	if version != nil && service.Model != "" && version.Model != service.Model {
		wrong := fmt.Sprintf("version %q is of model %q, and service %q runs model %q", rule.Version, version.Model, rule.Service, service.Model)
		s.problem("version", wrong, "name a version of the service's model")
	}
	if other, bound := s.checker.rules[rule.Service]; bound {
		s.problem("service", fmt.Sprintf("rule %q already binds service %q", other, rule.Service), "keep one rule for each service")
		return
	}
	s.checker.rules[rule.Service] = rule.Name
}

func (s subject) checkReplicas(rule *Rule, service *Service) {
	total := 0
	for _, domain := range slices.Sorted(maps.Keys(rule.Replicas)) {
		field := fmt.Sprintf("replicas[%q]", domain)
		asked := rule.Replicas[domain]
		total += max(asked, 0)
		if s.checker.domains[domain] == nil {
			s.problem(field, fmt.Sprintf("failure domain %q does not exist", domain), "add the failure domain or correct its name")
			continue
		}
		if asked < 0 {
			s.problem(field, fmt.Sprintf("%d replicas cannot be run", asked), "state 0 or more")
		}
		if service == nil {
			continue
		}
		if held := service.hostsIn(domain); asked > held {
			s.problem(field, fmt.Sprintf("%d replicas are asked for, and service %q has %d hosts there", asked, service.Name, held), "ask for fewer or add endpoints")
		}
	}
	if total == 0 {
		s.problem("replicas", "no replica is asked for", "state the replicas of at least one failure domain")
	}
}

func (s *Service) hostsIn(domain core.FailureDomain) int {
	count := 0
	for _, endpoint := range s.Endpoints {
		if endpoint.FailureDomain == domain {
			count++
		}
	}
	return count
}
