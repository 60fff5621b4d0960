// Package plan decides how weights are distributed to a host: which chunk to fetch next, from which peer, when to use
// the origin, and which peers' requests to serve. It is a deterministic reducer: events carry the time, the random seed
// is an argument of New, and everything to be done is returned as effects.
//
// An origin fetcher is a host that fetches chunks of a version from the origin on behalf of its region. A chunk map is
// the set of a version's chunks that a host has; hosts send it to each other.
package plan

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Limits holds the limits and timeouts of a planner.
type Limits struct {
	MaxDownloads            int           // concurrent fetches
	MaxDownloadsPerPeer     int           // concurrent fetches from one peer
	MaxUploads              int           // concurrent uploads
	MaxUploadCopies         float64       // copies of a version that a host may upload in an upload window
	MaxUploadsPerChunk      int           // uploads of one chunk that a host may make in an upload window
	UploadWindow            time.Duration // period after which the upload counters of a version are reset
	OriginFetchersPerRegion int           // hosts of a region that fetch from the origin; 0 means all
	Neighbours              int           // peers that a host sends its chunk maps to
	ControlBytesPerS        float64       // budget for chunk maps and requests, both ways
	JoinTimeout             time.Duration // how long a host waits for its expected peers before it uses the origin
	TakeoverTimeout         time.Duration // time without progress of an origin fetcher after which another one fetches its chunks
	RotationTimeout         time.Duration // time without progress of anybody after which the next origin fetcher of each chunk tries
	OriginFallbackTimeout   time.Duration // time without progress of this host after which it uses the origin itself
	MinPeerTimeout          time.Duration // lower bound of the timeout of a fetch from a peer
	MinOriginTimeout        time.Duration // lower bound of the timeout of a fetch from the origin
	OriginRegion            core.Region   // region of the origin; "" if it is in none
	CrossRegionBytesPerS    int64         // limit for weights on the cross-region link; 0 means unlimited
	MaxOriginDownloads      int           // concurrent fetches from the origin
	OriginBackoff           time.Duration // initial backoff after the origin failed, doubled with each further failure
	MissingBackoff          time.Duration // backoff after a peer lacked an unannounced chunk or no longer wants the version
	QuarantinePeriod        time.Duration // quarantine after the first fault of a peer, doubled with each further fault
	SingleOriginFetch       bool          // only one region fetches a given chunk from the origin; the other regions fetch it from there
	RequestUnannounced      bool          // request a chunk from its origin fetcher before that host has announced it
	MaxUploadWait           time.Duration // how long a request for a missing chunk, or one that finds all uploads in use, waits; 0 refuses it immediately
	MaxOriginBackoff        time.Duration // upper bound of the backoff after the origin failed
	BusyBackoff             time.Duration // initial backoff after a peer was busy, doubled with each further refusal
	MaxBusyBackoff          time.Duration // upper bound of that backoff, without the random part
}

// DefaultLimits returns the limits of an agent.
func DefaultLimits() Limits {
	return Limits{
		MaxDownloads:            4,
		MaxDownloadsPerPeer:     2,
		MaxUploads:              4,
		MaxUploadCopies:         1.1,
		MaxUploadsPerChunk:      3,
		UploadWindow:            30 * time.Minute,
		OriginFetchersPerRegion: 8,
		Neighbours:              5,
		ControlBytesPerS:        2500,
		JoinTimeout:             3 * time.Second,
		TakeoverTimeout:         30 * time.Second,
		RotationTimeout:         30 * time.Second,
		OriginFallbackTimeout:   time.Minute,
		MinPeerTimeout:          15 * time.Second,
		MinOriginTimeout:        time.Minute,
		MaxOriginDownloads:      2,
		OriginBackoff:           2 * time.Second,
		MaxOriginBackoff:        32 * time.Second,
		BusyBackoff:             500 * time.Millisecond,
		MaxBusyBackoff:          8 * time.Second,
		MissingBackoff:          5 * time.Second,
		QuarantinePeriod:        20 * time.Second,
	}
}

// Planner is the state of the reducer. It is not safe for concurrent use.
type Planner struct {
	self                 Peer
	limits               Limits
	seed                 uint64
	randomCount          uint64
	now                  time.Duration
	peers                map[core.HostID]*peerState
	sortedPeers          []*peerState // all live peers, sorted by host
	neighbours           []*peerState // peers that this host sends its chunk maps to
	versions             []*version
	fetches              map[FetchID]*fetch
	activeFetches        []*fetch // in order of start
	uploads              map[UploadID]upload
	waitingUploads       []waitingUpload
	lastFetchID          FetchID
	origin               originState
	controlBudget        tokenBucket
	nextChunkMapExchange time.Duration
	nextFetcherExchange  time.Duration // next exchange of chunk maps with the other origin fetchers
	unannouncedFetches   int           // active fetches of chunks that the source did not announce
	heardAt              time.Duration // when a peer of this region last sent its chunk map or a chunk
	lastRefusal          time.Duration // when a peer last refused a chunk because of an upload limit
	nextUnannouncedFetch time.Duration // earliest time of the next unannounced fetch
	effects              []reduce.Effect

	offerBuffer     []*holding // reused between steps
	candidateBuffer []*peerState
}

// version is the state of one wanted version.
type version struct {
	id              core.VersionID
	manifest        weights.Manifest
	regionHosts     int // hosts of this region that have to hold it; 0 if unknown
	originInterval  time.Duration
	firstTurnAt     time.Duration // when the first chunk was due at the origin, as far as this host knows
	chunkIndex      map[weights.Digest]int
	have            Bitmap
	pending         Bitmap // chunks being fetched
	heldCount       int
	copies          []uint16 // number of known holders of each chunk
	startedAt       time.Duration
	progressAt      time.Duration // when the last chunk was verified
	latestProgress  time.Duration // when this host or a peer of its region last made progress
	resumedAt       time.Duration // when progress was last made after a pause of all of them
	uploadedBytes   int64         // in the current upload window
	uploadWindowEnd time.Duration
	originFetchers  []originFetcher
	holdingList     []*holding // in order of creation
	holdings        map[*peerState]*holding
	uploadCounts    []uint8       // uploads of each chunk in the current upload window
	chunkHashes     []uint64      // for rendezvous hashing
	chunkFetchers   []int32       // index into originFetchers of the one assigned to each chunk
	takeovers       int           // how often missing chunks have passed to their next origin fetcher
	takeoverAt      time.Duration // when they last did
	manifestSuspect bool          // see Progress
	refuted         bool          // see Progress.ManifestRefuted
	corruptAtOrigin Bitmap        // chunks of which the origin last sent bytes that do not match their digests
	corruptRetries  int           // consecutive retries of such chunks that have failed
	corruptRetryAt  time.Duration // when one of them may be fetched from the origin again
	hasRefusals     bool          // a peer has refused a chunk because of an upload limit
	remoteFetchers  []*peerState  // remote origin fetcher of each chunk with SingleOriginFetch; nil if this region uses the origin
}

// holding records which chunks of a version a peer has announced and which requests it has refused.
type holding struct {
	peer         *peerState
	have         Bitmap
	refused      Bitmap        // chunks whose upload limit the peer has reached
	unwanted     Bitmap        // chunks that the peer does not want by the digests of this host's manifest
	refusedUntil time.Duration // the peer's upload limit for the version is reached until then
	progressAt   time.Duration // when the peer last announced an additional chunk
}

func (v *version) isComplete() bool { return v.heldCount == len(v.manifest.Chunks) }

// New returns a planner without peers and versions. The seed determines its random choices.
func New(self Peer, limits Limits, seed uint64) *Planner {
	return &Planner{
		self:          self,
		limits:        limits,
		seed:          seed,
		peers:         make(map[core.HostID]*peerState),
		fetches:       make(map[FetchID]*fetch),
		uploads:       make(map[UploadID]upload),
		controlBudget: tokenBucket{tokens: limits.ControlBytesPerS * controlBurstSeconds, perSecond: limits.ControlBytesPerS},
	}
}

// Step processes one event and returns the resulting effects.
func (p *Planner) Step(event reduce.Event) []reduce.Effect {
	p.effects = nil
	if stamped, ok := event.(interface{ at() time.Duration }); ok {
		p.now = max(p.now, stamped.at())
	}
	switch event := event.(type) {
	case Tick:
		p.expireFetches()
		p.expireWaiting()
		p.advanceTakeovers()
		p.exchangeChunkMaps()
		p.schedule()
	case PeersChanged:
		p.peersChanged(event.Peers)
		p.schedule()
	case VersionsChanged:
		p.versionsChanged(event.Versions)
		p.exchangeChunkMaps()
		p.schedule()
	case ChunkMapReceived:
		p.chunkMapReceived(event)
		p.schedule()
	case ChunkMapFailed:
		p.chunkMapFailed(event.Host)
	case FetchEnded:
		p.fetchEnded(event)
		p.schedule()
	case UploadRequested:
		p.uploadRequested(event)
	case UploadEnded:
		delete(p.uploads, event.UploadID)
		p.removeWaiting(event.UploadID)
		p.answerWaiting()
	}
	return p.effects
}

func (p *Planner) emit(effect reduce.Effect) { p.effects = append(p.effects, effect) }

func (p *Planner) versionsChanged(wanted []Version) {
	current := make([]*version, 0, len(wanted))
	for i := range wanted {
		v := p.findVersion(wanted[i].ID)
		switch {
		case v == nil:
			v = p.newVersion(&wanted[i])
		case v.manifest.ChunkBytes != wanted[i].Manifest.ChunkBytes || !slices.Equal(v.manifest.Chunks, wanted[i].Manifest.Chunks):
			v = p.replaceManifest(v, &wanted[i])
		}
		current = append(current, v)
	}
	previous := p.versions
	p.versions = current
	for _, v := range previous {
		if !slices.Contains(current, v) {
			p.dropVersion(v)
		}
	}
	for _, v := range current {
		p.reportProgress(v)
	}
}

func (p *Planner) newVersion(wanted *Version) *version {
	n := len(wanted.Manifest.Chunks)
	v := &version{
		id:              wanted.ID,
		manifest:        wanted.Manifest,
		regionHosts:     wanted.RegionHosts,
		originInterval:  wanted.OriginInterval,
		chunkIndex:      make(map[weights.Digest]int, n),
		have:            NewBitmap(n),
		pending:         NewBitmap(n),
		copies:          make([]uint16, n),
		chunkHashes:     make([]uint64, n),
		chunkFetchers:   make([]int32, n),
		uploadCounts:    make([]uint8, n),
		corruptAtOrigin: NewBitmap(n),
		holdings:        make(map[*peerState]*holding),
		startedAt:       p.now,
		firstTurnAt:     p.now,
		progressAt:      p.now,
		latestProgress:  p.now,
		uploadWindowEnd: p.now + p.limits.UploadWindow,
	}
	for i, digest := range wanted.Manifest.Chunks {
		v.chunkIndex[digest] = i
		// Hosts assign the chunks alike even if one of their manifests has been corrupted.
		v.chunkHashes[i] = xxhash.Sum64String(string(v.id)+"-"+strconv.Itoa(i)) + uint64(i)
		if wanted.Have != nil && wanted.Have.Has(i) {
			v.have.Set(i)
		}
	}
	v.heldCount = v.have.Count()
	p.electOriginFetchers(v)
	return v
}

func (p *Planner) dropVersion(v *version) {
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if f.version == v {
			p.emit(CancelFetch{FetchID: f.id})
			p.removeFetch(f)
		}
	}
}

func (p *Planner) findVersion(id core.VersionID) *version {
	for _, v := range p.versions {
		if v.id == id {
			return v
		}
	}
	return nil
}

// markVerified marks the chunk as held in every wanted version that contains it.
func (p *Planner) markVerified(digest weights.Digest) {
	for _, v := range p.versions {
		for i := range p.missingIndices(v, digest) {
			v.have.Set(i)
			v.heldCount++
			v.progressAt = p.now
			v.manifestSuspect = false
			v.resumeCorruptRetries(i)
			v.recordProgress(p.now, p.takeoverTimeout(v))
		}
		p.reportProgress(v)
	}
	p.answerWaiting()
}

// missingIndices returns the indices of the version's missing chunks with the digest. A digest can occur more than once.
func (p *Planner) missingIndices(v *version, digest weights.Digest) map[int]struct{} {
	index, ok := v.chunkIndex[digest]
	if !ok || v.have.Has(index) {
		return nil
	}
	found := map[int]struct{}{index: {}}
	if len(v.chunkIndex) == len(v.manifest.Chunks) {
		return found
	}
	for i, other := range v.manifest.Chunks {
		if other == digest {
			found[i] = struct{}{}
		}
	}
	return found
}

func (p *Planner) reportProgress(v *version) {
	total := len(v.manifest.Chunks)
	progress := Progress{Version: v.id, Have: v.heldCount, Total: total, ManifestSuspect: v.manifestSuspect, ManifestRefuted: v.refuted}
	elapsed := p.now - v.startedAt
	if v.heldCount > 0 && elapsed > 0 {
		progress.Remaining = elapsed * time.Duration(total-v.heldCount) / time.Duration(v.heldCount)
	}
	p.emit(progress)
}

// nextRandom returns the next number of the sequence that the seed determines.
func (p *Planner) nextRandom() uint64 {
	p.randomCount++
	return mix64(p.seed + p.randomCount*0x9e3779b97f4a7c15)
}
