package follow

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// minRequestShift is the change of a version's request time that is worth a new view. Conversions between clocks differ by less.
const minRequestShift = 10 * time.Millisecond

// minRequestNotice is the change of a version's request time that ends the waits of followers. Smaller ones arrive with their next read.
const minRequestNotice = 100 * time.Millisecond

// RolloutAge is a requested model version with its age when a response left its sender.
type RolloutAge struct {
	Version int64
	Age     time.Duration         // upper bound of the time since the request
	SeenAge time.Duration         // time since a process had read it
	Source  catalog.RolloutSource `json:",omitempty"`
}

// rolloutsBetween converts ages of a response that left its sender between the two boot clock times.
func rolloutsBetween(earliest, latest time.Duration, ages map[core.Model][]RolloutAge, source catalog.RolloutSource) map[core.Model]catalog.Rollouts {
	converted := make(map[core.Model]catalog.Rollouts, len(ages))
	for model, list := range ages {
		for _, rollout := range list {
			stated := rollout.Source
			if source != "" && stated != catalog.RolloutUnknown {
				stated = source
			}
			requestedAt := earliest - rollout.Age
			if !(catalog.Rollout{RequestedAt: requestedAt}).IsKnown() {
				requestedAt = -catalog.UnknownAge // the same at each read
			}
			converted[model] = converted[model].With(catalog.Rollout{Version: rollout.Version, RequestedAt: requestedAt, SeenAt: latest - rollout.SeenAge, Source: stated})
		}
	}
	return converted
}

// rolloutAges is the opposite of rolloutsBetween for a response that leaves now.
func rolloutAges(rollouts catalog.Rollouts, now time.Duration) []RolloutAge {
	ages := make([]RolloutAge, 0, len(rollouts))
	for _, rollout := range rollouts {
		age := catalog.UnknownAge
		if rollout.IsKnown() {
			age = now - rollout.RequestedAt
		}
		ages = append(ages, RolloutAge{Version: rollout.Version, Age: age, SeenAge: now - rollout.SeenAt, Source: rollout.Source})
	}
	return ages
}

// withRollouts returns the read with the request times that its changes state. The response left the store between the two
// boot clock times.
func (r operatorRead) withRollouts(earliest, latest time.Duration, source catalog.RolloutSource) operatorRead {
	r.rollouts = rolloutsBetween(earliest, latest, r.changes.Rollouts, source)
	return r
}

// extend returns the known rollouts of the model with what the read states of them. A source that states no request times, as
// in earlier releases, has read a version just after its request.
func (r operatorRead) extend(model core.Model, known catalog.Rollouts) catalog.Rollouts {
	for _, rollout := range r.rollouts[model] {
		known = known.With(rollout)
	}
	if version := r.changes.Wanted[model]; version > known.Newest() {
		source := catalog.RolloutOwnRead
		if r.requestedTimes != nil {
			source = catalog.RolloutDelegate
		}
		requested := r.requestedAt(model)
		known = known.With(catalog.Rollout{Version: version, RequestedAt: requested, SeenAt: requested + catalog.UnknownAge, Source: source})
	}
	return known
}

// models returns the models of which the read states something.
func (r operatorRead) models() map[core.Model]bool {
	models := make(map[core.Model]bool, len(r.changes.Wanted)+len(r.rollouts))
	for model := range r.changes.Wanted {
		models[model] = true
	}
	for model := range r.rollouts {
		models[model] = true
	}
	return models
}

// applyRollouts applies what the read states of requested versions, and reports whether it changed the view.
func (s *state) applyRollouts(event operatorRead) bool {
	changed := false
	for model := range event.models() {
		before := s.wanted[model]
		next := event.extend(model, before)
		s.wanted[model] = next
		for _, rollout := range next {
			known, found := before.Find(rollout.Version)
			shift := rollout.RequestedAt - known.RequestedAt
			if found && shift.Abs() < minRequestShift {
				continue
			}
			changed = true
			effect := logOperatorChange{change: "model version wanted", name: string(model), version: rollout.Version, since: rollout.RequestedAt, source: rollout.Source}
			if found {
				effect.change = "request time of model version"
			}
			s.emit(effect)
		}
	}
	return changed
}

// addRollouts is the same for a delegate's copy. It reports whether waiting followers have to learn of it. The caller must hold m.mu.
func (m *mirror) addRollouts(read operatorRead) (refined bool) {
	for model := range read.models() {
		before := m.rollouts[model]
		m.rollouts[model] = read.extend(model, before)
		for _, rollout := range m.rollouts[model] {
			known, found := before.Find(rollout.Version)
			if shift := rollout.RequestedAt - known.RequestedAt; !found || shift.Abs() >= minRequestNotice {
				refined = true
			}
		}
	}
	if refined {
		m.refinements++
	}
	return refined
}

// refinementCount returns m.refinements.
func (m *mirror) refinementCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refinements
}

// rolloutAges returns all requested versions with their ages. Followers that have been away need the versions in between.
func (m *mirror) rolloutAges(now time.Duration) map[core.Model][]RolloutAge {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[core.Model][]RolloutAge, len(m.rollouts))
	for model, rollouts := range m.rollouts {
		ages[model] = rolloutAges(rollouts, now)
	}
	return ages
}

// leftStoreAt returns the earliest boot clock time at which the response can have left the store.
func (c *storeClock) leftStoreAt(sent, received, storeTime time.Duration) time.Duration {
	if storeTime == 0 {
		return sent
	}
	c.observe(sent, storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(sent, min(received, storeTime+c.offset))
}

// requestedBefore returns how long ago the version was requested at the latest; 0 if that is unknown.
func requestedBefore(since time.Duration) time.Duration {
	if !(catalog.Rollout{RequestedAt: since}).IsKnown() {
		return 0
	}
	return bootclock.Now() - since
}
