// Package gateway is the process in front of endpoints on a platform that lists its endpoints in a service registry. It
// takes callers' requests, finds their route and workspace, picks an endpoint, and passes the answer on. Requests for
// model engines go through the sidecar of the engine, which alone knows what the engine bears; when the sidecar cannot
// be reached they go straight to the engine within a small share.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
)

// Gateway is one gateway process.
type Gateway struct {
	settings          settings.Gateway
	codec             call.Codec
	follower          *follow.Follower
	logger            *log.Logger
	pool              *dispatch.Pool
	placer            *placement.Placer
	sidecars          *sidecarTracker
	start             time.Time
	draining          atomic.Bool
	lastReportedReady atomic.Bool // what the balancer was told last

	mu           sync.Mutex
	retryBudgets map[core.Service]*retry.Budget
}

// New returns a gateway that has not started. The follower must be run beside it.
func New(config settings.Gateway, codec call.Codec, follower *follow.Follower, logger *log.Logger) *Gateway {
	return &Gateway{
		settings:     config,
		codec:        codec,
		follower:     follower,
		logger:       logger,
		pool:         dispatch.NewPool(),
		placer:       placement.NewPlacer(),
		sidecars:     newSidecarTracker(),
		start:        time.Now(),
		retryBudgets: make(map[core.Service]*retry.Budget),
	}
}

// now is the time since the gateway's start, on the steady clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// Run serves until the context ends, then shuts down gracefully within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	front, err := listen(g.settings.FrontAddress, "front")
	if err != nil {
		return err
	}
	ready, err := listen(g.settings.ReadyAddress, "readiness")
	if err != nil {
		return err
	}
	control, err := listen(g.settings.ControlAddress, "control")
	if err != nil {
		return err
	}
	methods := rpc.Serve(control, g.follower.Methods())
	defer methods.Close()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { g.follower.Run(runCtx) })
	readiness := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: readyTimeout}
	tasks.Go(func() { g.serve(readiness, ready) })
	server := g.frontServer()
	tasks.Go(func() { g.serve(server, front) })
	g.logger.Info().Str("front", g.settings.FrontAddress).Msg("gateway started")
	<-ctx.Done()
	g.drain(server)
	_ = readiness.Close() // nothing asks any more
	stop()
	tasks.Wait()
	g.pool.Close()
	g.logger.Info().Msg("gateway stopped")
	return nil
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		g.logger.Error().Err(err).Str("address", listener.Addr().String()).Msg("listener ended")
	}
}

func listen(address, name string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "the "+name+" address cannot be listened on", "correct it or end the process that holds it")
	}
	return listener, nil
}

// budget returns the budget of further sends to the service.
func (g *Gateway) retryBudget(service core.Service) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(g.settings.RetryShare*retryShareUsed, retryBurst)
		g.retryBudgets[service] = budget
	}
	return budget
}

const (
	// budgetUsed is the part of the allowed share that gateways use: what they earn and spend falls into other windows
	// than those in which it is judged.
	retryShareUsed = 0.7
	// budgetBurst is what one gateway may spend at once: the platform's slack for a window, over as many gateways as
	// the larger deployments have.
	retryBurst = 4
)
