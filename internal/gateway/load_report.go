package gateway

import (
	"strconv"
	"strings"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadFigures      = 3 // running, waiting, limit
	loadSpeedFigures = 5 // and slowdown in percent, pending prompt tokens
	percent          = 100
)

// recordPlainLoad records the load that a plain endpoint states. A report counts only if it also states the endpoint's speed;
// endpoints that state counts alone are chosen by this gateway's own counts.
func (g *Gateway) recordPlainLoad(endpoint *catalog.Endpoint, info call.ResponseInfo) {
	if info.LoadErr != nil {
		telemetry.LoadReportReceived("invalid")
		if _, logged := g.invalidLoads.LoadOrStore(endpoint.Service, true); !logged {
			g.logger.Warn().Str("endpoint", string(endpoint.ID)).Str("service", string(endpoint.Service)).Err(info.LoadErr).Msg("load report of an endpoint is not used")
		}
	}
	if info.Load == nil || info.Load.Slowdown == 0 {
		return
	}
	telemetry.LoadReportReceived("plain")
	load := wire.Load{Running: info.Load.Running, Queued: info.Load.Waiting, Limit: info.Load.Limit}
	g.placer.RecordLoad(endpoint, load, &placement.Speed{Slowdown: info.Load.Slowdown}, g.now())
}

// recordSidecarLoad records the load that a sidecar states for its engine. Text that is no load is ignored.
func (g *Gateway) recordSidecarLoad(endpoint *catalog.Endpoint, text string) {
	load, speed, ok := parseLoad(text)
	if !ok {
		return
	}
	if speed != nil {
		telemetry.LoadReportReceived("sidecar")
	}
	g.placer.RecordLoad(endpoint, load, speed, g.now())
}

// parseLoad parses the load that a sidecar states as wire.HeaderLoad describes. The speed is nil if it is not stated.
func parseLoad(text string) (load wire.Load, speed *placement.Speed, ok bool) {
	var figures [loadSpeedFigures]int
	fields := strings.SplitN(text, ",", loadSpeedFigures+1)
	known := min(len(fields), loadSpeedFigures)
	for i := range known {
		n, err := strconv.Atoi(fields[i])
		if err != nil || n < 0 {
			return wire.Load{}, nil, false
		}
		figures[i] = n
	}
	if known < loadFigures {
		return wire.Load{}, nil, false
	}
	if known == loadSpeedFigures {
		speed = &placement.Speed{Slowdown: float64(figures[3]) / percent, PendingTokens: figures[4]}
	}
	return wire.Load{Running: figures[0], Queued: figures[1], Limit: figures[2]}, speed, true
}
