package quarantine

import (
	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

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
