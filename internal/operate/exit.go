package operate

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// The exit codes of lovagectl, besides 0 for success and those of a wrong command line.
const (
	ExitFailed      = 1 // an error of another kind
	ExitWrongConfig = 3 // the configuration or the settings are wrong; nothing was published
	ExitLostRace    = 4 // another publication was accepted; nothing of this one was
	ExitUnconfirmed = 5 // the time passed before every host had confirmed
	ExitBurning     = 6 // a burn rate is above the threshold
	ExitPlatform    = 7 // the platform gave no answer
	ExitNotFound    = 8 // what was named does not exist
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
	{fault.BadConfig, ExitWrongConfig},
	{fault.BadSettings, ExitWrongConfig},
	{fault.Conflict, ExitLostRace},
	{fault.Expired, ExitUnconfirmed},
	{fault.Burning, ExitBurning},
	{fault.PlatformDown, ExitPlatform},
	{fault.NotFound, ExitNotFound},
}

// Explain renders the error for an operator: each message with its remedy on a line of its own, causes below.
func Explain(err error) string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var lines []string
		for _, part := range joined.Unwrap() {
			lines = append(lines, Explain(part))
		}
		return strings.Join(lines, "\n")
	}
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	return typed.Message() + "\n" + Explain(typed.Cause())
}
