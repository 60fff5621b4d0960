//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// crashingPlan is how requests come whose prompts share a part that crashes engines.
type crashingPlan struct {
	gateways, engines int
	sharedParts       int // of each prompt, beside its last
	crashingPosition  int // of the crashing part among them, from 0
	soundInterval     time.Duration
	crashInterval     time.Duration
	downTime          time.Duration
	calm, duration    time.Duration // before the part crashes engines, and from then on
	answeredBefore    bool          // requests with the part come from the start on, and are answered until it crashes engines
	seedsGone         bool          // all machines that the settings name as seeds were removed
	repeats           bool          // it is one request that comes again and again, with the same path, caller and body
	newSessions       bool          // each time in another session, which the last part of its prompt names
	soundCount        bool          // the rule on sound requests (LOST) is checked, otherwise that on requests with the part (BUDGET)
}

// manyParts is a prompt of a long session: one part for each of its turns.
var manyParts = crashingPlan{gateways: 3, engines: 4, sharedParts: 20, crashingPosition: 17, soundInterval: 50 * time.Millisecond, crashInterval: 250 * time.Millisecond, downTime: 3 * time.Second, calm: 5 * time.Second, duration: 25 * time.Second, soundCount: true}

// bursts are short prompts; the crashing requests come so often that all engines crash at nearly the same moment.
var bursts = crashingPlan{gateways: 3, engines: 6, sharedParts: 2, crashingPosition: 1, soundInterval: 50 * time.Millisecond, crashInterval: 33 * time.Millisecond, downTime: 4 * time.Second, calm: 5 * time.Second, duration: 25 * time.Second}

// answeredBefore is a short prompt that is answered like any other until one of its parts begins to crash engines.
var answeredBefore = crashingPlan{gateways: 3, engines: 4, sharedParts: 2, crashingPosition: 1, soundInterval: 50 * time.Millisecond, crashInterval: 4500 * time.Millisecond, downTime: 3 * time.Second, calm: 14 * time.Second, duration: 35 * time.Second, answeredBefore: true}

// seedsGone is a short prompt, in a deployment whose processes were started before all of their seeds were replaced.
var seedsGone = crashingPlan{gateways: 3, engines: 4, sharedParts: 2, crashingPosition: 1, soundInterval: 50 * time.Millisecond, crashInterval: 500 * time.Millisecond, downTime: 4 * time.Second, calm: 5 * time.Second, duration: 25 * time.Second, seedsGone: true}

// sameRequest is a request that crashes the engines that run it and comes again as it was.
var sameRequest = crashingPlan{gateways: 3, engines: 4, sharedParts: 1, crashingPosition: -1, soundInterval: 50 * time.Millisecond, crashInterval: 500 * time.Millisecond, downTime: 4 * time.Second, calm: 5 * time.Second, duration: 25 * time.Second, repeats: true}

// newSession is a request that crashes the engines that run it and comes again in other sessions.
var newSession = crashingPlan{gateways: 3, engines: 4, sharedParts: 1, crashingPosition: -1, soundInterval: 50 * time.Millisecond, crashInterval: 500 * time.Millisecond, downTime: 4 * time.Second, calm: 5 * time.Second, duration: 25 * time.Second, repeats: true, newSessions: true}

// Of the rules. BUDGET: more than maxLateArrivals requests reach engines later than stableTime after the crash from which on they have to be
// known. LOST: of minSound sound requests or more, sent from twice that time after the crash on, less than half as many begin as before.
const (
	knownPartCrashes    = 5
	knownRequestCrashes = 3
	maxLateArrivals     = 3
	minSound            = 20
)

// promptOf returns the prompt of the request with the number. Sound requests share the caller and the other parts.
func (p crashingPlan) promptOf(number int, crashing bool) string {
	var parts []string
	if p.repeats && crashing && !p.newSessions {
		number = 0
	}
	for position := range p.sharedParts {
		id := fmt.Sprintf("%08x", 0xa0000000+position)
		switch {
		case position == p.crashingPosition && crashing && !p.repeats:
			id = crashingPart
		case position == p.crashingPosition && !(p.repeats && crashing):
			id = fmt.Sprintf("%08x", 0xc0000000+number)
		}
		parts = append(parts, id+":20")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:100", 0xb0000000+number)), ",")
}

// bodyOf returns the body of the request with the number.
func (p crashingPlan) bodyOf(number int, crashing bool) string {
	if p.repeats && crashing {
		return crashingBody
	}
	return fmt.Sprintf("prompt %d", number)
}

// crashingPrompts plays the plan and checks a rule on prompts with a part that crashes engines.
func crashingPrompts(f *fleet, trouble bool, plan crashingPlan) (bool, error) {
	f.store.Configure(platformtest.Configuration{
		Version:       1,
		Routes:        []platformtest.Route{{Name: "brief", Kind: "stream", Service: "models", TimeoutMs: 6000, MaxAttempts: 2, Resumable: true, Generates: true, ObjectiveMs: 500, PauseMs: 400}},
		EngineService: "models", Slots: 16, Weights: f.weights, Origin: f.origin.Address(), Keys: []string{clientKey},
		Pace: &platformtest.Pace{StepMs: 8.87, PerSequenceMs: 0.04, ReadPerS: 19100, ChunkTokens: 2048, Stride: 5, CapacityTokens: 1180000},
	})
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	begun := make(map[string]bool)
	var crashing atomic.Bool
	crashing.Store(trouble && !plan.answeredBefore)
	for i := range plan.engines {
		e := &engine{
			fleet: f, number: i, service: "models", slots: 16, downTime: plan.downTime, crashes: &crashing,
			onCrash: func(at time.Time, _ string) {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, at)
			},
			onRun: func(at time.Time, crashing bool) {
				mu.Lock()
				defer mu.Unlock()
				if crashing {
					arrivals = append(arrivals, at)
				}
			},
			onBegin: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				begun[id] = true
			},
		}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	var seeds []string
	for i := range plan.gateways {
		if plan.seedsGone && trouble {
			i += plan.gateways // no machine is there
		}
		seeds = append(seeds, f.controlAddress(i))
	}
	for i := range plan.gateways {
		if err := f.startGateway(i, seeds); err != nil {
			return false, err
		}
	}
	for i := range plan.engines {
		if err := f.startSidecar(i, "models", seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(plan.gateways); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the sidecars learn their engines' versions
	c := &clients{fleet: f}
	began := time.Now()
	nextSound, nextCrashing := began, began.Add(plan.calm)
	if plan.answeredBefore {
		nextCrashing = began
		time.AfterFunc(plan.calm, func() {
			f.record.add("from now on the part crashes engines: %v", trouble)
			crashing.Store(trouble)
		})
	}
	for number := 0; time.Since(began) < plan.calm+plan.duration; number++ {
		hasPart := nextCrashing.Before(nextSound)
		next := &nextSound
		kind, interval := "sound", plan.soundInterval
		if hasPart {
			next, kind, interval = &nextCrashing, "crashing", plan.crashInterval
		}
		time.Sleep(time.Until(*next))
		*next = next.Add(interval)
		c.send(request{id: fmt.Sprintf("%s-%d", kind, number), method: "POST", route: "brief", prompt: plan.promptOf(number, hasPart), body: plan.bodyOf(number, hasPart), gateway: number % plan.gateways, deadline: 6 * time.Second})
	}
	c.running.Wait()
	if ended := f.ended(); len(ended) > 0 {
		return false, fmt.Errorf("processes have ended: %v", ended)
	}
	mu.Lock()
	defer mu.Unlock()
	f.record.tell("%d crashes of engines, %d requests of the kind that crashes them reached engines", len(crashes), len(arrivals))
	knownCrashes := knownPartCrashes
	if plan.repeats {
		knownCrashes = knownRequestCrashes
	}
	known := began.Add(plan.calm) // without crashes
	if len(crashes) >= knownCrashes {
		known = crashes[knownCrashes-1]
	}
	late := 0
	for _, at := range arrivals {
		if at.After(known.Add(stableTime)) && len(crashes) >= knownCrashes {
			late++
		}
	}
	f.record.tell("%d of them later than %v after crash number %d; the rule BUDGET allows %d", late, stableTime, knownCrashes, maxLateArrivals)
	before, after := soundShares(c, begun, began.Add(plan.calm), known.Add(2*stableTime))
	f.record.tell("sound requests that begin: %v before, %v from %v after that crash on; the rule LOST asks for half", before, after, 2*stableTime)
	if plan.soundCount {
		return before.sent >= minSound && after.sent >= minSound && 2*after.of() < before.of(), nil
	}
	return late > maxLateArrivals, nil
}

// share is how many of the requests that were sent have begun.
type share struct{ begun, sent int }

func (s share) of() float64 { return float64(s.begun) / float64(max(1, s.sent)) }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.begun, s.sent) }

// soundShares returns the shares of the sound requests sent before the first time and from the second on.
func soundShares(c *clients, begun map[string]bool, until, from time.Time) (before, after share) {
	for _, o := range c.all() {
		counted := &before
		switch {
		case !strings.HasPrefix(o.id, "sound"):
			continue
		case !o.sentAt.Before(from):
			counted = &after
		case !o.sentAt.Before(until):
			continue
		}
		counted.sent++
		if begun[o.id] {
			counted.begun++
		}
	}
	return before, after
}
