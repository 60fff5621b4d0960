package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	tickInterval         = 100 * time.Millisecond
	exchangeTimeout      = 700 * time.Millisecond  // of the first attempt at an exchange
	retryTimeout         = 500 * time.Millisecond  // of the second attempt, over a new connection
	indirectProbeTimeout = 1800 * time.Millisecond // of an indirect probe through another node
	platformTimeout      = 3 * time.Second         // of a read from the platform
)

// Platform is the part of the platform's API that a node uses.
type Platform interface {
	platform.Tables
	platform.Objects
	platform.Hosts
}

// Runner runs a node's reducer, performs its effects and holds its latest view. OnView, if set, is called on the
// control thread after each new view and must not block. RunningAttempts, if set, returns the number of
// attempts at the back end.
type Runner struct {
	Loop            *reduce.Loop
	Platform        Platform
	Peers           *rpc.Client
	Logger          *log.Logger
	OnView          func(*View)
	RunningAttempts func() int

	start          time.Time
	lastTick       atomic.Int64 // time of the last tick that the reducer handled, in nanoseconds since start
	view           atomic.Pointer[View]
	mu             sync.Mutex
	pendingAnswers map[uint64]chan wire.Exchange // exchanges that wait for the reducer's answer, by token
	lastToken      uint64
}

// NewRunner returns the runner of a starting process with the record self. Its views show the nodes of watchedRole.
// The seeds are control addresses of the peers to contact first.
func NewRunner(self wire.Record, watchedRole core.Role, seeds []string, services Platform, peers *rpc.Client, logger *log.Logger) *Runner {
	runner := &Runner{
		Platform:       services,
		Peers:          peers,
		Logger:         logger,
		start:          time.Now(),
		pendingAnswers: make(map[uint64]chan wire.Exchange),
	}
	self.StartEpoch = uint64(runner.start.Unix())
	runner.view.Store(&View{Self: self, Stale: true})
	state := NewState(StateConfig{Self: self, WatchedRole: watchedRole, Seeds: seeds, RandomSeed: rand.Uint64()})
	runner.Loop = reduce.NewLoop(runner.stepFunc(state), runner.apply, runner.perform)
	return runner
}

// stepFunc returns the reducer's step function. After the effects of a tick, it adds an effect that records the time of
// the tick.
func (r *Runner) stepFunc(state *State) func(reduce.Event) []reduce.Effect {
	return func(event reduce.Event) []reduce.Effect {
		effects := state.Step(event)
		if tick, ok := event.(Tick); ok {
			effects = append(effects, tickApplied{at: tick.Now})
		}
		return effects
	}
}

// tickApplied records that all other effects of a tick have been applied.
type tickApplied struct {
	reduce.IsEffect
	at time.Duration
}

// View returns the latest view. It is never nil.
func (r *Runner) View() *View { return r.view.Load() }

// Fresh reports whether decisions may be made with the current view. A configuration must be in force and confirmed as
// current by the platform or by peers since the process started or resumed, and the last tick must be recent.
func (r *Runner) Fresh() bool {
	view := r.View()
	sinceTick := time.Since(r.start) - time.Duration(r.lastTick.Load())
	return view.Snapshot != nil && !view.Stale && sinceTick < suspensionGap
}

// ReportGeneration reports to the reducer that the node at the control address holds the generation. It does not block,
// and drops the report if the event queue is full.
func (r *Runner) ReportGeneration(generation core.Generation, address string) {
	if generation > r.View().Self.Generation {
		r.Loop.TryPost(GenerationSeen{Generation: generation, Address: address})
	}
}

// ReportConnectionFailure reports to the reducer that a data-path connection to the host failed. It does not block, and
// drops the report if the event queue is full.
func (r *Runner) ReportConnectionFailure(host core.HostID) {
	r.Loop.TryPost(ConnectionFailed{Host: host})
}

// Run runs the reducer until the context ends.
func (r *Runner) Run(ctx context.Context) {
	go r.tick(ctx)
	r.Loop.Run(ctx)
}

// tick posts a Tick at once and then every tickInterval, until the context ends.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.Loop.Post(ctx, Tick{Now: time.Since(r.start)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) perform(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case ReadHead:
		r.readHead(ctx, effect)
	case FetchSnapshot:
		r.fetchSnapshot(ctx, effect)
	case ListHosts:
		r.listHosts(ctx)
	case SendExchange:
		r.exchange(ctx, effect)
	case RequestProbe:
		r.requestProbe(ctx, effect)
	}
}

// apply performs the effects that must keep their order, on the control thread. Views are published in order, and an
// answer reflects the state after the step that produced it.
func (r *Runner) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case PublishView:
		r.publish(effect.View)
	case AnswerExchange:
		r.answer(effect)
	case tickApplied:
		r.lastTick.Store(int64(effect.at))
	default:
		return false
	}
	return true
}

func (r *Runner) publish(view *View) {
	if before := r.View(); before.Self.Generation != view.Self.Generation || before.Stale != view.Stale {
		r.Logger.Info().Uint64("generation", uint64(view.Self.Generation)).Bool("stale", view.Stale).Msg("configuration held")
	}
	r.view.Store(view)
	if r.OnView != nil {
		r.OnView(view)
	}
}
