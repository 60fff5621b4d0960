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
	fineSlots   = 13 // the open one and an hour of closed ones
	coarseWidth = 2 * time.Hour
	coarseSlots = 13 // the open one and a day of closed ones
	maxSeries   = 384

	// MaxWindow is the longest window that is kept.
	MaxWindow = (coarseSlots - 1) * coarseWidth
)

// OtherWorkspaces is the workspace of what exceeds the number of series that an entry keeps.
const OtherWorkspaces core.Workspace = "(others)"

// Recorder keeps the sums of one entry in a bounded number of series, each with a bounded number of slots. Times are
// durations since the process started.
type Recorder struct {
	mu     sync.Mutex
	series map[Key]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{series: make(map[Key]*series)} }

// Record adds a request that ended now.
func (r *Recorder) Record(now time.Duration, key Key, observation Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreateSeries(key).updateCurrentSlots(now, func(stats *Sum) {
		stats.Total++
		if observation.Bad {
			stats.Bad++
		}
		if observation.FirstToken > 0 {
			stats.record(FirstToken, observation.FirstToken.Milliseconds())
		}
		for _, gap := range observation.Between {
			stats.record(BetweenTokens, gap.Milliseconds())
		}
	})
}

// RecordReplicas adds a version that reached its replicas now.
func (r *Recorder) RecordReplicas(now time.Duration, service core.Service, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreateSeries(Key{Service: service}).updateCurrentSlots(now, func(stats *Sum) { stats.record(MeasureTimeToReplicas, int64(elapsed.Seconds())) })
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

// Windows returns every series' sums over the windows that end now. Pending versions, which have not reached their
// replicas, count with their age.
func (r *Recorder) Windows(now time.Duration, request WindowsRequest, pending map[core.Service]time.Duration) WindowsAnswer {
	answer := WindowsAnswer{Series: []SeriesAnswer{}}
	for _, seconds := range request.WindowsS {
		answer.CoveredS = append(answer.CoveredS, min(now, clampWindow(seconds)).Seconds())
	}
	for _, key := range r.sortedKeys(pending) {
		series := SeriesAnswer{Key: key}
		for _, seconds := range request.WindowsS {
			stats := r.windowStats(now, key, clampWindow(seconds))
			if age, isPending := pending[key.Service]; isPending && key.Workspace == "" {
				stats.record(MeasureTimeToReplicas, int64(age.Seconds()))
			}
			series.Windows = append(series.Windows, stats.encode())
		}
		answer.Series = append(answer.Series, series)
	}
	return answer
}

// clampWindow bounds what is asked for to what is kept.
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

// windowStats holds the lock for one series at a time, so that requests that end meanwhile wait little.
func (r *Recorder) windowStats(now time.Duration, key Key, window time.Duration) *Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stats Sum
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

// Size returns the number of series and the bytes that their sums take.
func (r *Recorder) Size() (count, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, recorded := range r.series {
		bytes += recorded.fine.bytes() + recorded.coarse.bytes()
	}
	return len(r.series), bytes
}

// series holds the slots of one key: short ones for the last hour and long ones for the last day.
type series struct {
	fine, coarse *tier
}

// updateCurrentSlots applies the update to the open slot of both tiers.
func (s *series) updateCurrentSlots(now time.Duration, update func(*Sum)) {
	update(s.fine.currentSlot(now))
	update(s.coarse.currentSlot(now))
}

// tier is a ring of slots of one width.
type tier struct {
	width       time.Duration
	slotNumbers []int64 // by index: the slot's number since the start, from 1; 0 for an unused index
	slots       []*Sum
}

func newTier(width time.Duration, count int) *tier {
	return &tier{width: width, slotNumbers: make([]int64, count), slots: make([]*Sum, count)}
}

func (t *tier) slotNumber(now time.Duration) int64 { return int64(now/t.width) + 1 }

func (t *tier) currentSlot(now time.Duration) *Sum {
	number := t.slotNumber(now)
	index := number % int64(len(t.slots))
	if t.slotNumbers[index] != number {
		t.slotNumbers[index] = number
		t.slots[index] = &Sum{}
	}
	return t.slots[index]
}

// mergeInto merges the slots that reach into the last window of time. The oldest of them may begin earlier.
func (t *tier) mergeInto(stats *Sum, now, window time.Duration) {
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
