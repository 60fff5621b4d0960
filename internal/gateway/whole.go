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
	wholeBytes = 256 << 10
	// refusalBytes of a refusal's body are read to keep its connection.
	refusalBytes = 8 << 10
	copyBytes    = 16 << 10
)

// promises are the statuses that state that the request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// held is an endpoint's failure that is passed on if no other endpoint does better.
type held struct {
	answer *dispatch.Answer
	body   []byte
}

// deliverWhole passes an answer on. It returns false when another endpoint may do better.
func (f *flow) deliverWhole(endpoint *catalog.Endpoint, answer *dispatch.Answer, reply call.Reply) bool {
	body, err := io.ReadAll(io.LimitReader(answer, wholeBytes))
	if err != nil {
		f.broken(endpoint, err)
		return false
	}
	if answer.Status < http.StatusMultipleChoices && !reply.Signed {
		f.broken(endpoint, fault.New(fault.EndpointFault, "the answer bears no signature", "look into the endpoint"))
		return false
	}
	f.g.sound(endpoint)
	if slices.Contains(promises, answer.Status) && f.route.Repeat != catalog.Idempotent {
		f.last = fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status)+" without stating that the request has not run", "look into the endpoint")
		f.conclude(f.last)
		return false
	}
	if answer.Status >= http.StatusInternalServerError && f.route.Repeat == catalog.Idempotent && len(body) < wholeBytes {
		f.held = &held{answer: answer, body: body}
		f.conclude(fault.New(fault.EndpointFault, "the endpoint answered "+strconv.Itoa(answer.Status), "look into the endpoint"))
		return false
	}
	f.write(answer, body)
	return true
}

// broken takes note of an endpoint whose answer broke off or is not its own.
func (f *flow) broken(endpoint *catalog.Endpoint, err error) {
	f.last = err
	f.conclude(err)
	if f.ctx.Err() == nil {
		f.g.avoid(endpoint)
	}
	f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(endpoint.ID)).Err(err).Msg("answer broken off")
}

// write sends the answer to the caller. Of a long one, body is only the beginning.
func (f *flow) write(answer *dispatch.Answer, body []byte) {
	header := f.writeHeader(answer)
	long := len(body) == wholeBytes
	if !long {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(answer.Status)
	if _, err := f.w.Write(body); err != nil || !long {
		return // a caller that has gone needs no answer
	}
	buffer := make([]byte, copyBytes)
	_, err := io.CopyBuffer(f.w, onlyReader{answer}, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		panic(http.ErrAbortHandler) // ends the connection, so that the answer does not look complete
	}
}

type onlyReader struct{ io.Reader }

func (f *flow) writeHeader(answer *dispatch.Answer) http.Header {
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
func discard(answer *dispatch.Answer) {
	_, _ = io.CopyN(io.Discard, answer, refusalBytes) // Close judges whether the end was reached
	answer.Close()
}
