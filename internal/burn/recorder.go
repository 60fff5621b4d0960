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

	// Longest is the longest window that is kept.
	Longest = (coarseSlots - 1) * coarseWidth
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
func (r *Recorder) Record(now time.Duration, key Key, seen Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesOf(key).each(now, func(sum *Sum) {
		sum.Total++
		if seen.Bad {
			sum.Bad++
		}
		if seen.FirstToken > 0 {
			sum.add(FirstToken, seen.FirstToken.Milliseconds())
		}
		for _, gap := range seen.Between {
			sum.add(BetweenTokens, gap.Milliseconds())
		}
	})
}

// RecordReplicas adds a version that reached its replicas now.
func (r *Recorder) RecordReplicas(now time.Duration, service core.Service, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesOf(Key{Service: service}).each(now, func(sum *Sum) { sum.add(Replicas, int64(took.Seconds())) })
}

func (r *Recorder) seriesOf(key Key) *series {
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
		answer.CoveredS = append(answer.CoveredS, min(now, window(seconds)).Seconds())
	}
	for _, key := range r.keys(pending) {
		series := SeriesAnswer{Key: key}
		for _, seconds := range request.WindowsS {
			sum := r.sum(now, key, window(seconds))
			if age, waits := pending[key.Service]; waits && key.Workspace == "" {
				sum.add(Replicas, int64(age.Seconds()))
			}
			series.Windows = append(series.Windows, sum.encode())
		}
		answer.Series = append(answer.Series, series)
	}
	return answer
}

// window bounds what is asked for to what is kept.
func window(seconds int64) time.Duration {
	longest := int64(Longest / time.Second)
	return time.Duration(min(max(seconds, 0), longest)) * time.Second
}

func (r *Recorder) keys(pending map[core.Service]time.Duration) []Key {
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

// sum holds the lock for one series at a time, so that requests that end meanwhile wait little.
func (r *Recorder) sum(now time.Duration, key Key, length time.Duration) *Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Sum
	kept := r.series[key]
	if kept == nil {
		return &sum
	}
	tier := kept.fine
	if length > fineWidth*(fineSlots-1) {
		tier = kept.coarse
	}
	tier.sumInto(&sum, now, length)
	return &sum
}

// Size returns the number of series and the bytes that their sums take.
func (r *Recorder) Size() (count, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kept := range r.series {
		bytes += kept.fine.bytes() + kept.coarse.bytes()
	}
	return len(r.series), bytes
}

// series holds the slots of one key: short ones for the last hour and long ones for the last day.
type series struct {
	fine, coarse *tier
}

// each applies the change to the open slot of both tiers.
func (s *series) each(now time.Duration, change func(*Sum)) {
	change(s.fine.open(now))
	change(s.coarse.open(now))
}

// tier is a ring of slots of one width.
type tier struct {
	width   time.Duration
	numbers []int64 // by place: the slot's number since the start, from 1; 0 for an unused place
	sums    []*Sum
}

func newTier(width time.Duration, slots int) *tier {
	return &tier{width: width, numbers: make([]int64, slots), sums: make([]*Sum, slots)}
}

func (t *tier) number(now time.Duration) int64 { return int64(now/t.width) + 1 }

func (t *tier) open(now time.Duration) *Sum {
	number := t.number(now)
	place := number % int64(len(t.sums))
	if t.numbers[place] != number {
		t.numbers[place] = number
		t.sums[place] = &Sum{}
	}
	return t.sums[place]
}

// sumInto merges the slots that reach into the last length of time. The oldest of them may begin earlier.
func (t *tier) sumInto(sum *Sum, now, length time.Duration) {
	last := t.number(now)
	first := t.number(max(now-length, 0))
	for place, number := range t.numbers {
		if number >= first && number <= last && number > 0 {
			sum.Merge(t.sums[place])
		}
	}
}

func (t *tier) bytes() int {
	total := 0
	for _, sum := range t.sums {
		if sum != nil {
			total += sum.bytes()
		}
	}
	return total
}
