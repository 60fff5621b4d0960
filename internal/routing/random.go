package routing

import "math/bits"

// The independent draws of one pick.
const (
	firstChoiceStream uint64 = iota + 1
	secondChoiceStream
	searchStream
)

// randomIndex returns a number from 0 to n-1 that depends on the seed and the stream alone.
func randomIndex(seed, stream uint64, n int) int {
	high, _ := bits.Mul64(mix(seed+stream*goldenGamma), uint64(n))
	return int(high)
}

const goldenGamma = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio

// mix is the finalizer of SplitMix64: every bit of x changes about half of the result's bits.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
