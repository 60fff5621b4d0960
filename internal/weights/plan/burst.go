package plan

import "time"

// BurstLimits fit weights of a few megabytes that have to run on some hundred hosts within seconds: each chunk leaves the
// origin once, hosts ask for it before it is announced, and a peer that stalls is passed over within the bound.
func BurstLimits() Limits {
	limits := DefaultLimits()
	limits.Downloads = 12
	limits.PerPeer = 1
	limits.Uploads = 32
	limits.UploadCopies = 8
	limits.UploadFanOut = 64
	limits.Gateways = 0 // every host of a region
	limits.ControlBytesPerS = 20_000
	limits.JoinPatience = 500 * time.Millisecond
	limits.Takeover = 1500 * time.Millisecond
	limits.LastResort = 3 * time.Second
	limits.PeerPatience = 2500 * time.Millisecond
	limits.OriginPatience = 2 * time.Second
	limits.OriginDownloads = 1
	limits.OriginBackoff = 200 * time.Millisecond
	limits.MissBackoff = 100 * time.Millisecond
	limits.Aside = 2 * time.Second
	limits.OneDraw = true
	limits.AskGateways = true
	limits.AwaitUpload = 1200 * time.Millisecond
	return limits
}
