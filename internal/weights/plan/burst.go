package plan

import "time"

// BurstLimits returns limits for weights of a few megabytes that have to reach about a hundred hosts within seconds. Each
// chunk is fetched from the origin once, hosts request it before it is announced, and stalled peers are bypassed quickly.
func BurstLimits() Limits {
	limits := DefaultLimits()
	limits.MaxDownloads = 24
	limits.MaxDownloadsPerPeer = 1
	limits.MaxUploads = 4
	limits.MaxUploadCopies = 8
	limits.MaxUploadsPerChunk = 64
	limits.OriginFetchersPerRegion = wordBits // as many as can be passed over when they stall
	limits.ControlBytesPerS = 20_000
	limits.JoinTimeout = 500 * time.Millisecond
	limits.TakeoverTimeout = 1500 * time.Millisecond
	limits.RotationTimeout = 8 * time.Second
	limits.OriginFallbackTimeout = 3 * time.Second
	limits.MinPeerTimeout = 2500 * time.Millisecond
	limits.MinOriginTimeout = 2 * time.Second
	limits.MaxOriginDownloads = 1
	limits.OriginBackoff = 200 * time.Millisecond
	limits.MaxOriginBackoff = 400 * time.Millisecond
	limits.BusyBackoff = 100 * time.Millisecond
	limits.MaxBusyBackoff = 200 * time.Millisecond
	limits.MissingBackoff = 100 * time.Millisecond
	limits.QuarantinePeriod = 4 * time.Second
	limits.SingleOriginFetch = true
	limits.RequestUnannounced = true
	limits.MaxUploadWait = 800 * time.Millisecond
	return limits
}
