package entry

import "github.com/lovageglade/lovageglade/internal/fault"

// errConfigurationNotFresh refuses while the configuration that the entry holds has not been compared since it started or woke.
func errConfigurationNotFresh() error {
	err := fault.New(fault.NotReady, "this entry has not compared its configuration since it started or stood still", "come back after the time in Retry-After")
	return fault.WithRetryAfter(err, 1)
}
