package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// The reasons of refusals. A refused request has not run.
const (
	refusedBad         = "bad request"
	refusedLoading     = "weights are loading"
	refusedFull        = "no room"
	refusedSlow        = "first event later than the bound"
	refusedCold        = "engine is cold and has got what it bears this second"
	refusedLeaving     = "it would run into a change of weights"
	refusedUnreachable = "engine cannot be reached"
)

const (
	relayBufferBytes = 4 << 10          // holds a few events
	relayPatience    = 30 * time.Second // of a call that states none
	maxBodyBytes     = 8 << 20          // above what a gateway lets through
)

// serveRelay passes a gateway's request on to the engine if the gate lets it in.
func (s *Sidecar) serveRelay(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, err := s.codec.DecodeForwarded(r)
	if err == nil {
		c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	}
	if err != nil {
		s.refuse(w, c, refusedBad, err)
		return
	}
	if !s.serves(leastVersion(r)) {
		s.refuse(w, c, refusedLoading, nil)
		return
	}
	if !s.endsInTime(c) {
		s.refuse(w, c, refusedLeaving, nil)
		return
	}
	ticket := admission.Ticket{Deadline: arrived.Add(patienceOf(c))}
	if err := s.gate.Enter(r.Context(), ticket); err != nil {
		s.refuse(w, c, refusedFull, err)
		return
	}
	bound := firstEventBound(r)
	c.Forward.Del(wire.HeaderFirstEvent)
	c.Forward.Del(wire.HeaderLeastVersion)
	prompt, estimate := s.reading.Enter(c.PromptTokens, bound)
	if prompt == nil {
		s.gate.Return()
		s.refuse(w, c, refusedSlow, nil)
		return
	}
	defer prompt.End()
	if !s.cold.Admit(bootclock.Now()) {
		s.gate.Return()
		s.refuse(w, c, refusedCold, nil)
		return
	}
	held := false
	defer func() { s.gate.Leave(held) }()
	a := &admitted{call: c, arrived: arrived, prompt: prompt, estimate: estimate, running: s.gate.Load().Running, version: s.serving.Load()}
	defer s.logAdmitted(a)
	held = s.relay(w, r, a)
}

// changeSlack is how far a request may be expected to run into a change of weights. Each engine that changes takes
// nothing new until what it runs has ended, so that one long request keeps all its slots empty.
const changeSlack = 400 * time.Millisecond

// endsInTime tells whether the call may be expected to end about when the engine has to be empty.
func (s *Sidecar) endsInTime(c *call.Call) bool {
	leaving := time.Duration(s.leaving.Load())
	if leaving == 0 {
		return true
	}
	tokens := c.OutputHint
	if tokens == 0 {
		tokens = c.OutputTokens
	}
	return bootclock.Now()+s.reading.Duration(c.PromptTokens, tokens) <= leaving+changeSlack
}

// admitted is a call that was let in.
type admitted struct {
	call     *call.Call
	arrived  time.Time
	prompt   *admission.Prompt
	estimate time.Duration // of its first event
	begun    bool          // a part of its answer has come
	first    time.Duration // until that part
	running  int           // requests at the engine when it was let in, this one included
	version  int64         // of the weights
}

// leastVersion returns the oldest version that the gateway lets run the request, 0 for any.
func leastVersion(r *http.Request) int64 {
	version, err := strconv.ParseInt(r.Header.Get(wire.HeaderLeastVersion), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// logAdmitted writes the line of a request that was let in, with what it was let in by.
func (s *Sidecar) logAdmitted(a *admitted) {
	s.logger.Info().Str("request", string(a.call.ID)).Int("tokens", a.call.PromptTokens).Int64("version", a.version).Int("running", a.running).Dur("estimated", a.estimate).Dur("first_event", a.first).Dur("took", time.Since(a.arrived)).Msg("request let in")
}

// serves tells whether the engine may be sent a request that needs at least the version. The time is judged here, since
// the keeper may be waiting for the origin when it comes.
func (s *Sidecar) serves(least int64) bool {
	serving := s.serving.Load()
	closes := s.closes.Load()
	return serving > 0 && serving >= least && (closes == 0 || int64(bootclock.Now()) < closes)
}

// firstEventBound returns the bound that the gateway set, 0 for none.
func firstEventBound(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(wire.HeaderFirstEvent))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func patienceOf(c *call.Call) time.Duration {
	if c.Patience > 0 {
		return c.Patience
	}
	return relayPatience
}

// relay sends the call to the engine and its answer back. It returns false when the answer broke off.
func (s *Sidecar) relay(w http.ResponseWriter, r *http.Request, a *admitted) bool {
	c, arrived := a.call, a.arrived
	patience := c.Patience
	if patience > 0 {
		patience -= time.Since(arrived)
	}
	answer, err := s.pool.Send(r.Context(), &dispatch.Request{
		Address: s.settings.EngineAddress,
		Method:  c.Method,
		Target:  c.Target,
		Host:    r.Host,
		Header:  s.codec.EncodeForwarded(c, call.Send{Patience: patience, Version: s.serving.Load()}),
		Body:    c.Body,
		Matches: func(header http.Header) bool {
			id := s.codec.Reply(0, header).ID
			return id == "" || id == c.ID
		},
	})
	if dispatch.NotSent(err) {
		s.refuse(w, c, refusedUnreachable, err)
		return true
	}
	if err != nil {
		s.logger.Info().Str("request", string(c.ID)).Err(err).Msg("engine gave no answer")
		panic(http.ErrAbortHandler) // a closed connection says that the outcome is unknown
	}
	defer answer.Close()
	s.copyAnswer(w, a, answer)
	return true
}

func (s *Sidecar) copyAnswer(w http.ResponseWriter, a *admitted, answer *dispatch.Answer) {
	header := w.Header()
	for name, values := range s.codec.Answer(answer.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil
	}
	s.setLoad(header)
	w.WriteHeader(answer.Status)
	flusher, _ := w.(http.Flusher)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			s.begin(a)
			if _, failed := w.Write(buffer[:n]); failed != nil {
				panic(http.ErrAbortHandler)
			}
			flusher.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			s.logger.Info().Str("request", string(a.call.ID)).Err(err).Msg("engine's answer broken off")
			panic(http.ErrAbortHandler)
		}
	}
}

// begin takes note of the first part of an answer.
func (s *Sidecar) begin(a *admitted) {
	if a.begun {
		return
	}
	a.begun = true
	a.prompt.Begin()
	a.first = time.Since(a.arrived)
}

func (s *Sidecar) setLoad(header http.Header) {
	load := s.gate.Load()
	header.Set(wire.HeaderLoad, fmt.Sprintf("%d,%d,%d", load.Running, load.Queued, load.Limit))
}

// refuse states that the request has not run and will not run here.
func (s *Sidecar) refuse(w http.ResponseWriter, c *call.Call, reason string, cause error) {
	telemetry.TurnedAway(reason)
	load := s.gate.Load()
	entry := s.logger.Info().Str("reason", reason).Int64("version", s.serving.Load()).Int("running", load.Running).Int("limit", load.Limit)
	if c != nil {
		entry.Str("request", string(c.ID)).Int("tokens", c.PromptTokens)
	}
	if cause != nil {
		entry.Err(cause)
	}
	entry.Msg("request not let in")
	w.Header().Set(wire.HeaderRefused, reason)
	s.setLoad(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}
