package entry

import "github.com/lovageglade/lovageglade/internal/fault"

// errConfigurationNotFresh returns the refusal of requests while this entry has not checked its configuration with
// other nodes since it started or resumed after a suspension.
func errConfigurationNotFresh() error {
	err := fault.New(fault.NotReady, "this entry has not checked its configuration with other nodes since it started or resumed", "retry after the time in Retry-After")
	return fault.WithRetryAfter(err, 1)
}
