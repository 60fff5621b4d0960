// Package agent implements the process on each endpoint host, through which all requests to the local back end
// pass. It admits attempts, stores their outcomes, downloads and uploads weights, and controls the engine.
package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/suspect"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
	clients "github.com/lovageglade/lovageglade/platform"
)

// Agent is an agent process.
type Agent struct {
	settings     settings.Agent
	incarnation  core.Incarnation
	logger       *log.Logger
	engine       backend.Engine
	origin       platform.Origin
	objects      platform.Objects
	node         *node.Runner
	peers        *rpc.Client
	attemptTable *attempt.Table
	gate         *admission.Gate
	store        *weights.Store
	loader       *loader
	draining     atomic.Bool
	suspects     *suspect.Registry
	suspectSlot  chan struct{} // semaphore: one suspect request runs at a time
	domainOut    bool          // the failure domain was out of service in the last view; used only on the control goroutine
	attemptTasks taskGroup     // attempts being admitted or run
}

// New returns an agent that has not been started.
func New(config settings.Agent) *Agent {
	services := clients.NewServices(config.Platform)
	a := &Agent{
		settings:     config,
		incarnation:  core.NewIncarnation(),
		logger:       telemetry.NewLogger(config.LogLevel, config.Host.ID),
		engine:       backend.NewHTTP(config.BackendAddress),
		origin:       services,
		objects:      services,
		peers:        rpc.NewClient(),
		attemptTable: attempt.NewTable(time.Now()),
		suspects:     suspect.NewRegistry(),
		suspectSlot:  make(chan struct{}, 1),
		gate:         admission.NewGate(),
		store:        weights.NewStore(config.WeightsBytes),
	}
	self := wire.Record{Host: config.Host, Incarnation: a.incarnation, Phase: wire.PhaseStarting}
	a.node = node.NewRunner(self, core.RoleAgent, config.Seeds, services, a.peers, a.logger)
	a.engine = observedEngine{Engine: a.engine, gate: a.gate}
	a.loader = newLoader(a)
	a.node.OnView = a.viewChanged
	telemetry.PublishLoad(a.load)
	a.node.RunningAttempts = a.activeAttempts
	return a
}

// Run serves until the context ends, then shuts down gracefully: it waits for running attempts, at most for the
// drain time, and lets entries resolve attempts until the last one has ended.
func (a *Agent) Run(ctx context.Context) error {
	control, data, err := a.settings.Listen()
	if err != nil {
		return err
	}
	server := rpc.Serve(control, a.methods())
	defer server.Close()
	front := graceful.NewFiberServer(a.routes(), data.(*net.TCPListener), writeTimeout)
	options := ingress.RelayShares.Of(a.settings.Resources)
	options.BodyCopies = bodyCopies
	options.SocketBytes = 0 // chunks of weights are served on the same address
	guard := ingress.NewGuard(options)
	front.Limit(guard)
	telemetry.PublishHeld(guard.Held)
	serveCtx, stop := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { guard.Run(serveCtx.Done()) })
	tasks.Go(func() { a.node.Run(serveCtx) })
	tasks.Go(func() { a.loader.run(serveCtx) })
	tasks.Go(func() { a.sweep(serveCtx) })
	tasks.Go(func() {
		if err := front.Serve(); err != nil {
			a.logger.Error().Err(err).Msg("listener failed")
		}
	})
	a.logger.Info().Uint64("incarnation", uint64(a.incarnation)).Msg("agent started")
	<-ctx.Done()
	guard.Stop(time.Now().Add(lateBodyTime))
	a.drain(serveCtx, front)
	stop()
	tasks.Wait()
	a.peers.Close()
	a.logger.Info().Msg("agent stopped")
	return nil
}

func (a *Agent) drain(ctx context.Context, front *graceful.Server) {
	a.draining.Store(true)
	a.node.Loop.Post(ctx, node.DrainStarted{})
	timeout := time.Duration(a.settings.DrainS) * time.Second
	finished := make(chan struct{})
	go func() {
		a.attemptTasks.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(timeout):
		a.logger.Warn().Msg("drain time elapsed with attempts still running")
	}
	drainCtx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	if err := front.Shutdown(drainCtx); err != nil {
		a.logger.Warn().Err(err).Msg("drain time elapsed with connections still in use")
		_ = front.Close() // its error is that of the shutdown
	}
}

func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.attemptTable.Sweep(now)
		}
	}
}

// viewChanged applies a new view: the limits and the target version of this host. It is called on the control
// goroutine.
func (a *Agent) viewChanged(view *node.View) {
	telemetry.PublishRecord(view.Self, len(view.Records))
	a.loader.setView(view)
	if view.Snapshot == nil {
		return
	}
	service := view.Snapshot.ServiceForHost(a.settings.Host.ID)
	if service == nil {
		return
	}
	out := view.Snapshot.IsDomainOut(a.settings.Host.FailureDomain)
	if a.domainOut && !out {
		a.gate.ResetToCold() // it got no requests while its failure domain was out of service and is cold again
	}
	a.domainOut = out
	a.gate.SetBounds(admission.Bounds{Cold: service.Limits.Cold, Max: service.Limits.Max, Queue: service.Limits.Queue})
	a.loader.setTarget(view.Snapshot.VersionForHost(a.settings.Host.ID))
}

// activeAttempts returns the number of attempts that run at the back end or wait for it.
func (a *Agent) activeAttempts() int {
	load := a.gate.Load()
	return load.Running + load.Queued
}

func (a *Agent) load() wire.Load {
	load := a.gate.Load()
	load.Generation = a.node.View().Self.Generation
	load.Incarnation = a.incarnation
	load.Mark = a.attemptTable.Mark(time.Now())
	return load
}
