package distribution

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const awaitTimeout = 2 * time.Minute

// fakeOrigin serves ranges of one object at a limited rate.
type fakeOrigin struct {
	raw          []byte
	pacer        *pacer
	servedBytes  atomic.Int64
	down         atomic.Bool
	corruptReads atomic.Int64 // number of further reads to corrupt
	refusedReads atomic.Int64 // reads refused while the origin was down
}

// FetchRange implements platform.Origin.
func (o *fakeOrigin) FetchRange(ctx context.Context, _ string, offset, length int64) ([]byte, error) {
	if o.down.Load() {
		o.refusedReads.Add(1)
		return nil, fault.New(fault.PlatformUnavailable, "the origin is unavailable", "try again")
	}
	if err := o.pacer.wait(ctx, int(length)); err != nil {
		return nil, err
	}
	o.servedBytes.Add(length)
	chunk := append([]byte(nil), o.raw[offset:offset+length]...)
	if o.corruptReads.Add(-1) >= 0 {
		chunk[0] ^= 0xff
	}
	return chunk, nil
}

// member is a host of the fleet with its servers.
type member struct {
	host        core.Host
	distributor *Distributor
	store       *weights.Store
	app         *fiber.App
	control     *rpc.Server
	stop        context.CancelFunc
	done        chan struct{}
}

// fleet is a set of distributors that communicate over loopback sockets.
type fleet struct {
	t        testing.TB
	origin   *fakeOrigin
	version  core.VersionID
	manifest weights.Manifest
	members  []*member
	peers    *rpc.Client
}

type fleetConfig struct {
	hosts, chunks        int
	chunkBytes           int64
	linkRate, originRate int64
	limits               func(*plan.Limits)
	chunkHandlers        map[int]fiber.Handler // handlers that replace HandleChunk, by host index
	announceAll          map[int]bool          // hosts that announce every chunk, by index
}

func newFleet(t testing.TB, config fleetConfig) *fleet {
	t.Helper()
	raw := make([]byte, int64(config.chunks)*config.chunkBytes)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(raw)
	f := &fleet{t: t, origin: &fakeOrigin{raw: raw, pacer: newPacer(config.originRate)}, peers: rpc.NewClient()}
	f.manifest = weights.NewManifest("brief", "brief-v1", raw, config.chunkBytes)
	_, version, err := f.manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.version = version
	for i := range config.hosts {
		f.add(i, config)
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) add(i int, config fleetConfig) {
	f.t.Helper()
	data, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	domain := i % 5
	region := core.Region("r0")
	if domain >= 3 {
		region = "r1"
	}
	m := &member{store: weights.NewStore(2 * f.manifest.SizeBytes), done: make(chan struct{})}
	m.host = core.Host{
		ID: core.HostID(fmt.Sprintf("h%02d", i)), Role: core.RoleAgent, Region: region,
		FailureDomain: core.FailureDomain(fmt.Sprintf("d%d", domain)),
		DataAddress:   data.Addr().String(), ControlAddress: control.Addr().String(),
	}
	limits := plan.DefaultLimits()
	limits.OriginRegion = "r0"
	limits.CrossRegionBytesPerS = config.originRate
	if config.limits != nil {
		config.limits(&limits)
	}
	m.distributor = New(Options{
		Self: m.host, Store: m.store, Origin: f.origin, Peers: f.peers, Limits: limits,
		Logger: &log.Logger{Level: log.ErrorLevel}, LinkBytesPerS: config.linkRate, Seed: uint64(i) + 1,
	})
	handle := m.distributor.HandleChunk
	if config.chunkHandlers[i] != nil {
		handle = config.chunkHandlers[i]
	}
	methods := m.distributor.Methods()
	if config.announceAll[i] {
		methods[wire.MethodChunkMap] = rpc.Handle(f.announceAllChunks(m.host.ID))
	}
	m.app = fiber.New()
	m.app.Get(wire.PathChunks+":digest", handle)
	m.control = rpc.Serve(control, methods)
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go func() { _ = m.app.Listener(data, fiber.ListenConfig{DisableStartupMessage: true}) }()
	go func() {
		m.distributor.Run(ctx)
		close(m.done)
	}()
	f.members = append(f.members, m)
}

func (f *fleet) announceAllChunks(id core.HostID) func(context.Context, wire.ChunkMap) (wire.ChunkMap, error) {
	return func(_ context.Context, request wire.ChunkMap) (wire.ChunkMap, error) {
		have := plan.NewBitmap(len(f.manifest.Chunks))
		for i := range f.manifest.Chunks {
			have.Set(i)
		}
		return wire.ChunkMap{Host: id, Version: request.Version, Have: have.Bytes()}, nil
	}
}

// start sets every host's peers and makes it want the version.
func (f *fleet) start() {
	f.updatePeers()
	for _, m := range f.members {
		m.distributor.SetVersions(context.Background(), []plan.Version{{ID: f.version, Manifest: f.manifest}})
	}
}

func (f *fleet) updatePeers() {
	var hosts []core.Host
	for _, m := range f.members {
		hosts = append(hosts, m.host)
	}
	for _, m := range f.members {
		m.distributor.SetPeers(context.Background(), hosts)
	}
}

// kill stops a host and removes it from the peers of the others.
func (f *fleet) kill(i int) {
	m := f.members[i]
	m.shutdown()
	f.members = append(f.members[:i:i], f.members[i+1:]...)
	f.updatePeers()
}

func (m *member) shutdown() {
	m.stop()
	m.control.Close()
	_ = m.app.ShutdownWithTimeout(100 * time.Millisecond)
	<-m.done
}

func (f *fleet) close() {
	var tasks conc.WaitGroup
	for _, m := range f.members {
		tasks.Go(m.shutdown)
	}
	tasks.Wait()
	f.peers.Close()
}

// awaitShare waits until the hosts have verified at least the given share of their chunks.
func (f *fleet) awaitShare(share float64) {
	f.t.Helper()
	f.awaitCondition(func() bool { return f.verifiedShare() >= share })
}

func (f *fleet) awaitCondition(condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("the condition never held; the verified share of the chunks is %.3f", f.verifiedShare())
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (f *fleet) verifiedShare() float64 {
	missing := 0
	for _, m := range f.members {
		missing += len(m.store.Missing(f.manifest))
	}
	return 1 - float64(missing)/float64(len(f.members)*len(f.manifest.Chunks))
}

// checkStoredBytes compares the weights that every host has stored with those of the origin.
func (f *fleet) checkStoredBytes() {
	f.t.Helper()
	want := sha256.Sum256(f.origin.raw)
	for _, m := range f.members {
		sum := sha256.New()
		for _, digest := range f.manifest.Chunks {
			sum.Write(m.store.Get(digest))
		}
		if [32]byte(sum.Sum(nil)) != want {
			f.t.Errorf("%s stored other bytes than the origin has", m.host.ID)
		}
	}
}

func (f *fleet) originCopies() float64 {
	return float64(f.origin.servedBytes.Load()) / float64(f.manifest.SizeBytes)
}
