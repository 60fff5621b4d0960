package retry

import (
	"math/bits"
	"sync"
	"time"
)

// The hedge policy.
const (
	hedgePercentile = 95
	minHedgeSamples = 50  // first-byte times until a hedge is allowed
	maxHedgeSamples = 500 // at which all counts are halved, so that old times fade
	minHedgeDelay   = 20 * time.Millisecond
)

// Each power of two in microseconds holds 8 buckets.
const (
	subBucketBits = 3
	bucketCount   = 40 << subBucketBits
)

// FirstBytes keeps the recent first-byte times of one service. It is safe for concurrent use.
type FirstBytes struct {
	mu     sync.Mutex
	counts [bucketCount]int
	total  int
}

// Record counts a first-byte time.
func (f *FirstBytes) Record(elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[bucketOf(elapsed)]++
	f.total++
	if f.total >= maxHedgeSamples {
		f.halveCounts()
	}
}

// HedgeDelay returns the time after which an idempotent request without a first byte may be sent to a second endpoint:
// the service's 95th percentile. It returns false while too few times are known.
func (f *FirstBytes) HedgeDelay() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return HedgeDelay(f.counts[:], f.total)
}

// HedgeDelay is the policy of FirstBytes on counts by bucket.
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

func (f *FirstBytes) halveCounts() {
	f.total = 0
	for i := range f.counts {
		f.counts[i] /= 2
		f.total += f.counts[i]
	}
}

func bucketOf(elapsed time.Duration) int {
	us := uint64(max(elapsed.Microseconds(), 1<<subBucketBits))
	power := bits.Len64(us) - 1
	subBucket := int(us>>(power-subBucketBits)) & (1<<subBucketBits - 1)
	return min((power-subBucketBits)<<subBucketBits+subBucket, bucketCount-1)
}

// upperBound returns the least time that lies above the bucket.
func upperBound(bucket int) time.Duration {
	power := bucket>>subBucketBits + subBucketBits
	subBucketEnd := bucket&(1<<subBucketBits-1) + 1
	us := int64(1<<subBucketBits+subBucketEnd) << (power - subBucketBits)
	return time.Duration(us) * time.Microsecond
}
