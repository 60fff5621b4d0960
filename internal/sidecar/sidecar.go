// Package sidecar implements the sidecar process that runs next to each model engine on a platform that lists its endpoints
// in a service registry. The sidecar limits the requests at its engine to the engine's slots. It fetches the weights of
// requested versions from the origin and from the sidecars of other engines, and orders its engine to load them.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/granter"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/distribution"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	idleTimeout      = 30 * time.Second // longer than gateways keep an idle connection
	gatewayHeadBytes = 16 << 10         // that gateways add to a caller's head, at most
	exitMargin       = 500 * time.Millisecond
	lateBodyTime     = time.Second // from the signal to stop, for bodies that have begun to arrive by then
	chunkStoreBytes  = 32 << 20    // memory for chunks; fits several versions of a model
	bitsPerByte      = 8
	bytesPerMbit     = 1_000_000 / bitsPerByte
	weightsLinkShare = 0.95 // of the link; requests and control messages need little bandwidth
	// findGranterTimeout is the time-out of the read of the row that names the granter.
	findGranterTimeout = time.Second
)

// Sidecar is one sidecar process.
type Sidecar struct {
	settings       settings.Sidecar
	codec          call.Codec
	follower       *follow.Follower
	engine         Engine
	origin         Origin
	logger         *log.Logger
	gate           *admission.Gate
	prompts        admission.PrefillTracker
	speed          engineSpeed
	forecastErrors admission.ForecastErrors // of first events
	invalidLoad    sync.Once                // logs the first invalid load report
	coldRate       admission.ColdRateLimiter
	withdrawal     withdrawal
	registryLeaves atomic.Bool // the registry lists the engine as draining
	statedRate     admission.StatedRate
	rateLimiter    admission.RateLimiter
	crashes        *quarantine.Detector
	quarantine     *quarantine.Ledger
	spreader       *quarantine.Spreader
	pool           *dispatch.Pool
	peerClient     *rpc.Client
	store          *weights.Store
	distributor    *distribution.Distributor
	provenLoad     atomic.Pointer[wire.ProvenLoad] // of the engine; nil if there is none
	servingVersion atomic.Int64                    // version that the engine serves; 0 while it must not take requests
	drainDeadline  atomic.Int64                    // boot clock in nanoseconds by which the engine must have no requests so that it can load; 0 for none
	serveDeadline  atomic.Int64                    // boot clock in nanoseconds from which the served version takes no requests; 0 for none
	engineStart    atomic.Int64                    // start of the engine by its last report, in milliseconds since the Unix epoch; 0 if unknown
	viewUpdated    chan struct{}
	orders         orderGate
	open           graceful.OpenRequests
	guard          *ingress.Guard // of the gateways' connections
	unbegun        unbegunCalls
	graceExpired   atomic.Bool // open connections are being closed

	inheritedOrderTime time.Duration // the constant of that name, except in tests

	manifestsMu sync.Mutex
	manifests   map[manifestRequest]weights.Manifest // manifests from the origin, served to peers
}

// New returns a sidecar that has not started.
func New(config settings.Sidecar, codec call.Codec, follower *follow.Follower, engine Engine, origin Origin, logger *log.Logger) *Sidecar {
	s := &Sidecar{
		settings:    config,
		codec:       codec,
		follower:    follower,
		engine:      engine,
		origin:      origin,
		logger:      logger,
		gate:        admission.NewGate(),
		pool:        dispatch.NewPool(),
		peerClient:  rpc.NewClient(),
		store:       weights.NewStore(chunkStoreBytes),
		viewUpdated: make(chan struct{}, 1),
		manifests:   make(map[manifestRequest]weights.Manifest),

		inheritedOrderTime: inheritedOrderTime,
	}
	s.pool.MaxIdle = int(dispatch.IdleShare * float64(config.Descriptors()))
	s.pool.Heads = budget.New(int64(budget.AnswerShare * float64(config.MemoryBytes())))
	s.guard = s.newGuard()
	s.distributor = distribution.New(distribution.Options{
		Self:          s.hostOf(config.Address, config.FailureDomain, config.Region),
		Store:         s.store,
		ChunkOrigin:   &originChunks{sidecar: s},
		Peers:         s.peerClient,
		Logger:        logger,
		Limits:        plan.BurstLimits(),
		LinkBytesPerS: int64(config.LinkMbps * bytesPerMbit * weightsLinkShare),
		Seed:          rand.Uint64(),
	})
	s.crashes = quarantine.NewDetector(config.EngineAddress, s.engineCrashed)
	s.quarantine = quarantine.NewLedger(config.Host, bootclock.Now)
	s.quarantine.OnVerdict = quarantine.LogVerdicts(logger)
	s.spreader = quarantine.NewSpreader(s.quarantine, "", config.Delegates, logger)
	follower.OnChange = s.viewChanged
	return s
}

// FindGranter has the sidecar exchange crashes with the gateway that a row of the tables names as the granter while no delegate answers. It
// must be called before Run.
func (s *Sidecar) FindGranter(tables platform.Tables) {
	s.spreader.FindFallback = func(ctx context.Context) string {
		ctx, cancel := context.WithTimeout(ctx, findGranterTimeout)
		defer cancel()
		address, err := granter.Find(ctx, tables)
		if err != nil {
			s.logger.Debug().Err(err).Msg("granter not found")
		}
		return address
	}
}

// hostOf returns the sidecar at the address. Each host runs one sidecar.
func (s *Sidecar) hostOf(address string, domain core.FailureDomain, region core.Region) core.Host {
	return core.Host{
		ID:             core.HostID(address),
		Role:           core.RoleAgent,
		FailureDomain:  domain,
		Region:         region,
		DataAddress:    net.JoinHostPort(address, strconv.Itoa(s.settings.ChunkPort())),
		ControlAddress: net.JoinHostPort(address, strconv.Itoa(s.settings.ControlPort())),
	}
}

// viewChanged applies a new view to admission and wakes the updater. It runs on the follower's control goroutine.
func (s *Sidecar) viewChanged(view *catalog.View) {
	if view.Index != nil {
		if service := view.Service(s.settings.Service); service != nil && service.Engine != nil {
			slots := service.Engine.Slots
			s.gate.SetBounds(admission.Bounds{Cold: slots, Max: slots, MemoryTokens: memoryShareOf(service.Engine)})
			s.prompts.SetCostModel(costModelOf(service.Engine))
			s.coldRate.SetCold(s.coldUntil(view), service.ColdPerSecond, bootclock.Now())
		}
	}
	if leaves := s.isDraining(view); s.registryLeaves.Swap(leaves) != leaves {
		s.logWithdrawal()
	}
	select {
	case s.viewUpdated <- struct{}{}:
	default:
	}
}

// coldUntil returns the boot clock time until which this sidecar's engine is cold; 0 if it is not.
func (s *Sidecar) coldUntil(view *catalog.View) time.Duration {
	var until time.Duration
	for _, endpoint := range view.RegisteredEndpoints(s.settings.Service) {
		if endpoint.Address == s.settings.EngineAddress {
			until = max(until, endpoint.ColdUntil)
		}
	}
	return until
}

// isDraining reports whether the registry lists this sidecar's engine, and only as draining.
// While the registry does not list the engine, the last state stays.
func (s *Sidecar) isDraining(view *catalog.View) bool {
	draining := s.registryLeaves.Load()
	for _, endpoint := range view.RegisteredEndpoints(s.settings.Service) {
		if endpoint.Address != s.settings.EngineAddress {
			continue
		}
		if !endpoint.Draining {
			return false // an incarnation that has started since
		}
		draining = true
	}
	return draining
}

func costModelOf(engine *catalog.Engine) admission.CostModel {
	return admission.CostModel{
		BaseTokenTime:          engine.Step,
		TokenTimePerStream:     engine.PerStream,
		TokensPerPass:          engine.Stride,
		PrefillTokensPerSecond: engine.ReadPerS,
		PrefillPairTime:        engine.ReadPairs,
	}
}

// directMemoryShare is the share of an engine's memory that its sidecar leaves to requests that gateways send past it while
// they cannot reach it.
const directMemoryShare = 0.1

// memoryShareOf returns the tokens that requests through the sidecar may hold together; 0 if the engine's memory is unknown.
func memoryShareOf(engine *catalog.Engine) int {
	return int((1 - directMemoryShare) * float64(engine.Memory))
}

// Run serves until the context ends, then shuts down gracefully within the grace period.
func (s *Sidecar) Run(ctx context.Context) error {
	relay, err := s.listen(s.settings.RelayPort())
	if err != nil {
		return err
	}
	control, err := s.listen(s.settings.ControlPort())
	if err != nil {
		return err
	}
	chunks, err := s.listen(s.settings.ChunkPort())
	if err != nil {
		return err
	}
	methods := rpc.Serve(control, s.methods())
	defer methods.Close()
	app := fiber.New()
	app.Get(wire.PathChunks+":digest", s.distributor.HandleChunk)
	server := graceful.NewServer(s.relayServer(), relay)
	server.Limit(s.guard)
	telemetry.PublishHeld(s.guard.Held)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { s.follower.Run(runCtx) })
	tasks.Go(func() { s.distributor.Run(runCtx) })
	tasks.Go(func() { s.runUpdater(runCtx) })
	tasks.Go(func() { s.spreader.Run(runCtx) })
	tasks.Go(func() { s.guard.Run(runCtx.Done()) })
	tasks.Go(func() {
		s.logListenerEnd("chunks", app.Listener(chunks, fiber.ListenConfig{DisableStartupMessage: true}))
	})
	tasks.Go(func() { s.logListenerEnd("relay", server.Serve()) })
	s.logger.Info().Str("engine", s.settings.EngineAddress).Msg("sidecar started")
	<-ctx.Done()
	exitBy := time.Now().Add(s.settings.GraceMs.Duration() - graceful.LogTime)
	tasks.Go(func() {
		_ = app.ShutdownWithTimeout(s.settings.GraceMs.Duration() - exitMargin) // peers fetch interrupted chunks from other hosts
	})
	s.drain(server)
	stop()
	graceful.WaitForTasks(&tasks, exitBy, s.logger)
	s.peerClient.Close()
	s.pool.Close()
	s.logger.Info().Msg("sidecar stopped")
	return nil
}

// newGuard returns the guard of the gateways' connections.
func (s *Sidecar) newGuard() *ingress.Guard {
	options := ingress.RelayShares.Of(s.settings.Resources)
	options.Limits = func() ingress.Limits {
		limits := ingress.Limits{HeadBytes: ingress.DefaultHeadBytes, IdleTimeout: idleTimeout}
		if view := s.follower.View(); view.Index != nil {
			limits.HeadBytes = max(limits.HeadBytes, view.Configuration.Limits.HeaderBytes+gatewayHeadBytes)
		}
		return limits
	}
	return ingress.NewGuard(options)
}

// relayServer returns the server for gateways.
func (s *Sidecar) relayServer() *http.Server {
	return &http.Server{
		Handler:  http.HandlerFunc(s.serveRelay),
		ErrorLog: telemetry.NewHTTPErrorLog(s.logger),
	}
}

func (s *Sidecar) listen(port int) (*net.TCPListener, error) {
	address := net.JoinHostPort(s.settings.Address, strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, address+": cannot listen on this address", "correct the port or stop the process that uses it")
	}
	return listener.(*net.TCPListener), nil
}

func (s *Sidecar) logListenerEnd(name string, err error) {
	if err != nil && err != http.ErrServerClosed {
		s.logger.Error().Err(err).Str("listener", name).Msg("listener failed")
	}
}

// drain closes the listener, so that gateways send requests directly to the engine, and waits for open requests and for those
// that have reached the listener, within the grace period.
func (s *Sidecar) drain(server *graceful.Server) {
	s.orders.stop()
	s.guard.Stop(time.Now().Add(lateBodyTime))
	s.logger.Info().Msg("sidecar draining")
	ctx, stop := context.WithTimeout(context.Background(), s.settings.GraceMs.Duration()-exitMargin)
	defer stop()
	if err := server.Shutdown(ctx); err != nil {
		s.graceExpired.Store(true)
		s.open.CloseExpired(server, err, s.logger)
	}
	s.awaitOpenOrder(ctx)
}

// peerHosts returns the sidecars of the service's other engines, including those in evacuated failure domains. The
// second result reports whether the registry lists this sidecar's own engine. Until it does, engines that started at the
// same time may be missing as well.
func (s *Sidecar) peerHosts(view *catalog.View) (hosts []core.Host, registered bool) {
	known := make(map[string]bool) // the registry may list a restarted engine twice for a while
	for _, endpoint := range view.RegisteredEndpoints(s.settings.Service) {
		registered = registered || endpoint.Address == s.settings.EngineAddress
		if endpoint.Draining {
			continue
		}
		address, _, _ := net.SplitHostPort(endpoint.Address) // valid in every endpoint
		if address != s.settings.Address && !known[address] {
			known[address] = true
			hosts = append(hosts, s.hostOf(address, endpoint.FailureDomain, endpoint.Region))
		}
	}
	return hosts, registered
}
