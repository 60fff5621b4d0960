package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	readyTimeout = time.Second // the balancer asks once a second
	// The limits until a configuration is known, and the slack over the configured ones: callers that keep within
	// their limits must not meet the server's.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	maxHeaderBytes       = 64 << 10
	// noticeTime is how long the balancer needs to notice that the gateway leaves: two misses, a second apart.
	balancerNoticeTime = 2500 * time.Millisecond
	// exitMargin is left of the grace period for the process to end by itself.
	exitMargin = 500 * time.Millisecond
)

// frontServer is net/http's server, since fasthttp's does not tell a handler that its caller has gone.
func (g *Gateway) frontServer() *http.Server {
	return &http.Server{
		Handler:                      http.HandlerFunc(g.serveCall),
		ReadHeaderTimeout:            defaultHeaderTimeout,
		IdleTimeout:                  defaultIdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// serveReady tells the balancer whether to send new connections here.
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

// ready tells whether the gateway may take callers: it knows a configuration that is fresh enough to judge keys, and
// does not leave.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.follower.View().Index != nil && g.canVerifyKeys()
}

// fresh tells whether a key that is in force here cannot have been taken away longer ago than the bound.
func (g *Gateway) canVerifyKeys() bool {
	age, known := g.follower.Age()
	bound := g.settings.RevocationMs.Duration()
	return known && (bound == 0 || age < bound-revocationMargin)
}

// revocationMargin covers the difference between the rates of two clocks over the bound.
const revocationMargin = 250 * time.Millisecond

// drain turns readiness off, goes on serving until the balancer has noticed, and then waits for the open requests.
func (g *Gateway) drain(server *http.Server) {
	startedAt := time.Now()
	g.draining.Store(true)
	g.logger.Info().Msg("gateway draining")
	time.Sleep(balancerNoticeTime)
	ctx, stop := context.WithDeadline(context.Background(), startedAt.Add(g.settings.GraceMs.Duration()-exitMargin))
	defer stop()
	if err := server.Shutdown(ctx); err != nil {
		g.logger.Warn().Err(err).Msg("grace period passed with requests still open")
		_ = server.Close()
	}
}
