package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

const (
	readyTimeout = time.Second // the load balancer checks once a second
	// maxHeaderBytes is the limit of the HTTP server. The guard limits heads by the configuration in force.
	maxHeaderBytes = 1 << 20
	// balancerNoticeTime is how long the load balancer takes to notice that the gateway drains: two failed checks, one
	// second apart.
	balancerNoticeTime = 2500 * time.Millisecond
	// lateBodyTime is how much longer the bodies of requests may take that have begun to arrive by then. Callers send the others
	// elsewhere.
	lateBodyTime = time.Second
	// exitMargin is the part of the grace period that is reserved for the process to exit by itself.
	exitMargin = 500 * time.Millisecond
)

// newGuard returns the guard of the callers' connections, with the limits of the configuration in force.
func (g *Gateway) newGuard() *ingress.Guard {
	options := ingress.CallerShares.Of(g.settings.Resources)
	options.Limits = func() ingress.Limits {
		view := g.follower.View()
		if view.Index == nil {
			return ingress.Limits{}
		}
		limits := view.Configuration.Limits
		return ingress.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
	}
	return ingress.NewGuard(options)
}

// frontServer returns the server for callers. It uses net/http, since fasthttp does not tell a handler that its caller has
// disconnected.
func (g *Gateway) frontServer() *http.Server {
	return &http.Server{
		Handler:                      http.HandlerFunc(g.serveCall),
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     telemetry.NewHTTPErrorLog(g.logger),
	}
}

// readyServer returns the server for the load balancer's readiness checks.
func (g *Gateway) readyServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(g.serveReady),
		ReadHeaderTimeout: readyTimeout,
		ErrorLog:          telemetry.NewHTTPErrorLog(g.logger),
	}
}

// serveReady answers the load balancer's readiness check: 200 if the gateway takes new connections, otherwise 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := g.ready()
	if g.lastReportedReady.Swap(ready) != ready {
		age, _ := g.follower.Age()
		g.logger.Info().Bool("ready", ready).Dur("configuration_age", age).Bool("draining", g.draining.Load()).Msg("readiness changed")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the gateway may serve callers: it is not draining, and it has a configuration that is recent
// enough to verify keys.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.follower.View().Index != nil && g.canVerifyKeys()
}

// drain turns readiness off, keeps serving until the load balancer has noticed, and then waits for open requests and for those
// that have reached the listener.
func (g *Gateway) drain(server *graceful.Server) {
	startedAt, timeToEnd := time.Now(), g.settings.GraceMs.Duration()-exitMargin
	g.stop.Store(&plannedStop{lateFrom: bootclock.Now() + lateRequestTime, end: bootclock.Now() + timeToEnd})
	g.draining.Store(true)
	g.guard.Stop(startedAt.Add(balancerNoticeTime + lateBodyTime))
	g.logger.Info().Msg("gateway draining")
	time.Sleep(balancerNoticeTime)
	ctx, stop := context.WithDeadline(context.Background(), startedAt.Add(timeToEnd))
	defer stop()
	if err := server.Shutdown(ctx); err != nil {
		g.graceExpired.Store(true)
		g.open.CloseExpired(server, err, g.logger)
	}
}
