package admission

import "slices"

// recentStartsCount is the number of starts over which the shares of the ranks are measured. At an engine with a dozen slots it
// is some seconds of them.
const recentStartsCount = 32

// recentStarts holds the ranks of the last starts.
type recentStarts struct {
	ranks [recentStartsCount]int
	count int // of all starts
}

func (r *recentStarts) record(rank int) {
	r.ranks[r.count%recentStartsCount] = rank
	r.count++
}

// moreUrgentShare returns the share of the last starts whose rank was more urgent.
func (r *recentStarts) moreUrgentShare(rank int) float64 {
	held := min(r.count, recentStartsCount)
	if held == 0 {
		return 0
	}
	moreUrgent := 0
	for _, other := range r.ranks[:held] {
		if other < rank {
			moreUrgent++
		}
	}
	return float64(moreUrgent) / float64(held)
}

// isLeastUrgent reports whether the last starts include more urgent ranks and no less urgent one.
func (r *recentStarts) isLeastUrgent(rank int) bool {
	held := r.ranks[:min(r.count, recentStartsCount)]
	return len(held) > 0 && slices.Max(held) <= rank && slices.Min(held) < rank
}
