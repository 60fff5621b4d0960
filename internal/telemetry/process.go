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

const metricsHeaderTimeout = 5 * time.Second // for a client to send its request headers

// ListenAndServeMetrics serves the metrics on the address and port until the context is canceled. It does nothing if the port is
// 0. A listen error is only logged, because a process without metrics can still serve requests.
func ListenAndServeMetrics(ctx context.Context, logger *log.Logger, address string, port int) {
	if port == 0 {
		return
	}
	server := &http.Server{Addr: net.JoinHostPort(address, strconv.Itoa(port)), Handler: http.HandlerFunc(ServeMetrics), ReadHeaderTimeout: metricsHeaderTimeout, ErrorLog: NewHTTPErrorLog(logger)}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		logger.Error().Err(err).Str("address", server.Addr).Msg("metrics server failed; check metrics_port in the settings")
	}
}

// CatchSIGHUP returns a channel that receives SIGHUP from now on. The signal no longer ends the process, whether or not the
// channel is read.
func CatchSIGHUP() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// ReloadOnSIGHUP calls reload for each signal from CatchSIGHUP until the context is canceled. If reload fails, it logs the error
// and the previous settings stay in force.
func ReloadOnSIGHUP(ctx context.Context, hangups <-chan os.Signal, logger *log.Logger, reload func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if err := reload(); err != nil {
			logger.Error().Err(err).Msg("failed to reload settings; the previous settings stay in force")
			continue
		}
		logger.Info().Msg("settings reloaded")
	}
}
