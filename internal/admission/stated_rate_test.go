package admission

import (
	"testing"
	"time"
)

func TestStatedRateHoldsUntilALaterRequestIsAnsweredWithoutOne(t *testing.T) {
	const s = time.Second
	slow, slower := 1.4, 0.5
	var stated StatedRate
	steps := []struct {
		name        string
		rate        *float64
		requestedAt time.Duration
		now         time.Duration
		changed     bool
		want        float64 // 0 for none
	}{
		{"an answer without a rate", nil, 1 * s, 2 * s, false, 0},
		{"a first rate", &slow, 2 * s, 3 * s, true, 1.4},
		{"the same rate", &slow, 3 * s, 5 * s, false, 1.4},
		{"an answer that was overtaken", nil, 4 * s, 6 * s, false, 1.4},
		{"another rate", &slower, 5 * s, 7 * s, true, 0.5},
		{"the answer to a later request", nil, 8 * s, 9 * s, true, 0},
		{"a further answer", nil, 9 * s, 10 * s, false, 0},
	}
	for _, step := range steps {
		if changed := stated.Record(step.rate, step.requestedAt, step.now); changed != step.changed {
			t.Errorf("%s: changed is %v", step.name, changed)
		}
		rate, known := stated.Rate()
		if known != (step.want > 0) || known && rate != step.want {
			t.Errorf("%s: the rate is %v (%v), want %v", step.name, rate, known, step.want)
		}
	}
}
