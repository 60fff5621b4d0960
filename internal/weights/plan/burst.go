package plan

import "time"

// BurstLimits fit weights of a few megabytes that have to run on some hundred hosts within seconds: each chunk leaves the
// origin once, hosts ask for it before it is announced, and a peer that stalls is passed over within the bound.
func BurstLimits() Limits {
	limits := DefaultLimits()
	limits.MaxDownloads = 12
	limits.MaxDownloadsPerPeer = 1
	limits.MaxUploads = 32
	limits.MaxUploadCopies = 8
	limits.MaxUploadsPerChunk = 64
	limits.GatewaysPerRegion = 0 // every host of a region
	limits.ControlBytesPerS = 20_000
	limits.JoinTimeout = 500 * time.Millisecond
	limits.TakeoverTimeout = 1500 * time.Millisecond
	limits.OriginFallbackTimeout = 3 * time.Second
	limits.MinPeerTimeout = 2500 * time.Millisecond
	limits.MinOriginTimeout = 2 * time.Second
	limits.MaxOriginDownloads = 1
	limits.OriginBackoff = 200 * time.Millisecond
	limits.MissingBackoff = 100 * time.Millisecond
	limits.QuarantinePeriod = 2 * time.Second
	limits.SingleOriginFetch = true
	limits.RequestUnannounced = true
	limits.MaxUploadWait = 1200 * time.Millisecond
	return limits
}
