package placement

import "testing"

func TestStatedRateIsOfOneIncarnationAndExpires(t *testing.T) {
	p := NewPlacer()
	endpoint := newEndpoint("a", "east", 0)
	endpoint.Born = 5
	rate := 1.5
	if !p.RecordRate(endpoint, &rate, 0, 1) || p.RecordRate(endpoint, &rate, 1, 2) {
		t.Error("only the first record of a rate is new")
	}
	if got, stated := p.StatedRate(endpoint, 2); !stated || got != rate {
		t.Errorf("the rate is %v (%v), want %v", got, stated, rate)
	}
	restarted := *endpoint
	restarted.Born = 6
	if _, stated := p.StatedRate(&restarted, 2); stated {
		t.Error("the next incarnation is limited by the rate of the one before")
	}
	if _, stated := p.StatedRate(endpoint, 3+statedRateRetention); stated {
		t.Error("the rate holds without an answer that states it")
	}
}
