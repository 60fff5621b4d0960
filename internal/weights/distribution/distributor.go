// Package distribution downloads the chunks of versions to a host and uploads them to its peers. It performs the network
// operations that package plan decides on. Chunks are sent over HTTP between the data addresses of hosts. Chunk maps,
// the sets of chunks that each host has, are exchanged by JSON-RPC.
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
	maxTickInterval         = 250 * time.Millisecond // used unless the origin interval of a wanted version is shorter
	peerReadTimeout         = 10 * time.Second       // longest time without a byte from a peer
	maxConnsPerPeer         = 4
	chunkMapExchangeTimeout = 2 * time.Second
	uploadDecisionTimeout   = 5 * time.Second // for the planner to admit or refuse an upload
)

// Options configures a Distributor.
type Options struct {
	Self          core.Host
	Store         *weights.Store
	Origin        platform.Origin // unused if ChunkOrigin is set
	ChunkOrigin   ChunkOrigin
	Peers         *rpc.Client
	Logger        *log.Logger
	Limits        plan.Limits
	LinkBytesPerS int64 // limit for weights in each direction; 0 means unlimited
	Seed          uint64
}

// ChunkOrigin is an origin that serves whole chunks by their indices.
type ChunkOrigin interface {
	FetchChunk(ctx context.Context, object string, index int) ([]byte, error)
}

// Distributor fetches the versions that a host has to hold and serves their chunks to its peers.
type Distributor struct {
	options   Options
	loop      *reduce.Loop
	planner   *plan.Planner
	client    *stream.Client
	uplink    *pacer
	downlink  *pacer
	startTime time.Time
	changed   chan struct{} // signalled when the progress of a version changes

	mu              sync.Mutex
	hosts           map[core.HostID]core.Host
	manifests       map[core.VersionID]weights.Manifest
	wanted          []plan.Version
	progress        map[core.VersionID]plan.Progress
	cancelFetches   map[plan.FetchID]context.CancelFunc
	uploadDecisions map[plan.UploadID]chan plan.Result
	chunkMaps       map[core.VersionID]plan.Bitmap

	lastUploadID  atomic.Uint64
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	controlBytes  atomic.Int64
}

// New returns a distributor. Run starts it.
func New(options Options) *Distributor {
	d := &Distributor{
		options:         options,
		client:          stream.NewClient(peerReadTimeout, maxConnsPerPeer),
		uplink:          newPacer(options.LinkBytesPerS),
		downlink:        newPacer(options.LinkBytesPerS),
		startTime:       time.Now(),
		changed:         make(chan struct{}, 1),
		hosts:           make(map[core.HostID]core.Host),
		manifests:       make(map[core.VersionID]weights.Manifest),
		progress:        make(map[core.VersionID]plan.Progress),
		cancelFetches:   make(map[plan.FetchID]context.CancelFunc),
		uploadDecisions: make(map[plan.UploadID]chan plan.Result),
		chunkMaps:       make(map[core.VersionID]plan.Bitmap),
	}
	self := plan.Peer{Host: options.Self.ID, FailureDomain: options.Self.FailureDomain, Region: options.Self.Region}
	d.planner = plan.New(self, options.Limits, options.Seed)
	d.loop = reduce.NewLoop(d.planner.Step, d.apply, d.perform)
	return d
}

// Run runs the distributor until the context is cancelled.
func (d *Distributor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(func() { d.runTicker(ctx) })
	d.loop.Run(ctx)
	tasks.Wait()
}

func (d *Distributor) runTicker(ctx context.Context) {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			d.loop.Post(ctx, plan.Tick{Timestamp: d.timestamp()})
			timer.Reset(d.nextTickInterval())
		}
	}
}

// nextTickInterval returns the time until the next tick. While chunks are missing, it is no longer than the origin
// interval of any wanted version, so that each chunk can be fetched as soon as it is due.
func (d *Distributor) nextTickInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := maxTickInterval
	for _, wanted := range d.wanted {
		progress := d.progress[wanted.ID]
		if wanted.OriginInterval > 0 && (progress.Total == 0 || progress.Have < progress.Total) {
			interval = min(interval, wanted.OriginInterval)
		}
	}
	return interval
}

func (d *Distributor) timestamp() plan.Timestamp { return plan.Timestamp{Now: time.Since(d.startTime)} }

// SetPeers replaces the set of hosts that are considered live. It may include this host.
func (d *Distributor) SetPeers(ctx context.Context, hosts []core.Host) {
	peers := make([]plan.Peer, 0, len(hosts))
	byID := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		peers = append(peers, plan.Peer{Host: host.ID, FailureDomain: host.FailureDomain, Region: host.Region})
		byID[host.ID] = host
	}
	d.mu.Lock()
	d.hosts = byID
	d.mu.Unlock()
	d.loop.Post(ctx, plan.PeersChanged{Timestamp: d.timestamp(), Peers: peers})
}

// SetVersions replaces the versions that the host has to hold, in order of priority. It removes the chunks of all other
// versions from the store and sets Have of each wanted version from what the store contains.
func (d *Distributor) SetVersions(ctx context.Context, wanted []plan.Version) {
	retained := make([]weights.Manifest, 0, len(wanted))
	manifests := make(map[core.VersionID]weights.Manifest, len(wanted))
	for i := range wanted {
		retained = append(retained, wanted[i].Manifest)
		manifests[wanted[i].ID] = wanted[i].Manifest
	}
	d.mu.Lock()
	clear(d.progress)
	clear(d.chunkMaps)
	d.manifests = manifests
	d.mu.Unlock()
	d.options.Store.Retain(retained)
	for i := range wanted {
		wanted[i].Have = d.storedChunks(wanted[i].Manifest)
	}
	d.mu.Lock()
	d.wanted = wanted // shared with the ticker from here on
	d.mu.Unlock()
	d.loop.Post(ctx, plan.VersionsChanged{Timestamp: d.timestamp(), Versions: wanted})
}

func (d *Distributor) storedChunks(manifest weights.Manifest) plan.Bitmap {
	have := plan.NewBitmap(len(manifest.Chunks))
	for i := range manifest.Chunks {
		have.Set(i)
	}
	for _, i := range d.options.Store.Missing(manifest) {
		have.Clear(i)
	}
	return have
}

// Changed returns a channel that is signalled after the progress of a version has changed. Signals are coalesced.
func (d *Distributor) Changed() <-chan struct{} { return d.changed }

// Progress returns the progress of the version, and whether any has been recorded for it.
func (d *Distributor) Progress(version core.VersionID) (plan.Progress, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	progress, ok := d.progress[version]
	return progress, ok
}

// Traffic counts the bytes of chunks sent and received, and the estimated bytes of control messages in both directions.
type Traffic struct{ SentBytes, ReceivedBytes, ControlBytes int64 }

// Traffic returns the totals since the distributor was created.
func (d *Distributor) Traffic() Traffic {
	return Traffic{SentBytes: d.sentBytes.Load(), ReceivedBytes: d.receivedBytes.Load(), ControlBytes: d.controlBytes.Load()}
}
