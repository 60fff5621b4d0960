// Package reduce runs a reducer: one goroutine owns the control state, steps it over events, and hands the effects
// that each step returns, as data, to a performer. Reducers see no clock and do no I/O; both arrive as events.
package reduce

import (
	"context"

	"github.com/sourcegraph/conc"
)

// Event is something that happened. Types that embed IsEvent are events.
type Event interface{ event() }

// IsEvent marks the type that embeds it as an event.
type IsEvent struct{}

func (IsEvent) event() {}

// Effect is something to be done. Types that embed IsEffect are effects.
type Effect interface{ effect() }

// IsEffect marks the type that embeds it as an effect.
type IsEffect struct{}

func (IsEffect) effect() {}

const queueLength = 4096 // events that may wait for the control thread

// Loop owns a reducer's control thread.
type Loop struct {
	events  chan Event
	step    func(Event) []Effect
	apply   func(Effect) bool
	perform func(context.Context, Effect)
}

// NewLoop returns a loop that steps the reducer. Each effect is offered to apply on the control thread, in order;
// apply must not wait. What it leaves, by returning false, is performed on a goroutine of its own.
func NewLoop(step func(Event) []Effect, apply func(Effect) bool, perform func(context.Context, Effect)) *Loop {
	return &Loop{events: make(chan Event, queueLength), step: step, apply: apply, perform: perform}
}

// Post hands an event to the control thread. It waits while the queue is full, until the context ends.
func (l *Loop) Post(ctx context.Context, event Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Offer hands an event to the control thread unless the queue is full. It does not wait.
func (l *Loop) Offer(event Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run steps the reducer until the context ends, then waits for the effects under way.
func (l *Loop) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			for _, effect := range l.step(event) {
				if l.apply(effect) {
					continue
				}
				tasks.Go(func() { l.perform(ctx, effect) })
			}
		}
	}
}
