// Package distribution brings the chunks of versions onto a host: it performs over real sockets what package plan
// decides. Chunks travel by HTTP between agents' data addresses, maps of what hosts hold by JSON-RPC.
package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
)

const (
	tickInterval  = 250 * time.Millisecond // while nothing is to be fetched, and without turns at the origin
	chunkProgress = 10 * time.Second       // until a peer's connection without a byte is given up
	connsPerPeer  = 4
	mapTimeout    = 2 * time.Second
	answerTimeout = 5 * time.Second // for the control thread to judge an upload
)

// Options is what a distributor needs.
type Options struct {
	Self          core.Host
	Store         *weights.Store
	Origin        platform.Origin
	Peers         *rpc.Client
	Logger        *log.Logger
	Limits        plan.Limits
	LinkBytesPerS int64 // rate of the host's link for weights, each way; 0 means unlimited
	Seed          uint64
}

// Distributor holds the versions that a host wants.
type Distributor struct {
	options Options
	loop    *reduce.Loop
	planner *plan.Planner
	client  *stream.Client
	up      *link
	down    *link
	start   time.Time
	changed chan struct{} // signalled after progress

	mu        sync.Mutex
	addresses map[core.HostID]core.Host
	manifests map[core.VersionID]weights.Manifest
	wanted    []plan.Version
	progress  map[core.VersionID]plan.Progress
	fetches   map[plan.FetchID]context.CancelFunc
	uploads   map[plan.UploadID]chan plan.Result
	maps      map[core.VersionID]plan.Bitmap

	lastUpload atomic.Uint64
	sent       atomic.Int64
	received   atomic.Int64
	control    atomic.Int64
}

// New returns a distributor that has not started.
func New(options Options) *Distributor {
	d := &Distributor{
		options:   options,
		client:    stream.NewClient(chunkProgress, connsPerPeer),
		up:        newLink(options.LinkBytesPerS),
		down:      newLink(options.LinkBytesPerS),
		start:     time.Now(),
		changed:   make(chan struct{}, 1),
		addresses: make(map[core.HostID]core.Host),
		manifests: make(map[core.VersionID]weights.Manifest),
		progress:  make(map[core.VersionID]plan.Progress),
		fetches:   make(map[plan.FetchID]context.CancelFunc),
		uploads:   make(map[plan.UploadID]chan plan.Result),
		maps:      make(map[core.VersionID]plan.Bitmap),
	}
	self := plan.Peer{Host: options.Self.ID, FailureDomain: options.Self.FailureDomain, Region: options.Self.Region}
	d.planner = plan.New(self, options.Limits, options.Seed)
	d.loop = reduce.NewLoop(d.planner.Step, d.apply, d.perform)
	return d
}

// Run fetches and serves until the context ends.
func (d *Distributor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { d.tick(ctx) })
	d.loop.Run(ctx)
	tasks.Wait()
}

func (d *Distributor) tick(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			d.loop.Post(ctx, plan.Tick{Stamp: d.stamp()})
			timer.Reset(d.nextTick())
		}
	}
}

// nextTick is short enough for the turns at the origin while chunks are missing.
func (d *Distributor) nextTick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := tickInterval
	for _, wanted := range d.wanted {
		progress := d.progress[wanted.ID]
		if wanted.OriginGap > 0 && (progress.Total == 0 || progress.Have < progress.Total) {
			next = min(next, wanted.OriginGap)
		}
	}
	return next
}

func (d *Distributor) stamp() plan.Stamp { return plan.Stamp{Now: time.Since(d.start)} }

// SetPeers replaces the hosts that are believed live.
func (d *Distributor) SetPeers(ctx context.Context, hosts []core.Host) {
	peers := make([]plan.Peer, 0, len(hosts))
	addresses := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		peers = append(peers, plan.Peer{Host: host.ID, FailureDomain: host.FailureDomain, Region: host.Region})
		addresses[host.ID] = host
	}
	d.mu.Lock()
	d.addresses = addresses
	d.mu.Unlock()
	d.loop.Post(ctx, plan.RosterChanged{Stamp: d.stamp(), Peers: peers})
}

// Want replaces the versions that the host has to hold, in order of priority. Chunks of other versions are dropped.
// Which chunks are held already is read from the store.
func (d *Distributor) Want(ctx context.Context, wanted []plan.Version) {
	kept := make([]weights.Manifest, 0, len(wanted))
	manifests := make(map[core.VersionID]weights.Manifest, len(wanted))
	for i := range wanted {
		kept = append(kept, wanted[i].Manifest)
		manifests[wanted[i].ID] = wanted[i].Manifest
	}
	d.mu.Lock()
	clear(d.progress)
	clear(d.maps)
	d.manifests = manifests
	d.mu.Unlock()
	d.options.Store.Retain(kept)
	for i := range wanted {
		wanted[i].Held = d.heldOf(wanted[i].Manifest)
	}
	d.mu.Lock()
	d.wanted = wanted // read by the ticker from here on
	d.mu.Unlock()
	d.loop.Post(ctx, plan.VersionsWanted{Stamp: d.stamp(), Versions: wanted})
}

func (d *Distributor) heldOf(manifest weights.Manifest) plan.Bitmap {
	held := plan.NewBitmap(len(manifest.Chunks))
	for i := range manifest.Chunks {
		held.Set(i)
	}
	for _, i := range d.options.Store.Missing(manifest) {
		held.Clear(i)
	}
	return held
}

// Changed is signalled after the progress of a version has changed.
func (d *Distributor) Changed() <-chan struct{} { return d.changed }

// Progress returns how far the version has come; false when it is not wanted.
func (d *Distributor) Progress(version core.VersionID) (plan.Progress, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	progress, ok := d.progress[version]
	return progress, ok
}

// Traffic counts the bytes of chunks and of control messages.
type Traffic struct{ Sent, Received, Control int64 }

// Traffic returns what has passed since the start.
func (d *Distributor) Traffic() Traffic {
	return Traffic{Sent: d.sent.Load(), Received: d.received.Load(), Control: d.control.Load()}
}
