package telemetry

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

const metricsHeaderTimeout = 5 * time.Second // for a reader of metrics to send its request

// ServeMetricsAt serves the metrics at a port of the address until the context ends; port 0 serves none. A port that
// cannot be had is logged: a process without metrics still serves its requests.
func ServeMetricsAt(ctx context.Context, logger *log.Logger, address string, port int) {
	if port == 0 {
		return
	}
	server := &http.Server{Addr: net.JoinHostPort(address, strconv.Itoa(port)), Handler: http.HandlerFunc(ServeMetrics), ReadHeaderTimeout: metricsHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		logger.Error().Err(err).Str("address", server.Addr).Msg("metrics are not served; correct metrics_port")
	}
}

// OnHangup calls reload at each SIGHUP until the context ends. A failed reload changes nothing and is logged.
func OnHangup(ctx context.Context, logger *log.Logger, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if err := reload(); err != nil {
			logger.Error().Err(err).Msg("settings not reloaded; those read before stay in force")
			continue
		}
		logger.Info().Msg("settings reloaded")
	}
}
