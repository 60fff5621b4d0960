// Package gateway implements the gateway process, which routes callers' requests to endpoints on a platform that lists
// its endpoints in a service registry. The gateway matches a request to its route and workspace, picks an endpoint and
// forwards the answer. Requests for model engines go through the engine's sidecar, which limits the load of the engine.
// While a sidecar is unreachable, the gateway sends its engine a small number of requests directly.
package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/where"
)

// Gateway is one gateway process.
type Gateway struct {
	settings          settings.Gateway
	codec             call.Codec
	follower          *follow.Follower
	logger            *log.Logger
	pool              *dispatch.Pool
	kept              *budget.Budget // for long heads and events of endpoints
	placer            *placement.Placer
	sidecars          *sidecarTracker
	proven            provenLoads
	rates             *rateShare
	turns             *turnShare
	quarantine        *quarantine.Ledger
	spreader          *quarantine.Spreader
	archive           *quarantine.Archive // nil if this gateway keeps none
	crashes           *crashDetectors
	start             time.Duration // on the boot clock
	draining          atomic.Bool
	graceExpired      atomic.Bool // open connections are being closed
	open              graceful.OpenRequests
	guard             *ingress.Guard              // of the callers' connections
	stop              atomic.Pointer[plannedStop] // nil until the gateway is told to stop
	invalidLoads      sync.Map                    // services of which an invalid load report has been logged
	requiredVersions  sync.Map                    // by model: the newest version of which logRequiredVersion has told
	lastReportedReady atomic.Bool                 // the last answer to the load balancer's readiness check

	mu           sync.Mutex
	retryBudgets map[core.Service]*retry.Budget
}

// New returns a gateway that has not started. Run runs the follower as well.
func New(config settings.Gateway, codec call.Codec, follower *follow.Follower, logger *log.Logger) *Gateway {
	ledger := quarantine.NewLedger(config.Host, bootclock.Now)
	ledger.OnVerdict = quarantine.LogVerdicts(logger)
	group := newDelegateGroup(config.ControlAddress, config.Delegates)
	g := &Gateway{
		quarantine:   ledger,
		spreader:     quarantine.NewSpreader(ledger, config.ControlAddress, config.Delegates, logger),
		crashes:      newCrashDetectors(ledger, logger),
		settings:     config,
		codec:        codec,
		follower:     follower,
		logger:       logger,
		pool:         dispatch.NewPool(),
		placer:       placement.NewPlacer(),
		sidecars:     newSidecarTracker(),
		rates:        newRateShare(group),
		turns:        newTurnShare(group, logger),
		start:        bootclock.Now(),
		retryBudgets: make(map[core.Service]*retry.Budget),
	}
	g.pool.MaxIdle = int(dispatch.IdleShare * float64(config.Descriptors()))
	g.kept = budget.New(int64(budget.AnswerShare * float64(config.MemoryBytes())))
	g.pool.Heads = g.kept
	g.guard = g.newGuard()
	return g
}

// ElectGranter has all gateways ask one of them for permissions, which a row of the tables names, in place of delegates that the
// settings of some gateways may not name. It must be called before Run.
func (g *Gateway) ElectGranter(tables platform.Tables) {
	g.rates.group.election = newGranterElection(g.settings.ControlAddress, tables, g.logger)
	g.spreader.FindFallback = g.rates.group.findGranter
}

// now returns the time since the gateway's start, including time in which the machine was suspended.
func (g *Gateway) now() time.Duration { return bootclock.Now() - g.start }

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
	methods := rpc.Serve(control, g.controlMethods())
	defer methods.Close()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { g.follower.Run(runCtx) })
	tasks.Go(func() { g.shareCrashes(runCtx) })
	readiness := g.readyServer()
	tasks.Go(func() { g.logServeEnd(readiness.Serve(ready), ready) })
	server := graceful.NewServer(g.frontServer(), front)
	server.Limit(g.guard)
	telemetry.PublishHeld(g.guard.Held)
	tasks.Go(func() { g.guard.Run(runCtx.Done()) })
	tasks.Go(func() { g.logServeEnd(server.Serve(), front) })
	g.logger.Info().Str("front", g.settings.FrontAddress).Msg("gateway started")
	<-ctx.Done()
	exitBy := time.Now().Add(g.settings.GraceMs.Duration() - graceful.LogTime)
	g.drain(server)
	_ = readiness.Close() // the load balancer no longer checks it
	stop()
	graceful.WaitForTasks(&tasks, exitBy, g.logger)
	g.pool.Close()
	g.rates.group.peers.Close()
	g.logger.Info().Msg("gateway stopped")
	return nil
}

// controlMethods returns the methods that the gateway serves on its control address, by name.
func (g *Gateway) controlMethods() map[string]rpc.Method {
	methods := g.follower.Methods()
	maps.Copy(methods, g.spreader.Methods())
	methods[methodTakeRate] = rpc.Handle(func(ctx context.Context, request takeRateRequest) (takeRateResponse, error) {
		return g.rates.serve(ctx, request, g.now()), nil
	})
	methods[methodCheckGranter] = rpc.Handle(func(ctx context.Context, request checkRequest) (checkResponse, error) {
		return checkResponse{Elsewhere: g.rates.group.mayGrant(ctx, request.Term)}, nil
	})
	methods[where.Method] = rpc.Handle(func(ctx context.Context, question where.Question) (where.Answer, error) {
		return g.explainWhere(ctx, question), nil
	})
	methods[methodTakeTurn] = rpc.Handle(func(ctx context.Context, request turnRequest) (turnResponse, error) {
		return g.turns.serve(ctx, request), nil
	})
	methods[methodEndTurn] = rpc.Handle(func(_ context.Context, request turnRequest) (struct{}, error) {
		g.turns.end(request)
		return struct{}{}, nil
	})
	return methods
}

func (g *Gateway) logServeEnd(err error, listener net.Listener) {
	if err != nil && err != http.ErrServerClosed {
		g.logger.Error().Err(err).Str("address", listener.Addr().String()).Msg("listener failed")
	}
}

func listen(address, name string) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot listen on the "+name+" address", "correct the address or stop the process that uses it")
	}
	return listener.(*net.TCPListener), nil
}

// retryBudget returns the service's budget for retries, and creates it on first use.
func (g *Gateway) retryBudget(service core.Service) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(g.settings.RetryRatio*retryShareUsed, retryBurst)
		g.retryBudgets[service] = budget
	}
	return budget
}

const (
	// retryShareUsed is the part of the allowed retry share that gateways use. The windows in which the platform measures
	// retries differ from those in which a gateway earns and spends its budget, so some of the share is kept free.
	retryShareUsed = 0.7
	// retryBurst is how many retries one gateway may make at once: the burst that the platform tolerates in a window,
	// divided by the number of gateways in a large deployment.
	retryBurst = 4
)
