package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/quarantine"
)

// Control methods with which gateways ask the granter for the turn to send a suspect request, and tell it that the turn has ended.
const (
	methodTakeTurn = "quarantine.take_turn"
	methodEndTurn  = "quarantine.end_turn"
)

// turnSettleTime is how long a turn goes on after a send without a whole answer. Until then all gateways have learned whether it
// crashed an endpoint, and a quarantine that follows from it has begun.
const turnSettleTime = time.Second

// maxTurn bounds a turn of which the delegate does not hear again: the messages about it may be lost. Endpoints that a request crashes
// end long before, when they begin to run it.
const maxTurn = 2 * time.Second

// turnRequest is for both methods. Duration is the turn's length, or the time after which it ends.
type turnRequest struct {
	Part     core.PromptPart
	Holder   string
	Duration time.Duration
	Term     granterTerm // of the granter, as far as the asker knows
}

type turnResponse struct {
	Granted   bool
	Elsewhere *granterTerm `json:",omitempty"` // of the granter; nil if it is the one that answers
}

func (r turnResponse) elsewhere() *granterTerm { return r.Elsewhere }

// turnShare lets the gateways together send a suspect request to one endpoint at a time. A gateway that reaches no delegate takes
// turns by itself. It is safe for concurrent use.
type turnShare struct {
	group    *delegateGroup
	granted  *quarantine.Turns // by this gateway
	start    time.Duration     // on the boot clock
	logger   *log.Logger
	sequence atomic.Int64
}

func newTurnShare(group *delegateGroup, logger *log.Logger) *turnShare {
	return &turnShare{group: group, granted: quarantine.NewTurns(), start: bootclock.Now(), logger: logger}
}

// turn is the permission to send a suspect request once.
type turn struct {
	share   *turnShare
	granter string // control address of the gateway that granted it; "" for this gateway
	request turnRequest
}

// take returns the turn to send the request until the length has passed, or nil if another send has it.
func (s *turnShare) take(ctx context.Context, part core.PromptPart, length, now time.Duration) *turn {
	asked := bootclock.Now()
	holder := s.group.self + "/" + strconv.FormatInt(int64(asked), 36) + "/" + strconv.FormatInt(s.sequence.Add(1), 36)
	request := turnRequest{Part: part, Holder: holder, Duration: length}
	of := func(term granterTerm) turnRequest {
		request.Term = term
		return request
	}
	response, granter, ok := askGranter(ctx, s.group, string(part), methodTakeTurn, of, now, s.grant)
	if !ok {
		response, granter = s.grant(request), ""
	}
	if !response.Granted || ctx.Err() != nil || bootclock.Now()-asked >= length {
		return nil
	}
	return &turn{share: s, granter: granter, request: request}
}

// serve decides for another gateway.
func (s *turnShare) serve(ctx context.Context, request turnRequest) turnResponse {
	if next := s.group.mayGrant(ctx, request.Term); next != nil {
		return turnResponse{Elsewhere: next}
	}
	return s.grant(request)
}

// grant decides as the granter. It grants none until the last turn that its predecessor may have granted has settled.
func (s *turnShare) grant(request turnRequest) turnResponse {
	settled := bootclock.Now()-max(s.start, s.group.grantsSince()) >= turnSettleTime
	return turnResponse{Granted: settled && s.granted.Take(request.Part, request.Holder, request.Duration, bootclock.Now())}
}

// end ends a turn that this gateway has granted.
func (s *turnShare) end(request turnRequest) {
	s.granted.End(request.Part, request.Holder, request.Duration, bootclock.Now())
}

// end ends the turn after the delay. It does not wait for the delegate; a turn that it is not told of ends with its length.
func (t *turn) end(delay time.Duration) {
	request := t.request
	request.Duration = delay
	if t.granter == "" || t.granter == t.share.group.self {
		t.share.end(request)
		return
	}
	go func() {
		if err := t.share.group.call(context.Background(), t.granter, methodEndTurn, request, &struct{}{}); err != nil {
			t.share.logger.Debug().Err(err).Str("delegate", t.granter).Msg("delegate was not told of the end of a turn")
		}
	}()
}

// takeTurn takes the turn to send the call if it is suspect. It returns a refusalError if another send has the turn.
func (f *forwarder) takeTurn(ctx context.Context) (*turn, error) {
	part := f.g.quarantine.SuspectOf(f.parts)
	if part == "" {
		return nil, nil
	}
	if taken := f.g.turns.take(ctx, part, min(maxTurn, f.deadline-bootclock.Now()), f.g.now()); taken != nil {
		return taken, nil
	}
	return nil, &refusalError{reason: "an equal request, or one with a part under which endpoints have ended, is being sent elsewhere", suspect: true}
}
