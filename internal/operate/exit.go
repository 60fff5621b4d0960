package operate

import (
	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// The exit codes of lovagectl, besides 0 for success and those of a wrong command line.
const (
	ExitFailed        = 1 // an error of another kind
	ExitInvalidConfig = 3 // the configuration or the settings are wrong; nothing was published
	ExitConflict      = 4 // another publication was accepted; nothing of this one was
	ExitUnconfirmed   = 5 // the time passed before every host had confirmed
	ExitBurnRate      = 6 // a burn rate is above the threshold
	ExitPlatformDown  = 7 // the platform gave no answer
	ExitNotFound      = 8 // what was named does not exist
)

// ExitCode returns the exit code of a command that ended with the error.
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
	{fault.Expired, ExitUnconfirmed},
	{fault.Burning, ExitBurnRate},
	{fault.PlatformDown, ExitPlatformDown},
	{fault.NotFound, ExitNotFound},
}
