// Package reduce runs a reducer, which is a state machine without I/O. One goroutine owns the state, applies events
// to it, and passes on the effects that each step returns as data. Reducers read no clock and do no I/O: time and
// results arrive as events.
package reduce

import (
	"context"

	"github.com/sourcegraph/conc"
)

// Event is an input of a reducer. A type becomes an event by embedding IsEvent.
type Event interface{ event() }

// IsEvent marks the embedding type as an event.
type IsEvent struct{}

func (IsEvent) event() {}

// Effect is an action that a reducer asks for. A type becomes an effect by embedding IsEffect.
type Effect interface{ effect() }

// IsEffect marks the embedding type as an effect.
type IsEffect struct{}

func (IsEffect) effect() {}

const queueLength = 4096 // events waiting for the control goroutine

// Loop runs a reducer's control goroutine.
type Loop struct {
	events  chan Event
	step    func(Event) []Effect
	apply   func(Effect) bool
	perform func(context.Context, Effect)
}

// NewLoop returns a loop for the reducer step. Each effect is first passed to apply on the control goroutine, in
// order; apply must not block. If apply returns false, perform handles the effect on a goroutine of its own.
func NewLoop(step func(Event) []Effect, apply func(Effect) bool, perform func(context.Context, Effect)) *Loop {
	return &Loop{events: make(chan Event, queueLength), step: step, apply: apply, perform: perform}
}

// Post queues an event for the reducer. It blocks while the queue is full, until the context ends.
func (l *Loop) Post(ctx context.Context, event Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// TryPost queues an event for the reducer, or drops it if the queue is full. It never blocks.
func (l *Loop) TryPost(event Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run processes events until the context ends, then waits for effects that are still running.
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
