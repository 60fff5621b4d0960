package gateway

import "net/http"

// abortAnswer ends an answer whose header was sent, so that it does not look complete. It does not return.
func (f *forwarder) abortAnswer() {
	if !f.chunked {
		f.resetCaller()
	}
	panic(http.ErrAbortHandler) // closes the connection before the last chunk
}

// resetCaller resets the caller's connection, since an orderly close would mark the end of an answer without chunks.
func (f *forwarder) resetCaller() {
	conn, _, err := http.NewResponseController(f.w).Hijack()
	if err != nil {
		f.g.logger.Warn().Str("request", string(f.call.ID)).Err(err).Msg("caller's connection cannot be reset")
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}
