// Package plan decides how weights reach a host: which chunk comes next, from which peer, when the origin is asked, and
// which peers' requests are served. It is a reducer: time and seeds come with its events, and what has to be done
// leaves as effects.
package plan

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Limits bounds what a host does for weights.
type Limits struct {
	MaxDownloads          int           // fetches under way
	MaxDownloadsPerPeer   int           // fetches under way from one peer
	MaxUploads            int           // uploads under way
	MaxUploadCopies       float64       // copies of a version that a host uploads in an upload window
	MaxUploadsPerChunk    int           // uploads of one chunk by a host in an upload window
	UploadWindow          time.Duration // time after which the uploads of a version count from zero again
	GatewaysPerRegion     int           // hosts of a region that fetch from the origin
	Neighbours            int           // peers that a host exchanges maps with by its own choice
	ControlBytesPerS      float64       // bytes a second for maps and requests, both ways
	JoinTimeout           time.Duration // time in which the origin is not asked while hosts that have to hold the version are not heard of
	TakeoverTimeout       time.Duration // time without progress of a gateway until the next one fetches its chunks
	OriginFallbackTimeout time.Duration // time without progress of this host until it asks the origin itself
	MinPeerTimeout        time.Duration // least time that a fetch from a peer may take
	MinOriginTimeout      time.Duration // least time that a fetch from the origin may take
	OriginRegion          core.Region   // the region that holds the origin; "" when it is in none
	RegionBytesPerS       int64         // share of the link between regions for weights, in bytes a second; 0 means unlimited
	MaxOriginDownloads    int           // fetches from the origin under way
	OriginBackoff         time.Duration // before an origin that failed is asked again, doubled with each failure
	MissingBackoff        time.Duration // before a peer that lacked an unannounced chunk is asked again
	QuarantinePeriod      time.Duration // for which a peer is put aside after its first fault
	SingleOriginFetch     bool          // the regions part the chunks among them, and each gets the others' from there
	RequestUnannounced    bool          // a chunk's gateway is asked for it before the gateway has announced it
	MaxUploadWait         time.Duration // for which the request for a chunk that is not held yet waits; 0 refuses it at once
}

// DefaultLimits returns the limits of an agent.
func DefaultLimits() Limits {
	return Limits{
		MaxDownloads:          4,
		MaxDownloadsPerPeer:   2,
		MaxUploads:            4,
		MaxUploadCopies:       1.1,
		MaxUploadsPerChunk:    3,
		UploadWindow:          30 * time.Minute,
		GatewaysPerRegion:     8,
		Neighbours:            5,
		ControlBytesPerS:      2500,
		JoinTimeout:           3 * time.Second,
		TakeoverTimeout:       30 * time.Second,
		OriginFallbackTimeout: time.Minute,
		MinPeerTimeout:        15 * time.Second,
		MinOriginTimeout:      time.Minute,
		MaxOriginDownloads:    2,
		OriginBackoff:         2 * time.Second,
		MissingBackoff:        5 * time.Second,
		QuarantinePeriod:      20 * time.Second,
	}
}

// Planner is the reducer's state.
type Planner struct {
	self                 Peer
	limits               Limits
	seed                 uint64
	randomCount          uint64
	now                  time.Duration
	peers                map[core.HostID]*peer
	sortedPeers          []*peer // every peer of the roster, in order of name
	neighbours           []*peer // the peers that this host sends maps to
	versions             []*version
	fetches              map[FetchID]*fetch
	activeFetches        []*fetch // in order of start
	uploads              map[UploadID]upload
	waitingUploads       []waitingUpload
	lastFetchID          FetchID
	origin               originState
	controlBudget        tokenBucket
	nextMapExchange      time.Duration
	nextGatewayExchange  time.Duration // when maps go to the other gateways next
	unannouncedFetches   int           // fetches from peers that did not announce the chunk
	lastRefusal          time.Duration // when a peer last refused a chunk for good
	nextUnannouncedFetch time.Duration // when such a peer may be asked next
	effects              []reduce.Effect

	offerBuffer     []*holding // reused between steps
	candidateBuffer []*peer
}

// version is what a planner knows of one wanted version.
type version struct {
	id              core.VersionID
	manifest        weights.Manifest
	regionHosts     int // of this region that have to hold it
	originInterval  time.Duration
	chunkIndex      map[weights.Digest]int
	have            Bitmap
	pending         Bitmap // chunks being fetched
	heldCount       int
	copies          []uint16 // known peers that hold each chunk
	startedAt       time.Duration
	progressAt      time.Duration // when the last chunk arrived
	uploadedBytes   int64         // bytes in this upload window
	uploadWindowEnd time.Duration
	gateways        []gateway
	holdingList     []*holding // in the order in which the first maps came
	holdings        map[*peer]*holding
	uploadCounts    []uint8  // uploads of each chunk in this upload window
	chunkHashes     []uint64 // hash of each chunk
	chunkGateways   []int32  // index into gateways of each chunk's first fetcher
	remoteGateways  []*peer  // with OneDraw, the gateway in another region that has to fetch the chunk first; nil for none
}

// holding is what a peer says that it holds of a version, and how it took this host's requests.
type holding struct {
	peer         *peer
	have         Bitmap
	refused      Bitmap        // chunks that the peer gives to no more hosts
	refusedUntil time.Duration // the peer refuses the version until then
	progressAt   time.Duration // when the peer last gained a chunk
}

func (v *version) isComplete() bool { return v.heldCount == len(v.manifest.Chunks) }

// New returns the planner of a host that knows nothing yet. The seed breaks ties.
func New(self Peer, limits Limits, seed uint64) *Planner {
	return &Planner{
		self:          self,
		limits:        limits,
		seed:          seed,
		peers:         make(map[core.HostID]*peer),
		fetches:       make(map[FetchID]*fetch),
		uploads:       make(map[UploadID]upload),
		controlBudget: tokenBucket{tokens: limits.ControlBytesPerS * controlBurstSeconds, perSecond: limits.ControlBytesPerS},
	}
}

// Step takes one event and returns what has to be done.
func (p *Planner) Step(event reduce.Event) []reduce.Effect {
	p.effects = nil
	if stamped, ok := event.(interface{ at() time.Duration }); ok {
		p.now = max(p.now, stamped.at())
	}
	switch event := event.(type) {
	case Tick:
		p.expireFetches()
		p.expireWaiting()
		p.exchangeMaps()
		p.schedule()
	case PeersChanged:
		p.peersChanged(event.Peers)
		p.schedule()
	case VersionsChanged:
		p.versionsChanged(event.Versions)
		p.exchangeMaps()
		p.schedule()
	case MapReceived:
		p.mapReceived(event)
		p.schedule()
	case MapFailed:
		p.mapFailed(event.Host)
	case FetchEnded:
		p.fetchEnded(event)
		p.schedule()
	case UploadRequested:
		p.uploadRequested(event)
	case UploadEnded:
		delete(p.uploads, event.Upload)
		p.removeWaiting(event.Upload)
	}
	return p.effects
}

func (p *Planner) emit(effect reduce.Effect) { p.effects = append(p.effects, effect) }

func (p *Planner) versionsChanged(wanted []Version) {
	current := make([]*version, 0, len(wanted))
	for i := range wanted {
		v := p.findVersion(wanted[i].ID)
		if v == nil {
			v = p.newVersion(&wanted[i])
		}
		current = append(current, v)
	}
	previous := p.versions
	p.versions = current
	for _, v := range previous {
		if p.findVersion(v.id) == nil {
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
		regionHosts:     wanted.Hosts,
		originInterval:  wanted.OriginGap,
		chunkIndex:      make(map[weights.Digest]int, n),
		have:            NewBitmap(n),
		pending:         NewBitmap(n),
		copies:          make([]uint16, n),
		chunkHashes:     make([]uint64, n),
		chunkGateways:   make([]int32, n),
		uploadCounts:    make([]uint8, n),
		holdings:        make(map[*peer]*holding),
		startedAt:       p.now,
		progressAt:      p.now,
		uploadWindowEnd: p.now + p.limits.UploadWindow,
	}
	for i, digest := range wanted.Manifest.Chunks {
		v.chunkIndex[digest] = i
		v.chunkHashes[i] = digest.Hash() + uint64(i)
		if wanted.Have != nil && wanted.Have.Has(i) {
			v.have.Set(i)
		}
	}
	v.heldCount = v.have.Count()
	p.electGateways(v)
	return v
}

func (p *Planner) dropVersion(v *version) {
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if f.version == v {
			p.emit(CancelFetch{Fetch: f.id})
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

// verified marks the chunk as held in every wanted version that has it.
func (p *Planner) markVerified(digest weights.Digest) {
	for _, v := range p.versions {
		for i := range p.missingIndices(v, digest) {
			v.have.Set(i)
			v.heldCount++
			v.progressAt = p.now
		}
		p.reportProgress(v)
	}
	p.answerWaiting(digest)
}

// indicesOf returns the indices of missing chunks of the version with the digest. A digest can stand more than once.
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
	progress := Progress{Version: v.id, Have: v.heldCount, Total: total}
	elapsed := p.now - v.startedAt
	if v.heldCount > 0 && elapsed > 0 {
		progress.Remaining = elapsed * time.Duration(total-v.heldCount) / time.Duration(v.heldCount)
	}
	p.emit(progress)
}

// draw returns the next number of the seed's sequence.
func (p *Planner) nextRandom() uint64 {
	p.randomCount++
	return mix64(p.seed + p.randomCount*0x9e3779b97f4a7c15)
}
