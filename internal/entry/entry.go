// Package entry is the process on each entry host: it takes callers' requests, picks an endpoint, keeps track of each
// attempt's outcome and passes the answer on.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform"
)

const (
	progressTimeout = 4 * time.Second  // agents send a frame every second
	writeTimeout    = 10 * time.Second // for a caller to take a part of an answer
	connsPerAgent   = 512
)

// Entry is one entry process.
type Entry struct {
	settings settings.Entry
	logger   *log.Logger
	node     *node.Runner
	peers    *rpc.Client
	agents   *stream.Client
	inFlight *inFlight
	outcomes *outcomes
	draining atomic.Bool
	observer *observer
}

// New returns an entry that has not started.
func New(config settings.Entry) *Entry {
	services := platform.NewServices(config.Platform)
	e := &Entry{
		settings: config,
		logger:   telemetry.NewLogger(config.LogLevel, config.Host.ID),
		peers:    rpc.NewClient(),
		agents:   stream.NewClient(progressTimeout, connsPerAgent),
		inFlight: newInFlight(),
		outcomes: newOutcomes(services),
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
	app := e.routes()
	inner, stop := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { e.node.Run(inner) })
	tasks.Go(func() {
		_ = app.Listener(stream.NewListener(data, writeTimeout), fiber.ListenConfig{DisableStartupMessage: true})
	})
	e.logger.Info().Msg("entry started")
	<-ctx.Done()
	e.drain(inner, app)
	stop()
	tasks.Wait()
	e.peers.Close()
	e.logger.Info().Msg("entry stopped")
	return nil
}

// drain turns readiness off first, so that the balancer sends no more, and then waits for the requests under way.
func (e *Entry) drain(ctx context.Context, app *fiber.App) {
	e.draining.Store(true)
	e.node.Loop.Post(ctx, node.DrainStarted{})
	limit := time.Duration(e.settings.DrainS) * time.Second
	if err := app.ShutdownWithTimeout(limit); err != nil {
		e.logger.Warn().Err(err).Msg("drain time passed with requests still open")
	}
}
