// Package entry implements the process on each entry host. It accepts callers' requests, picks an endpoint for
// each, tracks the outcome of every attempt and returns the answer to the caller.
package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform"
)

const (
	progressTimeout = 4 * time.Second  // without a frame; agents send at least one per second
	writeTimeout    = 10 * time.Second // per write to a caller
	connsPerAgent   = 512
	bodyCopies      = 4           // of a body: as read, of the request, and encoded for an agent
	lateBodyTime    = time.Second // from the signal to stop, for bodies that have begun to arrive by then
)

// Entry is an entry process.
type Entry struct {
	settings     settings.Entry
	logger       *log.Logger
	node         *node.Runner
	peers        *rpc.Client
	agents       *stream.Client
	answers      *budget.Budget
	routingState *routingState
	outcomeState *outcomeState
	draining     atomic.Bool
	observer     *observer
}

// New returns an entry that has not been started.
func New(config settings.Entry) *Entry {
	services := platform.NewServices(config.Platform)
	e := &Entry{
		settings:     config,
		logger:       telemetry.NewLogger(config.LogLevel, config.Host.ID),
		peers:        rpc.NewClient(),
		agents:       stream.NewClient(progressTimeout, connsPerAgent),
		answers:      newAnswerBudget(config.Resources),
		routingState: newRoutingState(),
		outcomeState: newOutcomeState(services),
	}
	self := wire.Record{Host: config.Host, Incarnation: core.NewIncarnation(), Phase: wire.PhaseStarting}
	e.node = node.NewRunner(self, core.RoleAgent, config.Seeds, services, e.peers, e.logger)
	e.observer = newObserver(e.logger)
	e.node.OnView = e.observer.viewChanged
	return e
}

// Run serves until the context ends, then shuts down gracefully within the drain time.
func (e *Entry) Run(ctx context.Context) error {
	control, data, err := e.settings.Listen()
	if err != nil {
		return err
	}
	server := rpc.Serve(control, e.methods())
	defer server.Close()
	front := graceful.NewFiberServer(e.routes(), data.(*net.TCPListener), writeTimeout)
	options := ingress.CallerShares.Of(e.settings.Resources)
	options.BodyCopies = bodyCopies
	guard := ingress.NewGuard(options)
	front.Limit(guard)
	telemetry.PublishHeld(guard.Held)
	serveCtx, stop := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { guard.Run(serveCtx.Done()) })
	tasks.Go(func() { e.node.Run(serveCtx) })
	tasks.Go(func() {
		if err := front.Serve(); err != nil {
			e.logger.Error().Err(err).Msg("listener failed")
		}
	})
	e.logger.Info().Msg("entry started")
	<-ctx.Done()
	guard.Stop(time.Now().Add(lateBodyTime))
	e.drain(serveCtx, front)
	stop()
	tasks.Wait()
	e.peers.Close()
	e.logger.Info().Msg("entry stopped")
	return nil
}

// drain first reports not ready, so that the load balancer stops sending requests, and then waits for open
// requests, at most for the drain time.
func (e *Entry) drain(ctx context.Context, front *graceful.Server) {
	e.draining.Store(true)
	e.node.Loop.Post(ctx, node.DrainStarted{})
	timeout := time.Duration(e.settings.DrainS) * time.Second
	drainCtx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	if err := front.Shutdown(drainCtx); err != nil {
		e.logger.Warn().Err(err).Msg("drain time elapsed with requests still open")
		_ = front.Close() // its error is that of the shutdown
	}
}
