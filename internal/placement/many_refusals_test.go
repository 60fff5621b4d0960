package placement

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// offer is an offer that an engine refused, unless it is the last one.
type offer struct {
	engine *playedEngine
	at     time.Duration
	delay  time.Duration // that the engine's refusal names
}

// byNamedDelay makes the last offer to the engine that named the shortest delay, as the gateway's pickToWait does.
func (p *play) byNamedDelay() chooser {
	idle := playedCosts.FirstEvent(0, promptTokens)
	var offers []offer // of the request under way
	return func(decider int, now time.Duration, tried map[catalog.EndpointID]bool) *playedEngine {
		if len(tried) == 0 {
			offers = nil
		} else {
			refused := offers[len(offers)-1]
			p.placers[decider].RecordForecast(refused.engine.ID, now, refused.delay)
		}
		chosen := p.byPlacer(decider, now, tried)
		if len(tried) == 3 {
			shortest := (objective - (now - offers[0].at)) / 2
			for _, offer := range offers {
				if offer.delay < shortest {
					chosen, shortest = offer.engine, offer.delay
				}
			}
		}
		offers = append(offers, offer{chosen, now, chosen.firstEvent(now) - idle})
		return chosen
	}
}

// At this load and noise, requests are refused four times while one of the engines would have served them on time.
func TestDelaysThatRefusalsNameBringMoreRequestsOnTime(t *testing.T) {
	const noise, load = true, 0.9
	without, with := newPlay(noise), newPlay(noise)
	before := without.shareOnTime(load, without.byPlacer)
	if got := with.shareOnTime(load, with.byNamedDelay()); got <= before {
		t.Errorf("%.4f of the first events are on time, %.4f if refusals name no delay", got, before)
	}
}
