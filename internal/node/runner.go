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
	tickInterval    = 100 * time.Millisecond
	exchangeTimeout = 700 * time.Millisecond
	retryTimeout    = 500 * time.Millisecond // of the second try, over a fresh connection
	viaTimeout      = 1800 * time.Millisecond
	platformTimeout = 3 * time.Second
)

// Platform is what a node needs of the platform.
type Platform interface {
	platform.Tables
	platform.Objects
	platform.Hosts
}

// Runner performs the effects of a node's reducer and holds its view. OnView, if set, is called on the
// control thread after each new view and must not wait. Running, if set, counts the attempts at the back end.
type Runner struct {
	Loop     *reduce.Loop
	Platform Platform
	Peers    *rpc.Client
	Logger   *log.Logger
	OnView   func(*View)
	Running  func() int

	start   time.Time
	ticked  atomic.Int64 // time of the last tick that the reducer took, in nanoseconds since start
	view    atomic.Pointer[View]
	mu      sync.Mutex
	waiting map[uint64]chan wire.Exchange // by token
	token   uint64
}

// NewRunner returns the runner of a process that starts as self, follows the nodes of the role and asks the seeds, by
// their control addresses, for peers.
func NewRunner(self wire.Record, watch core.Role, seeds []string, services Platform, peers *rpc.Client, logger *log.Logger) *Runner {
	runner := &Runner{
		Platform: services,
		Peers:    peers,
		Logger:   logger,
		start:    time.Now(),
		waiting:  make(map[uint64]chan wire.Exchange),
	}
	self.Life = uint64(runner.start.Unix())
	runner.view.Store(&View{Self: self, Stale: true})
	state := NewState(Start{Self: self, Watch: watch, Seeds: seeds, Seed: rand.Uint64()})
	runner.Loop = reduce.NewLoop(runner.stepping(state), runner.apply, runner.perform)
	return runner
}

// stepping keeps the time up to which the reducer has decided, behind all effects of the step.
func (r *Runner) stepping(state *State) func(reduce.Event) []reduce.Effect {
	return func(event reduce.Event) []reduce.Effect {
		effects := state.Step(event)
		if tick, ok := event.(Tick); ok {
			effects = append(effects, ticked{at: tick.Now})
		}
		return effects
	}
}

// ticked is applied after the other effects of a tick.
type ticked struct {
	reduce.IsEffect
	at time.Duration
}

// View returns the latest view. It is never nil.
func (r *Runner) View() *View { return r.view.Load() }

// Fresh tells whether work may be decided under the view: a configuration is held, it was compared with the platform
// or with peers since the process started, and the process has not stood still since.
func (r *Runner) Fresh() bool {
	view := r.View()
	idle := time.Since(r.start) - time.Duration(r.ticked.Load())
	return view.Snapshot != nil && !view.Stale && idle < frozenGap
}

// HearGeneration takes note that the node at the control address holds the generation. It does not wait.
func (r *Runner) HearGeneration(generation core.Generation, address string) {
	if generation > r.View().Self.Generation {
		r.Loop.Offer(GenerationHeard{Generation: generation, Address: address})
	}
}

// HearFailure takes note that traffic could not connect to the host. It does not wait.
func (r *Runner) HearFailure(host core.HostID) {
	r.Loop.Offer(ContactFailed{Host: host})
}

// Run steps the reducer until the context ends.
func (r *Runner) Run(ctx context.Context) {
	go r.tick(ctx)
	r.Loop.Run(ctx)
}

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
	case Exchange:
		r.exchange(ctx, effect)
	case AskProbe:
		r.askProbe(ctx, effect)
	}
}

// apply performs on the control thread what must keep its order: views follow each other, and answers tell the state
// of the step that they belong to.
func (r *Runner) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case PublishView:
		r.publish(effect.View)
	case AnswerExchange:
		r.answer(effect)
	case ticked:
		r.ticked.Store(int64(effect.at))
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
