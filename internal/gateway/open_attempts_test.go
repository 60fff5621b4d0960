package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSilentAttemptIsEndedOnlyByOneThatGoesOn(t *testing.T) {
	type step struct {
		kind reportKind
		id   int // begun with its first report
		want decision
	}
	ask, deliver := decision{ask: true}, decision{deliver: true}
	for name, steps := range map[string][]step{
		"the second takes over":           {{reportSilent, 0, ask}, {reportEvent, 1, decision{deliver: true, overtaken: []int{0}}}, {reportEvent, 0, decision{}}, {reportWhole, 1, deliver}},
		"the first goes on":               {{reportEvent, 0, deliver}, {reportSilent, 0, ask}, {reportComment, 1, decision{}}, {reportEvent, 0, decision{deliver: true, overtaken: []int{1}}}, {reportEvent, 1, decision{}}, {reportWhole, 1, decision{}}},
		"the first ends in order":         {{reportSilent, 0, ask}, {reportComment, 1, decision{}}, {reportWhole, 0, decision{deliver: true, overtaken: []int{1}}}},
		"the second fails":                {{reportSilent, 0, ask}, {reportFailed, 1, ask}, {reportEvent, 0, deliver}},
		"the first fails":                 {{reportSilent, 0, ask}, {reportComment, 1, decision{}}, {reportFailed, 0, decision{}}, {reportWhole, 1, deliver}},
		"both are silent":                 {{reportSilent, 0, ask}, {reportSilent, 1, ask}, {reportFailed, 2, ask}, {reportWhole, 1, decision{deliver: true, overtaken: []int{0}}}},
		"silent, on, and silent again":    {{reportSilent, 0, ask}, {reportEvent, 0, deliver}, {reportSilent, 0, ask}},
		"comments are no progress":        {{reportComment, 0, deliver}, {reportSilent, 0, ask}, {reportComment, 0, deliver}},
		"fails without another":           {{reportFailed, 0, ask}, {reportFailed, 1, ask}},
		"the end of one that was ended":   {{reportSilent, 0, ask}, {reportEvent, 1, decision{deliver: true, overtaken: []int{0}}}, {reportFailed, 0, decision{}}, {reportSilent, 0, decision{}}},
		"the first fails as the last one": {{reportSilent, 0, ask}, {reportSilent, 1, ask}, {reportFailed, 0, ask}, {reportFailed, 1, ask}},
	} {
		var open openAttempts
		begun := make(map[int]bool)
		for i, s := range steps {
			if !begun[s.id] {
				begun[s.id] = true
				open = open.begin(s.id)
			}
			var got decision
			open, got = open.after(s.kind, s.id)
			if got.deliver != s.want.deliver || got.ask != s.want.ask || !slices.Equal(got.overtaken, s.want.overtaken) {
				t.Errorf("%s, step %d: %+v, want %+v", name, i, got, s.want)
			}
		}
	}
}

// Whatever is reported, the caller gets events of one run, or of a run that was begun after the last event.
func TestEventsOfTwoRunsAreNeverMixed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		var open openAttempts
		var startedAt []int // by attempt: events that the caller had
		delivered := 0
		begin := func() {
			open = open.begin(len(startedAt))
			startedAt = append(startedAt, delivered)
		}
		begin()
		for range 30 {
			id, kind := random.IntN(len(startedAt)), reportKind(random.IntN(int(reportFailed)+1))
			before := len(open)
			var next decision
			open, next = open.after(kind, id)
			if next.deliver && kind != reportComment && startedAt[id] != delivered {
				t.Fatalf("attempt %d goes on after event %d, the caller has %d", id, startedAt[id], delivered)
			}
			if before > 0 && len(open) == 0 && kind != reportFailed && kind != reportWhole {
				t.Fatalf("kind %d ended the last attempt", kind)
			}
			if next.deliver && kind == reportEvent {
				delivered++
				startedAt[id] = delivered
			}
			if next.ask && random.IntN(2) == 0 {
				begin()
			}
		}
	}
}
