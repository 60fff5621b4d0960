package routing

import "math/bits"

// The streams of the independent pseudo-random numbers of one pick.
const (
	firstChoiceStream uint64 = iota + 1
	secondChoiceStream
	searchStream
)

// randomIndex returns a pseudo-random number in [0, n). It depends on the seed and the stream only.
func randomIndex(seed, stream uint64, n int) int {
	high, _ := bits.Mul64(mix(seed+stream*goldenGamma), uint64(n))
	return int(high)
}

const goldenGamma = 0x9e3779b97f4a7c15 // increment of SplitMix64: 2^64 divided by the golden ratio

// mix is the finalizer of SplitMix64: each bit of x affects about half of the bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
