package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	// maxBufferedBytes is how much of an answer is read before its header is sent to the caller, so that an answer which
	// breaks off can be replaced by another endpoint's. The rest of a longer answer is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	// maxDiscardBytes is how much of an unused body is read so that its connection can be reused.
	maxDiscardBytes = 8 << 10
	copyBufferBytes = 16 << 10
)

// notRunStatuses are the statuses that state that the request has not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// fallbackAnswer is a server error that an endpoint answered to an idempotent call. The call is tried at another endpoint,
// and the caller gets this answer if none succeeds.
type fallbackAnswer struct {
	answer *dispatch.Response
	body   []byte
}

// deliverBuffered forwards an answer that is not a stream. It returns false if nothing was sent to the caller, because the
// answer is unusable or another endpoint may give a better one.
func (f *forwarder) deliverBuffered(endpoint *catalog.Endpoint, answer *dispatch.Response, info call.ResponseInfo) bool {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	if err != nil {
		f.recordBrokenAnswer(endpoint, err)
		return false
	}
	if answer.Status < http.StatusMultipleChoices && !info.Signed {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the answer has no signature", "check the endpoint's logs"))
		return false
	}
	f.g.recordSuccess(endpoint)
	f.g.recordAnswer(endpoint, answer.Status >= http.StatusInternalServerError)
	if answer.Status == http.StatusOK && len(body) < maxBufferedBytes {
		f.recordWholeAnswer()
	}
	if slices.Contains(notRunStatuses, answer.Status) && f.route.Repeat != catalog.Idempotent {
		f.lastErr = fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status)+" without stating that the request has not run", "check the endpoint's logs")
		f.recordPickOutcome(f.lastErr)
		return false
	}
	if answer.Status >= http.StatusInternalServerError && f.route.Repeat == catalog.Idempotent && len(body) < maxBufferedBytes {
		f.fallback = &fallbackAnswer{answer: answer, body: body}
		f.recordPickOutcome(fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status), "check the endpoint's logs"))
		return false
	}
	f.writeAnswer(answer, body)
	return true
}

// recordBrokenAnswer records that the endpoint's answer broke off or lacks the endpoint's signature.
func (f *forwarder) recordBrokenAnswer(endpoint *catalog.Endpoint, err error) {
	f.lastErr = err
	f.recordPickOutcome(err)
	if f.ctx.Err() == nil {
		f.g.recordFailure(endpoint)
	}
	f.recordBreak(endpoint)
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(endpoint.ID)).Str("framing", string(f.framing)).Err(err)
	f.addEndReason(f.addIdentity(entry)).Msg("answer broken off")
}

// writeAnswer sends the answer to the caller. The body holds the first maxBufferedBytes; the rest is read from the answer.
func (f *forwarder) writeAnswer(answer *dispatch.Response, body []byte) {
	header := f.copyHeader(answer)
	truncated := len(body) == maxBufferedBytes
	if !truncated {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(answer.Status)
	caller := f.newCallerWriter()
	if _, err := caller.Write(body); err != nil || !truncated {
		return // the caller has disconnected or stopped reading, or the body is complete
	}
	buffer := make([]byte, copyBufferBytes)
	_, err := io.CopyBuffer(caller, onlyReader{answer}, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		f.abortAnswer()
	}
}

type onlyReader struct{ io.Reader }

// copyHeader copies the answer's header to the response and returns the response's header.
func (f *forwarder) copyHeader(answer *dispatch.Response) http.Header {
	header := f.w.Header()
	for name, values := range f.g.codec.CallerHeader(answer.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil // keeps net/http from guessing a type
	}
	return header
}

// drainAndClose reads a short body to its end, so that the connection can be reused, and closes the answer.
func drainAndClose(answer *dispatch.Response) {
	_, _ = io.CopyN(io.Discard, answer, maxDiscardBytes) // Close checks whether the end was reached
	answer.Close()
}
