package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/placement"
)

// addVersionFields adds to the log entry which version of its model the attempt required and since when, which one answered it, and
// how long that one might still begin requests when the call was sent.
func (f *forwarder) addVersionFields(entry *log.Entry, a *attempt) *log.Entry {
	if a == nil || !f.route.Generates {
		return entry
	}
	if required := a.query.MinVersion; required > 0 {
		entry.Int64("min_version", required)
		if rollout, found := a.rollouts.Find(required); found {
			entry.Str("min_version_source", string(rollout.Source))
			if rollout.IsKnown() {
				entry.Dur("min_version_requested_before", a.pickedAt-rollout.RequestedAt)
			}
		}
	}
	if listed, ok := a.endpoint.Serves(a.query.Model); ok {
		entry.Int64("listed_version", listed)
	}
	if a.bypasses.Load() {
		entry.Bool("past_sidecar", true)
	}
	version := a.info.Version
	if version == 0 {
		return entry
	}
	entry.Int64("version", version)
	if deadline, replaced := a.rollouts.Deadline(version, f.g.settings.VersionRolloutMs.Duration()); replaced && deadline > -catalog.UnknownAge/2 {
		entry.Dur("version_left", deadline-time.Duration(a.sentAt.Load()))
	}
	return entry
}

// lastAttempt returns the attempt that began last; nil if the call was sent nowhere.
func (f *forwarder) lastAttempt() *attempt {
	if len(f.attempts) == 0 {
		return nil
	}
	return f.attempts[len(f.attempts)-1]
}

// logRequiredVersion logs, once for each version, that the model's requests need the version from now on, and how many of the
// service's endpoints are known to be behind it.
func (g *Gateway) logRequiredVersion(view *catalog.View, service core.Service, query placement.Query) {
	if query.MinVersion == 0 {
		return
	}
	if known, ok := g.requiredVersions.Load(query.Model); ok && known.(int64) >= query.MinVersion {
		return
	}
	if known, ok := g.requiredVersions.Swap(query.Model, query.MinVersion); ok && known.(int64) >= query.MinVersion {
		g.requiredVersions.Store(query.Model, known) // another request was faster
		return
	}
	endpoints, behind := view.AvailableEndpoints(service), 0
	for _, endpoint := range endpoints {
		if !placement.ShowsVersion(endpoint, query) {
			behind++
		}
	}
	entry := g.logger.Info().Str("model", string(query.Model)).Int64("version", query.MinVersion)
	if rollout, found := view.Rollouts[query.Model].Find(query.MinVersion); found {
		entry.Str("source", string(rollout.Source))
		if rollout.IsKnown() {
			entry.Dur("requested_before", bootclock.Now()-rollout.RequestedAt)
		}
	}
	entry.Int("endpoints", len(endpoints)).Int("endpoints_behind", behind).Msg("older model versions begin no more requests")
}
