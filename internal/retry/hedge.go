package retry

import (
	"math/bits"
	"sync"
	"time"
)

// The policy of hedged requests.
const (
	hedgePercentile = 95
	minHedgeSamples = 50  // hedging starts at this number of samples
	maxHedgeSamples = 500 // at this total, all counts are halved, so that old samples lose weight
	minHedgeDelay   = 20 * time.Millisecond
)

// The histogram has 8 buckets per power of two microseconds.
const (
	subBucketBits = 3
	bucketCount   = 40 << subBucketBits
)

// FirstByteTimes is a histogram of the recent first-byte times of one service. It is safe for concurrent use.
type FirstByteTimes struct {
	mu     sync.Mutex
	counts [bucketCount]int
	total  int
}

// Record adds a first-byte time.
func (f *FirstByteTimes) Record(elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[bucketOf(elapsed)]++
	f.total++
	if f.total >= maxHedgeSamples {
		f.halveCounts()
	}
}

// HedgeDelay returns the delay after which an idempotent request without a first byte may be sent to a second
// endpoint. It is the 95th percentile of the first-byte times, but at least minHedgeDelay. It returns false until
// there are minHedgeSamples samples.
func (f *FirstByteTimes) HedgeDelay() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return HedgeDelay(f.counts[:], f.total)
}

// HedgeDelay returns the delay for hedged requests from a histogram of first-byte times. The counts are by bucket and
// add up to total.
func HedgeDelay(counts []int, total int) (time.Duration, bool) {
	if total < minHedgeSamples {
		return 0, false
	}
	remaining := (total*hedgePercentile + 99) / 100
	for bucket, count := range counts {
		remaining -= count
		if remaining <= 0 {
			return max(minHedgeDelay, upperBound(bucket)), true
		}
	}
	return 0, false
}

// halveCounts halves the count of each bucket, rounding down. The caller holds f.mu.
func (f *FirstByteTimes) halveCounts() {
	f.total = 0
	for i := range f.counts {
		f.counts[i] /= 2
		f.total += f.counts[i]
	}
}

// bucketOf returns the histogram bucket of the time. Times outside the range go to the first or the last bucket.
func bucketOf(elapsed time.Duration) int {
	us := uint64(max(elapsed.Microseconds(), 1<<subBucketBits))
	power := bits.Len64(us) - 1
	subBucket := int(us>>(power-subBucketBits)) & (1<<subBucketBits - 1)
	return min((power-subBucketBits)<<subBucketBits+subBucket, bucketCount-1)
}

// upperBound returns the exclusive upper bound of the bucket.
func upperBound(bucket int) time.Duration {
	power := bucket>>subBucketBits + subBucketBits
	subBucketEnd := bucket&(1<<subBucketBits-1) + 1
	us := int64(1<<subBucketBits+subBucketEnd) << (power - subBucketBits)
	return time.Duration(us) * time.Microsecond
}
