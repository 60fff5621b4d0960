package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// The reasons of refusals. A refused request has not run.
const (
	refusedBadRequest     = "bad request"
	refusedLoading        = "weights are loading"
	refusedNoCapacity     = "no room"
	refusedLateFirstEvent = "first event later than the bound"
	refusedCold           = "engine is cold and has reached its request rate"
	refusedVersionChange  = "it would run into a change of weights"
	refusedUnreachable    = "engine cannot be reached"
	refusedLeaving        = "engine is leaving"
	refusedHeldOff        = "engine wants no requests for some time"
	refusedRate           = "engine has reached the request rate that it states"
	refusedTooLarge       = "larger than the memory of the engine"
	refusedDelayed        = "too much time has passed since it was admitted"
	refusedQuarantined    = "the request or a part of its prompt has crashed engines"
)

const (
	relayBufferBytes = 4 << 10          // fits a few events
	defaultTimeout   = 30 * time.Second // for a call without a timeout
	// gatewayReadTimeout is how long a gateway may leave the next part of an answer unread. It is longer than the time that
	// gateways allow their callers, so it ends only connections to hosts that are frozen or cut off.
	gatewayReadTimeout = 5 * time.Second
)

// serveRelay forwards a gateway's request to the engine if the request is admitted, and otherwise refuses it.
func (s *Sidecar) serveRelay(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.orders.isStopping() {
		w.Header().Set("Connection", "close")
	}
	c, err := s.codec.DecodeForwarded(r)
	if err == nil {
		defer s.open.Add(string(c.ID))()
		err = s.readCall(r, c)
	}
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the request is not read
		s.refuse(w, c, reasonUnread(err), err)
		return
	}
	parts := quarantine.PartsOf(c)
	if s.isQuarantined(r, parts) {
		w.Header().Set(wire.HeaderQuarantined, "1")
		s.refuse(w, c, refusedQuarantined, nil)
		return
	}
	if reason := s.closedReason(r, c); reason != "" {
		s.refuse(w, c, reason, nil)
		return
	}
	request := s.rankedRequest(r, c, arrived)
	ticket, err := s.gate.AcquireRanked(r.Context(), request)
	if err != nil {
		s.refuse(w, c, refusalReason(err), err)
		return
	}
	if reason := s.closedReason(r, c); reason != "" { // this may have changed while the request waited
		ticket.ReleaseUnmeasured()
		s.refuse(w, c, reason, nil)
		return
	}
	bound := firstEventBound(r)
	if ticket.Waited > noticeableWait {
		bound = 0 // the forecast that let it wait has held; to refuse it now would waste the wait
	}
	repeatable := r.Header.Get(wire.HeaderRepeatable) != ""
	removeRequestHeaders(c.Forward)
	s.updateSlowdown()
	now := bootclock.Now()
	prompt, estimate, limit := s.prompts.Admit(promptDemand(c, r, arrived, now), bound, now)
	if prompt == nil {
		ticket.ReleaseUnmeasured()
		s.refuse(w, c, refusedByPrompts[limit], nil)
		return
	}
	defer prompt.Finish()
	if !s.beginsBeforeDeadline(s.forecastErrors.Worst(estimate, now)) {
		ticket.ReleaseUnmeasured()
		s.refuse(w, c, refusedVersionChange, nil)
		return
	}
	if !s.coldRate.Admit(bootclock.Now()) {
		ticket.ReleaseUnmeasured()
		s.refuse(w, c, refusedCold, nil)
		return
	}
	if !s.takeRate() {
		ticket.ReleaseUnmeasured()
		s.refuse(w, c, refusedRate, nil)
		return
	}
	telemetry.RankedAdmitted(request.Demand.Rank, ticket.Waited > noticeableWait)
	complete := false
	defer func() { ticket.Release(complete) }()
	a := &admittedCall{call: c, parts: parts, arrived: arrived, ticket: ticket, rank: request.Demand.Rank, prompt: prompt, estimate: estimate, running: s.gate.Load().Running, version: s.servingVersion.Load(), repeatable: repeatable, minVersion: minVersionOf(r), versionLeft: s.serveTimeLeft()}
	defer s.logAdmitted(a)
	complete = s.forward(w, r, a)
}

// closedReason returns the reason of a refusal while the engine takes no requests like this one, and otherwise "".
func (s *Sidecar) closedReason(r *http.Request, c *call.Call) string {
	if reason := s.withdrawnReason(); reason != "" {
		return reason
	}
	switch {
	case !s.canServe(minVersionOf(r)):
		telemetry.VersionRefused(s.versionRefusal())
		return refusedLoading
	case !s.endsBeforeDrain(c):
		return refusedVersionChange
	}
	return ""
}

// drainSlack is how long after the drain deadline a request may be expected to end. Before it loads a version, an engine
// takes no new requests until the running ones have ended, so one long request would keep all other slots idle.
const drainSlack = 400 * time.Millisecond

// endsBeforeDrain reports whether the call is expected to end by the engine's drain deadline, within drainSlack.
func (s *Sidecar) endsBeforeDrain(c *call.Call) bool {
	drainDeadline := time.Duration(s.drainDeadline.Load())
	if drainDeadline == 0 {
		return true
	}
	return bootclock.Now()+s.prompts.EstimateDuration(c.PromptTokens, expectedAnswerTokens(c)) <= drainDeadline+drainSlack
}

// admittedCall is a call that was admitted to the engine.
type admittedCall struct {
	call           *call.Call
	parts          []core.PromptPart // by which requests that crash engines are recognized
	arrived        time.Time
	sentAt         time.Duration // to the engine, on the boot clock
	engineStart    int64         // start of the engine when the call was sent, as in Sidecar
	ticket         *admission.Ticket
	rank           int // noRank if it is unknown
	prompt         *admission.Prompt
	estimate       time.Duration // estimated time to the first event
	forecast       *admission.Forecast
	answerBegun    bool             // the first part of the answer has arrived
	cleared        bool             // the parts of its prompt are recorded as not crashing the engine
	firstByteAfter time.Duration    // time from arrival to the first part of the answer
	running        int              // requests at the engine on admission, including this one
	version        int64            // version of the weights
	minVersion     int64            // that the gateway requires; 0 for any
	repeatable     bool             // it may run more than once
	answerVersion  int64            // that the engine states in its answer; 0 without one
	versionLeft    time.Duration    // time left on admission to serve the version; 0 if it is not being replaced
	framing        dispatch.Framing // of the engine's answer; "" without an answer
}

// minVersionOf returns the oldest version that may run the request, from the gateway's header; 0 for any.
func minVersionOf(r *http.Request) int64 {
	version, err := strconv.ParseInt(r.Header.Get(wire.HeaderMinVersion), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// logAdmitted logs an admitted request with the inputs of its admission.
func (s *Sidecar) logAdmitted(a *admittedCall) {
	entry := s.logger.Info().Str("request", string(a.call.ID)).Int("tokens", a.call.PromptTokens)
	a.addVersionFields(entry).Int("running", a.running).Int("rank", a.rank).Dur("waited", a.ticket.Waited).Dur("estimated", a.estimate).Dur("first_event", a.firstByteAfter).Str("framing", string(a.framing)).Strs("prompt_parts", quarantine.LoggedParts(a.parts)).Dur("took", time.Since(a.arrived)).Msg("request admitted")
}

// firstEventBound returns the gateway's bound on the time to the first event; 0 for none.
func firstEventBound(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(wire.HeaderFirstEvent))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func timeoutOf(c *call.Call) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// forward sends the call to the engine and copies the answer to the gateway. It panics with http.ErrAbortHandler when the
// engine gives no answer or the answer breaks off, which closes the gateway's connection.
func (s *Sidecar) forward(w http.ResponseWriter, r *http.Request, a *admittedCall) bool {
	c, arrived := a.call, a.arrived
	timeout := c.Timeout
	if timeout > 0 {
		timeout -= time.Since(arrived)
	}
	a.sentAt, a.engineStart = bootclock.Now(), s.engineStart.Load()
	a.forecast = s.forecastErrors.Begin(a.estimate, a.sentAt)
	defer func() { a.forecast.End(bootclock.Now()) }()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	begun := func() {}
	if a.repeatable {
		begun = s.unbegun.add(a, cancel)
	}
	answer, err := s.pool.Send(ctx, &dispatch.Request{
		Address:      s.settings.EngineAddress,
		Method:       c.Method,
		Target:       c.Target,
		Host:         r.Host,
		Header:       s.codec.EncodeForwarded(c, call.SendOptions{Timeout: timeout, Version: a.version}),
		Body:         c.Body,
		NewConn:      c.ID == "", // without an id, a late response cannot be told apart
		Matches:      func(header http.Header) bool { return s.codec.DecodeResponse(0, header).ID == c.ID },
		Unidentified: func(header http.Header) bool { return s.codec.DecodeResponse(0, header).ID == "" },
		Check:        func() error { return s.checkSend(a) },
	})
	begun()
	if cause := context.Cause(ctx); errors.Is(cause, errNotBegun) {
		if answer != nil {
			answer.Close()
		}
		w.Header().Set(wire.HeaderTakenBack, "1")
		s.refuse(w, c, refusedVersionChange, cause)
		return false
	}
	if dispatch.NotSent(err) {
		s.refuse(w, c, reasonNotSent(err), err)
		return true
	}
	if err != nil {
		s.recordBroken(r, a)
		s.logEnded(r, a, err, nil).Msg("engine gave no answer")
		panic(http.ErrAbortHandler) // a closed connection tells the gateway that the outcome is unknown
	}
	defer answer.Close()
	a.framing = answer.Framing
	telemetry.AnswerReceived(string(answer.Framing))
	info := s.codec.DecodeResponse(answer.Status, answer.Header)
	a.answerVersion = info.Version
	s.recordEngineLoad(info)
	if s.withdrawal.recordAnswer(info.Leaving, info.HoldOff, bootclock.Now()) {
		s.logWithdrawal()
	}
	if info.RequestRate != nil || info.Signed {
		s.recordRate(info.RequestRate, a.sentAt)
	}
	s.copyAnswer(w, r, a, answer)
	return true
}

// withdrawnReason returns the reason of a refusal while the engine wants no requests, and otherwise "".
func (s *Sidecar) withdrawnReason() string {
	switch leaving, holdOff := s.withdrawn(); {
	case leaving:
		return refusedLeaving
	case holdOff > 0:
		return refusedHeldOff
	case s.rateWait() > 0:
		return refusedRate
	}
	return ""
}

// withdrawn returns whether the engine is leaving, by its own word or by the registry, and how much longer it wants no requests.
func (s *Sidecar) withdrawn() (leaving bool, holdOff time.Duration) {
	leaving, holdOff = s.withdrawal.state(bootclock.Now())
	return leaving || s.registryLeaves.Load(), holdOff
}

// logWithdrawal logs a change of what the engine says about taking requests.
func (s *Sidecar) logWithdrawal() {
	leaving, holdOff := s.withdrawn()
	s.logger.Info().Bool("leaving", leaving).Dur("hold_off", holdOff).Msg("engine's readiness for requests changed")
}

func (s *Sidecar) copyAnswer(w http.ResponseWriter, r *http.Request, a *admittedCall, answer *dispatch.Response) {
	header := w.Header()
	for name, values := range s.codec.CallerHeader(answer.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil
	}
	if r.Method == http.MethodHead {
		dispatch.CopyLength(header, answer.Header)
	}
	s.setLoadHeader(header)
	s.setProvenHeader(header)
	header.Set(wire.HeaderFraming, string(answer.Framing))
	w.WriteHeader(answer.Status)
	flusher, _ := w.(http.Flusher)
	controller := http.NewResponseController(w)
	defer s.extendWriteDeadline(controller, a) // for the end of the answer, which net/http writes
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			s.recordFirstByte(a)
			s.recordProgress(a)
			s.extendWriteDeadline(controller, a)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				s.logEnded(r, a, writeErr, writeErr).Msg("gateway does not take the answer")
				panic(http.ErrAbortHandler)
			}
			flusher.Flush()
		}
		if err == io.EOF {
			if err = s.confirmEnd(r, a, answer); err == nil {
				s.recordEnd(a, answer)
				return
			}
		}
		if err != nil {
			s.recordBroken(r, a)
			s.logEnded(r, a, err, nil).Msg("engine's answer broken off")
			panic(http.ErrAbortHandler)
		}
	}
}

// extendWriteDeadline gives the gateway gatewayReadTimeout from now on to read the next part of the answer.
func (s *Sidecar) extendWriteDeadline(controller *http.ResponseController, a *admittedCall) {
	if err := controller.SetWriteDeadline(time.Now().Add(gatewayReadTimeout)); err != nil {
		s.logger.Debug().Str("request", string(a.call.ID)).Err(err).Msg("gateway's connection is closed")
	}
}

// recordFirstByte records that the first part of the answer has arrived. Later calls do nothing.
func (s *Sidecar) recordFirstByte(a *admittedCall) {
	if a.answerBegun {
		return
	}
	a.answerBegun = true
	a.forecast.End(bootclock.Now())
	a.prompt.RecordFirstEvent()
	a.ticket.RecordFirstEvent()
	a.firstByteAfter = time.Since(a.arrived)
}

// setWithdrawalHeaders tells a gateway that the engine wants no requests, from any gateway.
func (s *Sidecar) setWithdrawalHeaders(header http.Header) {
	leaving, holdOff := s.withdrawn()
	holdOff = max(holdOff, s.rateWait())
	if leaving {
		header.Set(wire.HeaderLeaving, "1")
	}
	if holdOff > 0 {
		header.Set(wire.HeaderHoldOff, strconv.FormatInt(holdOff.Milliseconds()+1, 10))
	}
}

// refuse answers with 503 and the reason. The answer states that the request has not run and will not run here.
func (s *Sidecar) refuse(w http.ResponseWriter, c *call.Call, reason string, cause error) {
	telemetry.AdmissionRejected(reason)
	load := s.gate.Load()
	entry := s.logger.Info().Str("reason", reason).Int64("version", s.servingVersion.Load()).Int("running", load.Running).Int("limit", load.Limit)
	if c != nil {
		w.Header().Set(wire.HeaderRequest, string(c.ID))
		entry.Str("request", string(c.ID)).Int("tokens", c.PromptTokens)
	}
	if cause != nil {
		entry.Err(cause)
	}
	if forecast := forecastIn(cause); forecast > 0 {
		entry.Dur("forecast", forecast)
		w.Header().Set(wire.HeaderForecast, strconv.FormatInt(forecast.Milliseconds()+1, 10))
	}
	entry.Msg("request not admitted")
	w.Header().Set(wire.HeaderRefused, reason)
	s.setLoadHeader(w.Header())
	s.setProvenHeader(w.Header())
	s.setWithdrawalHeaders(w.Header())
	if reason == refusedLoading || reason == refusedVersionChange {
		w.Header().Set(wire.HeaderChanging, "1")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
