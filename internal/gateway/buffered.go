package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/completeness"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	// maxBufferedBytes is how much of an answer is read, if there is room for it, before its header is sent to the caller, so that an answer which
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

// deliverWhole forwards the end of a stream, or an answer whose beginning is there.
func (f *forwarder) deliverWhole(a *attempt) {
	if f.isStream(a.answer) {
		f.sendStreamHeader(a.answer)
		return
	}
	f.writeAnswer(a.answer, a.body, a.more, a.confirmEnd)
}

// confirmEnd returns an error if the answer ended with its connection and its endpoint is not known to live. A sidecar has confirmed the
// end of its engine's answers.
func (a *attempt) confirmEnd() error {
	if a.f.call.Method == http.MethodHead {
		return nil // it has no body
	}
	return completeness.Confirm(a.ctx, a.answer.Framing, func(ctx context.Context) error {
		if a.isReplaced() {
			return errEndpointReplaced
		}
		return completeness.ByListener(a.endpoint.Address)(ctx)
	})
}

var errEndpointReplaced = errors.New("the registry lists a later start at its address")

// isReplaced reports whether the registry lists an endpoint that started later at the same address.
func (a *attempt) isReplaced() bool {
	for _, endpoint := range a.f.g.follower.View().RegisteredEndpoints(a.endpoint.Service) {
		if endpoint.Address == a.endpoint.Address && endpoint.Born > a.endpoint.Born {
			return true
		}
	}
	return false
}

// isUsable reports whether the answer is for the caller, and records what it tells of its endpoint. It is not if another endpoint may
// give a better one.
func (f *forwarder) isUsable(a *attempt) bool {
	if f.isStream(a.answer) {
		f.recordWholeStream(a)
		return true
	}
	status, isShort := a.answer.Status, !a.more
	if f.stream != nil && f.stream.headerSent {
		f.recordBrokenAnswer(a, fault.New(fault.EndpointFault, "the endpoint did not resume the stream", "check the endpoint's logs"))
		return false
	}
	if status < http.StatusMultipleChoices && !a.info.Signed {
		f.recordBrokenAnswer(a, fault.New(fault.EndpointFault, "the answer has no signature", "check the endpoint's logs"))
		return false
	}
	f.g.recordSuccess(a.endpoint)
	f.g.recordAnswer(a.endpoint, status >= http.StatusInternalServerError)
	if status == http.StatusOK && isShort {
		f.recordWholeAnswer()
	}
	if slices.Contains(notRunStatuses, status) && f.route.Repeat != catalog.Idempotent {
		f.lastErr = fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(status)+" without stating that the request has not run", "check the endpoint's logs")
		a.pick.recordOutcome(f.lastErr)
		return false
	}
	refusesBeside := slices.Contains(notRunStatuses, status) && len(f.open) > 1
	if (status >= http.StatusInternalServerError || refusesBeside) && f.route.Repeat == catalog.Idempotent && isShort {
		f.fallback = &fallbackAnswer{answer: a.answer, body: a.body}
		a.pick.recordOutcome(fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(status), "check the endpoint's logs"))
		return false
	}
	return true
}

// writeAnswer sends the answer to the caller. The body holds its beginning. If there may be more, that is read from the answer, and
// confirmEnd is called after it.
func (f *forwarder) writeAnswer(answer *dispatch.Response, body []byte, more bool, confirmEnd func() error) {
	header := f.copyHeader(answer)
	switch {
	case f.call.Method == http.MethodHead:
		dispatch.CopyLength(header, answer.Header)
	case !more:
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(answer.Status)
	caller := f.newCallerWriter()
	if _, err := caller.Write(body); err != nil || !more {
		return // the caller has disconnected or stopped reading, or the body is complete
	}
	buffer := make([]byte, copyBufferBytes)
	_, err := io.CopyBuffer(caller, onlyReader{answer}, buffer)
	if err == nil {
		err = confirmEnd()
	}
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
