package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// callerReadTimeout is how long a caller may leave the next part of an answer unread. It then counts as gone, so that it holds
// neither memory nor a place at an endpoint. It is above the pause after which callers give up a stream themselves.
const callerReadTimeout = 3 * time.Second

// callerWriter writes an answer to the caller in parts, each within callerReadTimeout.
type callerWriter struct {
	f          *forwarder
	controller *http.ResponseController
}

func (f *forwarder) newCallerWriter() *callerWriter {
	return &callerWriter{f: f, controller: http.NewResponseController(f.w)}
}

// Write implements io.Writer.
func (c *callerWriter) Write(data []byte) (written int, err error) {
	for written < len(data) {
		part := data[written:min(written+copyBufferBytes, len(data))]
		c.extendDeadline()
		n, err := c.f.w.Write(part)
		written += n
		if err != nil {
			return written, c.checkStopped(err)
		}
	}
	return written, nil
}

// writeEvent writes the event and flushes it to the caller's connection.
func (c *callerWriter) writeEvent(event []byte) error {
	if _, err := c.Write(event); err != nil {
		return err
	}
	c.extendDeadline()
	return c.checkStopped(c.controller.Flush())
}

func (c *callerWriter) extendDeadline() {
	if err := c.controller.SetWriteDeadline(time.Now().Add(callerReadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.f.g.logger.Debug().Str("request", string(c.f.call.ID)).Err(err).Msg("caller's connection is closed")
	}
}

// checkStopped returns the error, and logs and counts a caller that has stopped reading.
func (c *callerWriter) checkStopped(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		telemetry.CallerStopped()
		c.f.endCall(errCallerStopped)
		c.f.g.logger.Info().Str("request", string(c.f.call.ID)).Str("route", c.f.route.Name).Dur("after", callerReadTimeout).Msg("caller does not read its answer")
	}
	return err
}
