package plan

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// actor is what a host of the fake network runs: the planner or a baseline.
type actor interface {
	Step(event reduce.Event) []reduce.Effect
	Map(id core.VersionID) Bitmap
}

// link carries one transfer after the other.
type link struct {
	rate  float64 // bytes a second
	free  time.Duration
	bytes int64
}

// reserve returns when the bytes have passed, if they come no earlier than at from.
func (l *link) reserve(from time.Duration, bytes int64) time.Duration {
	l.bytes += bytes
	if l.rate <= 0 {
		return from
	}
	l.free = max(l.free, from) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	return l.free
}

// fakeHost is a host of the fake network. Its flags are faults.
type fakeHost struct {
	peer          Peer
	actor         actor
	up, down      link
	control       int64 // bytes both ways
	doneAt        time.Duration
	verified      map[weights.Digest]int // how often each chunk was verified
	dead          bool
	liar          bool // announces every chunk
	silent        bool // its uploads never end
	corrupts      bool // its uploads are wrong
	cutFromOrigin bool
	cutFrom       map[core.Region]bool
	transfers     map[FetchID]*transfer
	next          UploadID
	asked         map[UploadID]asking
}

// asking is a request for an upload that is not answered yet.
type asking struct {
	transfer *transfer
	fetch    FetchID
}

// transfer is a fetch under way on the network.
type transfer struct {
	host, source *fakeHost
	upload       UploadID
	digest       weights.Digest
	cancelled    bool
}

// shape is what a fake network is made of. Rates are in bytes a second.
type shape struct {
	hosts, chunks int
	chunkBytes    int64
	hostRate      float64 // each way
	originRate    float64
	regionRate    float64 // between the regions, for weights
	killed        float64 // share of the hosts
	corrupted     float64 // share of the transfers
	seed          uint64
	tickEvery     time.Duration // 0 means the usual one
	limits        func(*Limits)
	actor         func(self Peer, limits Limits, seed uint64) actor
	prepare       func(*network)
}

// network drives actors in virtual time. It knows link rates and delays only.
type network struct {
	shape
	rng         *rand.Rand
	now         time.Duration
	queue       timeline
	made        uint64 // moments so far
	hosts       []*fakeHost
	byID        map[core.HostID]*fakeHost
	origin      link
	originDown  bool
	originBy    map[core.Region]int64
	between     map[core.Region]*link // into each region
	originWrong int                   // transfers from the origin that arrive corrupted, counted down
	version     Version
	versions    map[core.VersionID]Version
}

const (
	tickEvery     = 500 * time.Millisecond
	nearDelay     = time.Millisecond
	farDelay      = 2 * time.Millisecond
	detectDelay   = 3 * time.Second // until the roster loses a dead host
	timeLimit     = 4 * time.Hour
	originRegion  = core.Region("r0")
	domainsTotal  = 5
	firstInRegion = 3 // failure domains of the first region
)

func newNetwork(s shape) *network {
	n := &network{shape: s, rng: rand.New(rand.NewPCG(s.seed, 1)), byID: make(map[core.HostID]*fakeHost), originBy: make(map[core.Region]int64)}
	n.between = map[core.Region]*link{"r0": {rate: s.regionRate}, "r1": {rate: s.regionRate}}
	n.origin.rate = s.originRate
	n.version = fakeVersion("v", s.chunks, s.chunkBytes)
	n.versions = map[core.VersionID]Version{"v": n.version}
	limits := DefaultLimits()
	limits.OriginRegion = originRegion
	limits.RegionBytesPerS = int64(s.regionRate)
	if s.limits != nil {
		s.limits(&limits)
	}
	for i := range s.hosts {
		n.addHost(i, limits)
	}
	if s.prepare != nil {
		s.prepare(n)
	}
	return n
}

func (n *network) addHost(i int, limits Limits) {
	domain := i % domainsTotal
	region := core.Region("r0")
	if domain >= firstInRegion {
		region = "r1"
	}
	h := &fakeHost{
		peer:      Peer{Host: core.HostID(fmt.Sprintf("h%03d", i)), FailureDomain: core.FailureDomain(fmt.Sprintf("d%d", domain)), Region: region},
		up:        link{rate: n.hostRate},
		down:      link{rate: n.hostRate},
		cutFrom:   make(map[core.Region]bool),
		verified:  make(map[weights.Digest]int),
		transfers: make(map[FetchID]*transfer),
		asked:     make(map[UploadID]asking),
	}
	if n.shape.actor != nil {
		h.actor = n.shape.actor(h.peer, limits, n.rng.Uint64())
	} else {
		h.actor = New(h.peer, limits, n.rng.Uint64())
	}
	n.hosts = append(n.hosts, h)
	n.byID[h.peer.Host] = h
}

// run hands every host the version and steps the network until every live host holds it; false says that it never did.
func (n *network) run() bool {
	for _, h := range n.hosts {
		n.deliver(h, RosterChanged{Stamp: n.stamp(), Peers: n.live(h)})
	}
	for _, h := range n.hosts {
		n.deliver(h, VersionsWanted{Stamp: n.stamp(), Versions: []Version{n.version}})
		n.tick(h)
	}
	n.planKills()
	for len(n.queue) > 0 && n.now < timeLimit {
		next := heap.Pop(&n.queue).(moment)
		n.now = next.at
		next.do()
		if next.check && n.complete() {
			return true
		}
	}
	return false
}

func (n *network) complete() bool {
	for _, h := range n.hosts {
		if !h.dead && h.doneAt == 0 {
			return false
		}
	}
	return true
}

func (n *network) stamp() Stamp { return Stamp{Now: n.now} }

func (n *network) live(self *fakeHost) []Peer {
	var peers []Peer
	for _, h := range n.hosts {
		if h != self && !h.dead && !n.cut(self, h) {
			peers = append(peers, h.peer)
		}
	}
	return peers
}

func (n *network) cut(a, b *fakeHost) bool {
	return a.peer.FailureDomain != b.peer.FailureDomain && (a.cutFrom[b.peer.Region] || b.cutFrom[a.peer.Region])
}

func (n *network) tick(h *fakeHost) {
	if h.dead {
		return
	}
	n.deliver(h, Tick{Stamp: n.stamp()})
	wait := cmp.Or(n.tickEvery, tickEvery)
	if n.now == 0 {
		wait = time.Duration(n.rng.Int64N(int64(wait)))
	}
	n.after(wait, func() { n.tick(h) })
}

func (n *network) planKills() {
	span := time.Duration(n.bound().seconds() * float64(time.Second))
	for _, i := range n.rng.Perm(len(n.hosts))[:int(n.killed*float64(len(n.hosts)))] {
		n.after(time.Duration(n.rng.Int64N(int64(span)+1)), func() { n.kill(n.hosts[i]) })
	}
}

func (n *network) kill(h *fakeHost) {
	h.dead = true
	n.after(detectDelay, n.spreadRoster)
}

func (n *network) spreadRoster() {
	for _, h := range n.hosts {
		n.deliver(h, RosterChanged{Stamp: n.stamp(), Peers: n.live(h)})
	}
}

func (n *network) deliver(h *fakeHost, event reduce.Event) {
	if h.dead {
		return
	}
	for _, effect := range h.actor.Step(event) {
		n.perform(h, effect)
	}
	if held := h.actor.Map(n.version.ID); h.doneAt == 0 && held != nil && held.Count() == n.chunks {
		h.doneAt = n.now
	}
}

func (n *network) perform(h *fakeHost, effect reduce.Effect) {
	switch effect := effect.(type) {
	case FetchChunk:
		t := &transfer{host: h, source: n.byID[effect.Source], digest: n.versions[effect.Version].Manifest.Chunks[effect.Index]}
		h.transfers[effect.Fetch] = t
		if t.source == nil {
			n.fromOrigin(t, effect)
			return
		}
		n.fromPeer(t, effect)
	case CancelFetch:
		if t := h.transfers[effect.Fetch]; t != nil {
			t.cancelled = true
			n.endUpload(t)
			delete(h.transfers, effect.Fetch)
		}
	case AnswerUpload:
		asked := h.asked[effect.Upload]
		delete(h.asked, effect.Upload)
		if asked.transfer != nil && !asked.transfer.cancelled {
			n.answered(asked.transfer, asked.fetch, effect.Result)
		}
	case SendMap:
		n.swapMaps(h, n.byID[effect.Host], effect)
	}
}

// endUpload frees the place of an upload whose receiver has gone.
func (n *network) endUpload(t *transfer) {
	if t.source != nil && t.upload != 0 {
		n.after(nearDelay, func() { n.deliver(t.source, UploadEnded{Stamp: n.stamp(), Upload: t.upload}) })
	}
}

func (n *network) fromOrigin(t *transfer, effect FetchChunk) {
	if n.originDown || t.host.cutFromOrigin {
		n.end(t, effect.Fetch, n.now+farDelay, Unreachable)
		return
	}
	at := n.origin.reserve(n.now+nearDelay, n.chunkBytes)
	n.originBy[t.host.peer.Region] += n.chunkBytes
	if t.host.peer.Region != originRegion {
		at = n.between[t.host.peer.Region].reserve(at, n.chunkBytes)
	}
	if effect.Rate > 0 {
		at = max(at, n.now+time.Duration(float64(n.chunkBytes)/float64(effect.Rate)*float64(time.Second)))
	}
	n.originWrong--
	n.end(t, effect.Fetch, t.host.down.reserve(at-t.host.transferTime(n.chunkBytes), n.chunkBytes), n.spoil(n.originWrong >= 0))
}

// transferTime is what the bytes take on the host's link; it passes them on while they arrive.
func (h *fakeHost) transferTime(bytes int64) time.Duration {
	if h.down.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / h.down.rate * float64(time.Second))
}

func (n *network) fromPeer(t *transfer, effect FetchChunk) {
	t.host.control += requestBytes
	t.source.control += requestBytes
	n.after(nearDelay, func() {
		if t.source.dead || t.cancelled || n.cut(t.host, t.source) {
			return
		}
		t.source.next++
		t.upload = t.source.next
		asked := UploadAsked{Stamp: n.stamp(), Upload: t.upload, Digest: n.versions[effect.Version].Manifest.Chunks[effect.Index]}
		t.source.asked[t.upload] = asking{transfer: t, fetch: effect.Fetch}
		for _, effect := range t.source.actor.Step(asked) {
			n.perform(t.source, effect)
		}
	})
}

func (n *network) answered(t *transfer, id FetchID, result Result) {
	if result != Granted {
		n.end(t, id, n.now+nearDelay, result)
		return
	}
	if t.source.silent {
		return
	}
	sent := t.source.up.reserve(n.now, n.chunkBytes)
	if t.source.peer.Region != t.host.peer.Region {
		sent = n.between[t.host.peer.Region].reserve(sent, n.chunkBytes)
	}
	received := t.host.down.reserve(sent-t.host.transferTime(n.chunkBytes), n.chunkBytes)
	n.after(sent-n.now, func() { n.deliver(t.source, UploadEnded{Stamp: n.stamp(), Upload: t.upload}) })
	n.end(t, id, received, n.spoil(t.source.corrupts))
}

// spoil says whether the bytes of a transfer arrive as they left.
func (n *network) spoil(always bool) Result {
	if always || n.rng.Float64() < n.corrupted {
		return Corrupt
	}
	return Verified
}

func (n *network) end(t *transfer, id FetchID, at time.Duration, result Result) {
	n.push(at, true, func() {
		if t.cancelled || (t.source != nil && t.source.dead) {
			return
		}
		delete(t.host.transfers, id)
		if result == Verified {
			t.host.verified[t.digest]++
		}
		n.deliver(t.host, FetchEnded{Stamp: n.stamp(), Fetch: id, Result: result})
	})
}

func (n *network) swapMaps(h, other *fakeHost, effect SendMap) {
	size := int64(2 * MapBytes(n.chunks))
	h.control += size
	if other == nil || other.dead || n.cut(h, other) {
		n.after(time.Second, func() { n.deliver(h, MapFailed{Stamp: n.stamp(), Host: effect.Host}) })
		return
	}
	other.control += size
	n.after(nearDelay, func() {
		n.deliver(other, MapReceived{Stamp: n.stamp(), Host: h.peer.Host, Version: effect.Version, Have: h.announce(effect.Have)})
		if back := other.actor.Map(effect.Version); back != nil {
			n.deliver(h, MapReceived{Stamp: n.stamp(), Asked: true, Host: effect.Host, Version: effect.Version, Have: other.announce(back)})
		}
	})
}

func (h *fakeHost) announce(have Bitmap) Bitmap {
	if h.liar {
		for i := range have {
			have[i] = ^uint64(0)
		}
	}
	return have
}

// moment is one entry of the timeline. Entries of the same time run in the order in which they were made.
type moment struct {
	at    time.Duration
	order uint64
	check bool // whether the run may be complete after it
	do    func()
}

type timeline []moment

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (n *network) after(wait time.Duration, do func()) { n.push(n.now+wait, false, do) }

func (n *network) push(at time.Duration, check bool, do func()) {
	n.made++
	heap.Push(&n.queue, moment{at: max(at, n.now), order: n.made, check: check, do: do})
}
