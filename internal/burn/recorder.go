package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	fineWidth   = 5 * time.Minute
	fineSlots   = 13 // the current slot and one hour of completed slots
	coarseWidth = 2 * time.Hour
	coarseSlots = 13 // the current slot and one day of completed slots
	maxSeries   = 384

	// MaxWindow is the longest window that a recorder covers.
	MaxWindow = (coarseSlots - 1) * coarseWidth
)

// OtherWorkspaces is the workspace under which further series are recorded once an entry has maxSeries series.
const OtherWorkspaces core.Workspace = "(others)"

// Recorder records the statistics of one entry. The number of series is bounded, and so is the number of time slots in
// each. All times are durations since the process started. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{series: make(map[Key]*series)} }

// Record adds a request that ended at time now.
func (r *Recorder) Record(now time.Duration, key Key, observation Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreateSeries(key).updateCurrentSlots(now, func(stats *Stats) {
		stats.Total++
		if observation.Bad {
			stats.Bad++
		}
		if observation.FirstToken > 0 {
			stats.record(MeasureFirstToken, observation.FirstToken.Milliseconds())
		}
		for _, gap := range observation.TokenGaps {
			stats.record(MeasureBetweenTokens, gap.Milliseconds())
		}
	})
}

// RecordReplicas adds a version of the service that all replicas serve at time now, after the elapsed time.
func (r *Recorder) RecordReplicas(now time.Duration, service core.Service, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreateSeries(Key{Service: service}).updateCurrentSlots(now, func(stats *Stats) { stats.record(MeasureTimeToReplicas, int64(elapsed.Seconds())) })
}

func (r *Recorder) getOrCreateSeries(key Key) *series {
	if r.series[key] == nil && len(r.series) >= maxSeries {
		key.Workspace = OtherWorkspaces
	}
	if r.series[key] == nil {
		r.series[key] = &series{fine: newTier(fineWidth, fineSlots), coarse: newTier(coarseWidth, coarseSlots)}
	}
	return r.series[key]
}

// Windows returns the statistics of each series over the requested windows, which end at time now. Pending holds the
// age of the version of each service whose replicas do not all serve it yet. Each counts as a recorded value, so that a
// rollout that never completes also misses the objective.
func (r *Recorder) Windows(now time.Duration, request WindowsRequest, pending map[core.Service]time.Duration) WindowsResponse {
	response := WindowsResponse{Series: []SeriesStats{}}
	for _, seconds := range request.WindowsS {
		response.CoveredS = append(response.CoveredS, min(now, clampWindow(seconds)).Seconds())
	}
	for _, key := range r.sortedKeys(pending) {
		series := SeriesStats{Key: key}
		for _, seconds := range request.WindowsS {
			stats := r.windowStats(now, key, clampWindow(seconds))
			if age, isPending := pending[key.Service]; isPending && key.Workspace == "" {
				stats.record(MeasureTimeToReplicas, int64(age.Seconds()))
			}
			series.Windows = append(series.Windows, stats.encode())
		}
		response.Series = append(response.Series, series)
	}
	return response
}

// clampWindow converts the requested seconds to a duration between 0 and MaxWindow.
func clampWindow(seconds int64) time.Duration {
	longest := int64(MaxWindow / time.Second)
	return time.Duration(min(max(seconds, 0), longest)) * time.Second
}

func (r *Recorder) sortedKeys(pending map[core.Service]time.Duration) []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]Key, 0, len(r.series)+len(pending))
	for key := range r.series {
		keys = append(keys, key)
	}
	for service := range pending {
		if key := (Key{Service: service}); r.series[key] == nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
}

// windowStats returns the statistics of one series over the window that ends at time now. It locks the recorder for one
// series at a time, so that Record is not blocked while a whole response is built.
func (r *Recorder) windowStats(now time.Duration, key Key, window time.Duration) *Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stats Stats
	recorded := r.series[key]
	if recorded == nil {
		return &stats
	}
	tier := recorded.fine
	if window > fineWidth*(fineSlots-1) {
		tier = recorded.coarse
	}
	tier.mergeInto(&stats, now, window)
	return &stats
}

// Size returns the number of series and the bytes of memory that their statistics use.
func (r *Recorder) Size() (count, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, recorded := range r.series {
		bytes += recorded.fine.bytes() + recorded.coarse.bytes()
	}
	return len(r.series), bytes
}

// series holds the statistics of one key in two tiers: short slots for the last hour and long slots for the last day.
type series struct {
	fine, coarse *tier
}

// updateCurrentSlots applies the update to the current slot of both tiers.
func (s *series) updateCurrentSlots(now time.Duration, update func(*Stats)) {
	update(s.fine.currentSlot(now))
	update(s.coarse.currentSlot(now))
}

// tier is a ring buffer of time slots of the same width.
type tier struct {
	width       time.Duration
	slotNumbers []int64 // number of the time slot stored at each index, counted from 1 at the start; 0 if unused
	slots       []*Stats
}

func newTier(width time.Duration, count int) *tier {
	return &tier{width: width, slotNumbers: make([]int64, count), slots: make([]*Stats, count)}
}

func (t *tier) slotNumber(now time.Duration) int64 { return int64(now/t.width) + 1 }

func (t *tier) currentSlot(now time.Duration) *Stats {
	number := t.slotNumber(now)
	index := number % int64(len(t.slots))
	if t.slotNumbers[index] != number {
		t.slotNumbers[index] = number
		t.slots[index] = &Stats{}
	}
	return t.slots[index]
}

// mergeInto merges the slots that overlap the window ending at time now. The oldest slot may begin before the window.
func (t *tier) mergeInto(stats *Stats, now, window time.Duration) {
	newest := t.slotNumber(now)
	oldest := t.slotNumber(max(now-window, 0))
	for index, number := range t.slotNumbers {
		if number >= oldest && number <= newest && number > 0 {
			stats.Merge(t.slots[index])
		}
	}
}

func (t *tier) bytes() int {
	total := 0
	for _, stats := range t.slots {
		if stats != nil {
			total += stats.bytes()
		}
	}
	return total
}
