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
	Downloads        int           // fetches under way
	PerPeer          int           // fetches under way from one peer
	Uploads          int           // uploads under way
	UploadCopies     float64       // copies of a version that a host uploads in an upload window
	UploadFanOut     int           // uploads of one chunk by a host in an upload window
	UploadWindow     time.Duration // time after which the uploads of a version count from zero again
	Gateways         int           // hosts of a region that fetch from the origin
	Neighbours       int           // peers that a host exchanges maps with by its own choice
	ControlBytesPerS float64       // bytes a second for maps and requests, both ways
	JoinPatience     time.Duration // time in which the origin is not asked while hosts that have to hold the version are not heard of
	Takeover         time.Duration // time without progress of a gateway until the next one fetches its chunks
	LastResort       time.Duration // time without progress of this host until it asks the origin itself
	PeerPatience     time.Duration // least time that a fetch from a peer may take
	OriginPatience   time.Duration // least time that a fetch from the origin may take
	OriginRegion     core.Region   // the region that holds the origin; "" when it is in none
	RegionBytesPerS  int64         // share of the link between regions for weights, in bytes a second; 0 means unlimited
	OriginDownloads  int           // fetches from the origin under way
	OriginBackoff    time.Duration // before an origin that failed is asked again, doubled with each failure
	MissBackoff      time.Duration // before a peer that lacked an unannounced chunk is asked again
	Aside            time.Duration // for which a peer is put aside after its first fault
	OneDraw          bool          // the regions part the chunks among them, and each gets the others' from there
	AskGateways      bool          // a chunk's gateway is asked for it before the gateway has announced it
	AwaitUpload      time.Duration // for which the request for a chunk that is not held yet waits; 0 refuses it at once
}

// DefaultLimits returns the limits of an agent.
func DefaultLimits() Limits {
	return Limits{
		Downloads:        4,
		PerPeer:          2,
		Uploads:          4,
		UploadCopies:     1.1,
		UploadFanOut:     3,
		UploadWindow:     30 * time.Minute,
		Gateways:         8,
		Neighbours:       5,
		ControlBytesPerS: 2500,
		JoinPatience:     3 * time.Second,
		Takeover:         30 * time.Second,
		LastResort:       time.Minute,
		PeerPatience:     15 * time.Second,
		OriginPatience:   time.Minute,
		OriginDownloads:  2,
		OriginBackoff:    2 * time.Second,
		MissBackoff:      5 * time.Second,
		Aside:            20 * time.Second,
	}
}

// Planner is the reducer's state.
type Planner struct {
	self      Peer
	limits    Limits
	seed      uint64
	draws     uint64
	now       time.Duration
	peers     map[core.HostID]*peer
	order     []*peer // every peer of the roster, in order of name
	chosen    []*peer // the peers that this host sends maps to
	versions  []*version
	fetches   map[FetchID]*fetch
	underway  []*fetch // in order of start
	uploads   map[UploadID]upload
	awaiting  []awaitedUpload
	lastID    FetchID
	origin    originState
	control   bucket
	mapDue    time.Duration
	peerDue   time.Duration // when maps go to the other gateways next
	asking    int           // fetches from peers that did not announce the chunk
	refusedAt time.Duration // when a peer last refused a chunk for good
	askDue    time.Duration // when such a peer may be asked next
	effects   []reduce.Effect

	offers     []*holding // reused between steps
	candidates []*peer
}

// version is what a planner knows of one wanted version.
type version struct {
	id        core.VersionID
	manifest  weights.Manifest
	hosts     int // of this region that have to hold it
	originGap time.Duration
	index     map[weights.Digest]int
	have      Bitmap
	pending   Bitmap // chunks being fetched
	held      int
	copies    []uint16 // known peers that hold each chunk
	start     time.Duration
	progress  time.Duration // when the last chunk arrived
	uploaded  int64         // bytes in this upload window
	windowEnd time.Duration
	gateways  []gateway
	known     []*holding // in the order in which the first maps came
	holdings  map[*peer]*holding
	given     []uint8  // uploads of each chunk in this upload window
	keys      []uint64 // hash of each chunk
	first     []int32  // index into gateways of each chunk's first fetcher
	far       []*peer  // with OneDraw, the gateway in another region that has to fetch the chunk first; nil for none
}

// holding is what a peer says that it holds of a version, and how it took this host's requests.
type holding struct {
	peer     *peer
	have     Bitmap
	refused  Bitmap        // chunks that the peer gives to no more hosts
	spent    time.Duration // the peer refuses the version until then
	advanced time.Duration // when the peer last gained a chunk
}

func (v *version) complete() bool { return v.held == len(v.manifest.Chunks) }

// New returns the planner of a host that knows nothing yet. The seed breaks ties.
func New(self Peer, limits Limits, seed uint64) *Planner {
	return &Planner{
		self:    self,
		limits:  limits,
		seed:    seed,
		peers:   make(map[core.HostID]*peer),
		fetches: make(map[FetchID]*fetch),
		uploads: make(map[UploadID]upload),
		control: bucket{level: limits.ControlBytesPerS * controlBurstS, rate: limits.ControlBytesPerS},
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
		p.expire()
		p.expireAwaited()
		p.exchange()
		p.schedule()
	case RosterChanged:
		p.rosterChanged(event.Peers)
		p.schedule()
	case VersionsWanted:
		p.versionsWanted(event.Versions)
		p.exchange()
		p.schedule()
	case MapReceived:
		p.mapReceived(event)
		p.schedule()
	case MapFailed:
		p.mapFailed(event.Host)
	case FetchEnded:
		p.fetchEnded(event)
		p.schedule()
	case UploadAsked:
		p.uploadAsked(event)
	case UploadEnded:
		delete(p.uploads, event.Upload)
		p.dropAwaited(event.Upload)
	}
	return p.effects
}

func (p *Planner) emit(effect reduce.Effect) { p.effects = append(p.effects, effect) }

func (p *Planner) versionsWanted(wanted []Version) {
	kept := make([]*version, 0, len(wanted))
	for i := range wanted {
		v := p.findVersion(wanted[i].ID)
		if v == nil {
			v = p.newVersion(&wanted[i])
		}
		kept = append(kept, v)
	}
	dropped := p.versions
	p.versions = kept
	for _, v := range dropped {
		if p.findVersion(v.id) == nil {
			p.dropVersion(v)
		}
	}
	for _, v := range kept {
		p.report(v)
	}
}

func (p *Planner) newVersion(wanted *Version) *version {
	n := len(wanted.Manifest.Chunks)
	v := &version{
		id:        wanted.ID,
		manifest:  wanted.Manifest,
		hosts:     wanted.Hosts,
		originGap: wanted.OriginGap,
		index:     make(map[weights.Digest]int, n),
		have:      NewBitmap(n),
		pending:   NewBitmap(n),
		copies:    make([]uint16, n),
		keys:      make([]uint64, n),
		first:     make([]int32, n),
		given:     make([]uint8, n),
		holdings:  make(map[*peer]*holding),
		start:     p.now,
		progress:  p.now,
		windowEnd: p.now + p.limits.UploadWindow,
	}
	for i, digest := range wanted.Manifest.Chunks {
		v.index[digest] = i
		v.keys[i] = digest.Hash() + uint64(i)
		if wanted.Held != nil && wanted.Held.Has(i) {
			v.have.Set(i)
		}
	}
	v.held = v.have.Count()
	p.electGateways(v)
	return v
}

func (p *Planner) dropVersion(v *version) {
	for _, f := range append([]*fetch(nil), p.underway...) {
		if f.version == v {
			p.emit(CancelFetch{Fetch: f.id})
			p.forget(f)
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
func (p *Planner) verified(digest weights.Digest) {
	for _, v := range p.versions {
		for i := range p.indicesOf(v, digest) {
			v.have.Set(i)
			v.held++
			v.progress = p.now
		}
		p.report(v)
	}
	p.answerAwaited(digest)
}

// indicesOf returns the indices of missing chunks of the version with the digest. A digest can stand more than once.
func (p *Planner) indicesOf(v *version, digest weights.Digest) map[int]struct{} {
	last, ok := v.index[digest]
	if !ok || v.have.Has(last) {
		return nil
	}
	found := map[int]struct{}{last: {}}
	if len(v.index) == len(v.manifest.Chunks) {
		return found
	}
	for i, other := range v.manifest.Chunks {
		if other == digest {
			found[i] = struct{}{}
		}
	}
	return found
}

func (p *Planner) report(v *version) {
	total := len(v.manifest.Chunks)
	progress := Progress{Version: v.id, Have: v.held, Total: total}
	elapsed := p.now - v.start
	if v.held > 0 && elapsed > 0 {
		progress.Remaining = elapsed * time.Duration(total-v.held) / time.Duration(v.held)
	}
	p.emit(progress)
}

// draw returns the next number of the seed's sequence.
func (p *Planner) draw() uint64 {
	p.draws++
	return mix(p.seed + p.draws*0x9e3779b97f4a7c15)
}
