package quarantine

import (
	"slices"
	"strconv"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// PartNames returns the parts as strings.
func PartNames(parts []core.PromptPart) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, string(part))
	}
	return names
}

// maxLoggedParts bounds the parts of one request in a log line.
const maxLoggedParts = 16

// LoggedParts returns the parts of a request for a log line. Of many, the ones in the middle are left out.
func LoggedParts(parts []core.PromptPart) []string {
	names := PartNames(parts)
	if len(names) <= maxLoggedParts {
		return names
	}
	const half = maxLoggedParts / 2
	omitted := strconv.Itoa(len(names)-maxLoggedParts) + " more"
	return slices.Concat(names[:half], []string{omitted}, names[len(names)-half:])
}

// AddSuspects adds the suspects of a crash and their parts to the log entry.
func AddSuspects(entry *log.Entry, suspects []Suspect) *log.Entry {
	var requests, parts []string
	for _, suspect := range suspects {
		requests = append(requests, string(suspect.Request))
		parts = append(parts, LoggedParts(suspect.Parts)...)
	}
	return entry.Strs("just_begun", requests).Strs("prompt_parts", parts)
}

// LogVerdicts returns a function for Ledger.OnVerdict that logs and counts verdicts.
func LogVerdicts(logger *log.Logger) func(part core.PromptPart, quarantined bool, crashes int) {
	return func(part core.PromptPart, quarantined bool, crashes int) {
		telemetry.PromptQuarantined(quarantined)
		if quarantined {
			logger.Warn().Str("part", string(part)).Int("crashes", crashes).Msg("prompt part quarantined")
			return
		}
		logger.Info().Str("part", string(part)).Msg("quarantine of a prompt part ended")
	}
}
