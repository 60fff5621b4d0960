package sidecar

import (
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// reportVersions publishes how far the engine is behind the requested version, and logs once when the version that it has loaded is
// closed for new requests because its time is over.
func (u *updater) reportVersions(rollouts catalog.Rollouts, loaded int64, closed bool) {
	behind := time.Duration(0)
	now := bootclock.Now()
	since, replaced := rollouts.Deadline(loaded, 0)
	if replaced {
		behind = now - since
	}
	telemetry.EngineVersions(loaded, max(initialVersion, rollouts.Newest()), behind)
	if !closed || loaded == 0 {
		u.closedVersion = 0
		return
	}
	if u.closedVersion != loaded {
		u.closedVersion = loaded
		entry := u.sidecar.logger.Warn().Str("model", string(u.model)).Int64("version", loaded).Int64("requested", rollouts.Newest())
		if since > -catalog.UnknownAge/2 {
			entry.Dur("requested_before", behind).Dur("version_left", u.sidecar.serveTimeLeft())
		}
		entry.Msg("engine closed until it has a newer version")
	}
}

// versionRefusal returns why the engine does not serve the version that a request needs, for the metrics.
func (s *Sidecar) versionRefusal() string {
	switch deadline := s.serveDeadline.Load(); {
	case deadline != 0 && int64(bootclock.Now()) >= deadline:
		return "time of the version is over"
	case s.servingVersion.Load() == 0:
		return "no version is served"
	}
	return "a newer version is required"
}

// addVersionFields adds to the log entry which version the gateway required, which one this process believed loaded and how long that
// one might still begin requests, and which one the engine says that it answered with.
func (a *admittedCall) addVersionFields(entry *log.Entry) *log.Entry {
	if a.minVersion > 0 {
		entry.Int64("min_version", a.minVersion)
	}
	if a.answerVersion > 0 {
		entry.Int64("answered_version", a.answerVersion)
	}
	return entry.Int64("version", a.version).Dur("version_left", a.versionLeft)
}
