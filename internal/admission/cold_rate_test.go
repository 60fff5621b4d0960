package admission

import (
	"testing"
	"time"
)

// Two hundred callers come back within two seconds of an endpoint's start. Each second of any offset is looked at.
func TestColdEndpointStaysWithinItsRequestRate(t *testing.T) {
	const perSecond = 22
	var rate ColdRate
	rate.SetCold(13*time.Second, perSecond)
	var sent []time.Duration
	for now := 10 * time.Second; now < 12*time.Second; now += 10 * time.Millisecond {
		if rate.Admit(now) {
			sent = append(sent, now)
		}
	}
	if len(sent) != 2*perSecond {
		t.Errorf("%d requests in two seconds, want %d", len(sent), 2*perSecond)
	}
	for i := range sent {
		within := 0
		for _, other := range sent[i:] {
			if other-sent[i] < time.Second {
				within++
			}
		}
		if within > perSecond {
			t.Fatalf("%d requests in the second from %v", within, sent[i])
		}
	}
}

func TestRequestsBeforeTurningColdCountTowardsTheRate(t *testing.T) {
	const perSecond = 5
	var rate ColdRate
	rate.SetCold(0, perSecond)
	for range 20 {
		if !rate.Admit(10 * time.Second) {
			t.Fatal("a warm endpoint is bound")
		}
	}
	rate.SetCold(15*time.Second, perSecond)
	if rate.Admit(10500 * time.Millisecond) {
		t.Error("the second in which it turned cold is not counted")
	}
	if !rate.Admit(11 * time.Second) {
		t.Error("it gets nothing in the next second")
	}
}

func TestZeroColdRateMeansUnlimited(t *testing.T) {
	var rate ColdRate
	rate.SetCold(time.Hour, 0)
	for range 1000 {
		if !rate.Admit(time.Second) {
			t.Fatal("refused")
		}
	}
}
