package config

import (
	"errors"
	"fmt"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Check reports everything that is wrong with the set, in one joined error. Each part names the object, the field
// and the remedy.
func Check(set Set) error {
	c := checker{set: set}
	c.checkServices()
	c.checkRules()
	return errors.Join(c.problems...)
}

type checker struct {
	set      Set
	problems []error
}

func (c *checker) report(object, field, wrong, remedy string) {
	message := fmt.Sprintf("%s: %s: %s", object, field, wrong)
	c.problems = append(c.problems, fault.New(fault.BadConfig, message, remedy))
}

func (c *checker) checkServices() {
	domains := indexBy(c.set.FailureDomains, func(item *FailureDomain) core.FailureDomain { return item.Name })
	for _, service := range c.set.Services {
		object := fmt.Sprintf("service %q", service.Name)
		if service.Kind != KindModel && service.Kind != KindPlain {
			c.report(object, "kind", fmt.Sprintf("%q is no kind", service.Kind), "use model or plain")
		}
		if service.Limits.Max < 1 || service.Limits.Cold < 1 || service.Limits.Cold > service.Limits.Max {
			c.report(object, "limits", "cold and max must be at least 1 and cold at most max", "state what a cold and a warm endpoint bear")
		}
		for _, endpoint := range service.Endpoints {
			if domains[endpoint.FailureDomain] == nil {
				c.report(object, "endpoints", fmt.Sprintf("failure domain %q does not exist", endpoint.FailureDomain), "add the failure domain or correct its name")
			}
		}
	}
}

func (c *checker) checkRules() {
	services := indexBy(c.set.Services, func(item *Service) core.Service { return item.Name })
	versions := indexBy(c.set.Versions, func(item *Version) string { return item.Name })
	for _, rule := range c.set.Rules {
		object := fmt.Sprintf("rule %q", rule.Name)
		if services[rule.Service] == nil {
			c.report(object, "service", fmt.Sprintf("service %q does not exist", rule.Service), "add the service or correct its name")
		}
		if versions[rule.Version] == nil {
			c.report(object, "version", fmt.Sprintf("version %q does not exist", rule.Version), "add the version or correct its name")
		}
	}
}
