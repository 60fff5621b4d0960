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
	// wholeBytes of an answer are read before its header goes to the caller, so that an answer which breaks off can be
	// replaced. Longer ones are passed on as they arrive.
	maxBufferedBytes = 256 << 10
	// refusalBytes of a refusal's body are read to keep its connection.
	maxDiscardBytes = 8 << 10
	copyBufferBytes = 16 << 10
)

// promises are the statuses that state that the request has not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// held is an endpoint's failure that is passed on if no other endpoint does better.
type fallbackAnswer struct {
	answer *dispatch.Answer
	body   []byte
}

// deliverWhole passes an answer on. It returns false when another endpoint may do better.
func (f *forwarder) deliverBuffered(endpoint *catalog.Endpoint, answer *dispatch.Answer, reply call.Reply) bool {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	if err != nil {
		f.recordBrokenAnswer(endpoint, err)
		return false
	}
	if answer.Status < http.StatusMultipleChoices && !reply.Signed {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the answer bears no signature", "look into the endpoint"))
		return false
	}
	f.g.recordSuccess(endpoint)
	if slices.Contains(notRunStatuses, answer.Status) && f.route.Repeat != catalog.Idempotent {
		f.lastErr = fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status)+" without stating that the request has not run", "look into the endpoint")
		f.recordPickOutcome(f.lastErr)
		return false
	}
	if answer.Status >= http.StatusInternalServerError && f.route.Repeat == catalog.Idempotent && len(body) < maxBufferedBytes {
		f.fallback = &fallbackAnswer{answer: answer, body: body}
		f.recordPickOutcome(fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status), "look into the endpoint"))
		return false
	}
	f.writeAnswer(answer, body)
	return true
}

// broken takes note of an endpoint whose answer broke off or is not its own.
func (f *forwarder) recordBrokenAnswer(endpoint *catalog.Endpoint, err error) {
	f.lastErr = err
	f.recordPickOutcome(err)
	if f.ctx.Err() == nil {
		f.g.recordFailure(endpoint)
	}
	f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(endpoint.ID)).Err(err).Msg("answer broken off")
}

// write sends the answer to the caller. Of a long one, body is only the beginning.
func (f *forwarder) writeAnswer(answer *dispatch.Answer, body []byte) {
	header := f.copyHeader(answer)
	truncated := len(body) == maxBufferedBytes
	if !truncated {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(answer.Status)
	if _, err := f.w.Write(body); err != nil || !truncated {
		return // a caller that has gone needs no answer
	}
	buffer := make([]byte, copyBufferBytes)
	_, err := io.CopyBuffer(f.w, onlyReader{answer}, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		panic(http.ErrAbortHandler) // ends the connection, so that the answer does not look complete
	}
}

type onlyReader struct{ io.Reader }

func (f *forwarder) copyHeader(answer *dispatch.Answer) http.Header {
	header := f.w.Header()
	for name, values := range f.g.codec.Answer(answer.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil // keeps the library from guessing one
	}
	return header
}

// discard reads a short body to its end, so that the connection can be used again.
func drainAndClose(answer *dispatch.Answer) {
	_, _ = io.CopyN(io.Discard, answer, maxDiscardBytes) // Close judges whether the end was reached
	answer.Close()
}
