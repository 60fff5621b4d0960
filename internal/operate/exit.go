package operate

import (
	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Exit codes of lovagectl, besides 0 for success and those for an invalid command line.
const (
	ExitFailed              = 1 // any other error
	ExitInvalidConfig       = 3 // the configuration or the settings are invalid; nothing was published
	ExitConflict            = 4 // another publication was accepted instead; nothing was published
	ExitUnconfirmed         = 5 // the timeout passed before every host confirmed
	ExitBurnRate            = 6 // a burn rate is above the threshold
	ExitPlatformUnavailable = 7 // the platform did not respond
	ExitNotFound            = 8 // the named object does not exist
)

// ExitCode returns the exit code of a command that returned the error.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	for _, entry := range exitCodes {
		if fault.Is(err, entry.kind) {
			return entry.code
		}
	}
	return ExitFailed
}

var exitCodes = []struct {
	kind *errorx.Type
	code int
}{
	{fault.BadConfig, ExitInvalidConfig},
	{fault.BadSettings, ExitInvalidConfig},
	{fault.Conflict, ExitConflict},
	{fault.DeadlinePassed, ExitUnconfirmed},
	{fault.ObjectiveBurning, ExitBurnRate},
	{fault.PlatformUnavailable, ExitPlatformUnavailable},
	{fault.NotFound, ExitNotFound},
}
