package retry

import (
	"sort"
	"testing"
	"time"
)

func TestBudgetLimitsRetriesToAShareOfTraffic(t *testing.T) {
	budget := NewBudget(0.2, 10)
	retries := 0
	for range 1000 { // every first attempt fails and tries three retries
		budget.Deposit()
		for range 3 {
			if budget.TryWithdraw() {
				retries++
			}
		}
	}
	if retries < 200 || retries > 210 {
		t.Errorf("%d retries for 1000 first attempts, want 200 to 210", retries)
	}
}

func TestBudgetsOfServicesAreIndependent(t *testing.T) {
	budgets := NewBudgets()
	for range 2 * budgetMaxTokens {
		budgets.Get("failing").TryWithdraw()
	}
	if !budgets.Get("healthy").TryWithdraw() {
		t.Error("the healthy service has no budget left")
	}
	if budgets.Get("failing").TryWithdraw() {
		t.Error("the failing service still has budget")
	}
}

func TestRetryAfterSpreadsCallersWiderUnderMoreLoad(t *testing.T) {
	for _, step := range []struct{ demand, capacity, want int }{{0, 0, 2}, {5, 10, 2}, {40, 10, 8}, {10_000, 10, 30}} {
		seen := make(map[int]bool)
		for seed := range uint64(1000) {
			after := RetryAfterSeconds(step.demand, step.capacity, seed)
			if after < minRetryAfterSeconds || after > minRetryAfterSeconds+maxRetryAfterSeconds {
				t.Fatalf("demand %d, capacity %d: delay of %d s is out of range", step.demand, step.capacity, after)
			}
			seen[after] = true
		}
		if len(seen) != step.want {
			t.Errorf("demand %d, capacity %d: delays spread over %d values, want %d", step.demand, step.capacity, len(seen), step.want)
		}
	}
}

func TestHedgeDelayIsThe95thPercentile(t *testing.T) {
	var first FirstByteTimes
	var times []time.Duration
	for i := range minHedgeSamples - 1 {
		first.Record(time.Duration(i+1) * time.Millisecond)
	}
	if _, ok := first.HedgeDelay(); ok {
		t.Error("hedging is allowed with too few samples")
	}
	first = FirstByteTimes{}
	for i := range 400 {
		times = append(times, time.Duration(i*i)*100*time.Microsecond+time.Millisecond)
		first.Record(times[i])
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	exact := times[379]
	delay, ok := first.HedgeDelay()
	if !ok || delay < exact || delay > exact*9/8 {
		t.Errorf("the delay is %v, the exact percentile is %v", delay, exact)
	}
}

func TestHedgeDelayAdaptsToAFasterService(t *testing.T) {
	var first FirstByteTimes
	for range maxHedgeSamples {
		first.Record(time.Second)
	}
	for range 10 * maxHedgeSamples {
		first.Record(40 * time.Millisecond)
	}
	if delay, _ := first.HedgeDelay(); delay > 50*time.Millisecond {
		t.Errorf("the delay is still %v after the service became faster", delay)
	}
	for _, extreme := range []time.Duration{-time.Second, 0, time.Nanosecond, 1 << 62} {
		first.Record(extreme)
	}
}

func TestRetryThatIsNotSentCostsNothing(t *testing.T) {
	b := NewBudget(0, 1)
	for range 3 {
		if !b.TryWithdraw() {
			t.Fatal("no token is left after one was given back")
		}
		b.Return()
	}
	b.Return()
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Error("the budget is not bounded")
	}
}
