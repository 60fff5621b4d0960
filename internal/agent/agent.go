// Package agent is the process in the slot of each endpoint host: the only way to the local back end. It admits
// attempts, keeps their outcomes, fetches and serves weights, and gives the engine its orders.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/suspect"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
	clients "github.com/lovageglade/lovageglade/platform"
)

// Agent is one agent process.
type Agent struct {
	settings    settings.Agent
	incarnation core.Incarnation
	logger      *log.Logger
	engine      backend.Engine
	origin      platform.Origin
	objects     platform.Objects
	node        *node.Runner
	peers       *rpc.Client
	table       *attempt.Table
	gate        *admission.Gate
	store       *weights.Store
	loader      *loader
	draining    atomic.Bool
	suspects    *suspect.Registry
	suspectTurn chan struct{} // held by the one suspect request that runs
	domainOut   bool          // of the last view, on the control thread
	running     work          // attempts at the back end
}

// New returns an agent that has not started.
func New(config settings.Agent) *Agent {
	services := clients.NewServices(config.Platform)
	a := &Agent{
		settings:    config,
		incarnation: core.NewIncarnation(),
		logger:      telemetry.NewLogger(config.LogLevel, config.Host.ID),
		engine:      backend.NewHTTP(config.BackendAddress),
		origin:      services,
		objects:     services,
		peers:       rpc.NewClient(),
		table:       attempt.NewTable(time.Now()),
		suspects:    suspect.NewRegistry(),
		suspectTurn: make(chan struct{}, 1),
		gate:        admission.NewGate(),
		store:       weights.NewStore(config.WeightsBytes),
	}
	self := wire.Record{Host: config.Host, Incarnation: a.incarnation, Phase: wire.PhaseStarting}
	a.node = node.NewRunner(self, core.RoleAgent, config.Seeds, services, a.peers, a.logger)
	a.engine = observed{Engine: a.engine, gate: a.gate}
	a.loader = newLoader(a)
	a.node.OnView = a.viewChanged
	telemetry.ShowLoad(a.load)
	a.node.RunningAttempts = a.work
	return a
}

// Run serves until the context ends, then shuts down gracefully: the requests under way end first, for at most the
// drain time, and attempts can be resolved until the last of them has.
func (a *Agent) Run(ctx context.Context) error {
	control, data, err := a.settings.Listen()
	if err != nil {
		return err
	}
	server := rpc.Serve(control, a.methods())
	defer server.Close()
	app := a.routes()
	inner, stop := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { a.node.Run(inner) })
	tasks.Go(func() { a.loader.run(inner) })
	tasks.Go(func() { a.sweep(inner) })
	tasks.Go(func() {
		_ = app.Listener(stream.NewListener(data, writeTimeout), fiber.ListenConfig{DisableStartupMessage: true})
	})
	a.logger.Info().Uint64("incarnation", uint64(a.incarnation)).Msg("agent started")
	<-ctx.Done()
	a.drain(inner, app)
	stop()
	tasks.Wait()
	a.peers.Close()
	a.logger.Info().Msg("agent stopped")
	return nil
}

func (a *Agent) drain(ctx context.Context, app *fiber.App) {
	a.draining.Store(true)
	a.node.Loop.Post(ctx, node.DrainStarted{})
	limit := time.Duration(a.settings.DrainS) * time.Second
	ended := make(chan struct{})
	go func() {
		a.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
		a.logger.Warn().Msg("drain time passed with attempts still running")
	}
	_ = app.ShutdownWithTimeout(limit)
}

func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.table.Sweep(now)
		}
	}
}

// viewChanged takes over what a new configuration says of this host.
func (a *Agent) viewChanged(view *node.View) {
	telemetry.ShowRecord(view.Self, len(view.Records))
	a.loader.see(view)
	if view.Snapshot == nil {
		return
	}
	service := view.Snapshot.ServiceForHost(a.settings.Host.ID)
	if service == nil {
		return
	}
	out := view.Snapshot.IsDomainOut(a.settings.Host.FailureDomain)
	if a.domainOut && !out {
		a.gate.ResetToCold() // the back end has grown cold while its failure domain was out
	}
	a.domainOut = out
	a.gate.SetBounds(admission.Bounds{Cold: service.Limits.Cold, Max: service.Limits.Max, Queue: service.Limits.Queue})
	a.loader.want(view.Snapshot.VersionForHost(a.settings.Host.ID))
}

// work counts the attempts at the back end and those that wait for it.
func (a *Agent) work() int {
	load := a.gate.Load()
	return load.Running + load.Queued
}

func (a *Agent) load() wire.Load {
	load := a.gate.Load()
	load.Generation = a.node.View().Self.Generation
	load.Incarnation = a.incarnation
	load.Mark = a.table.Mark(time.Now())
	return load
}
