package routing

import (
	"testing"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestAffinitySendsOnePrefixToOneEndpointWhileIdle(t *testing.T) {
	service := BuildIndex(newView(t, 50, nil), entryLocality, NewLoadMeters()).Service("models")
	seen := make(map[core.HostID]bool)
	for seed := range uint64(100) {
		seen[service.Pick(Query{Seed: seed, Prefix: 42}).Host.ID] = true
	}
	if len(seen) != 1 {
		t.Errorf("requests with one prefix went to %d endpoints, want 1", len(seen))
	}
}

func TestAffinitySpreadsLoadAboveTheBound(t *testing.T) {
	meters := NewLoadMeters()
	service := BuildIndex(newView(t, 50, nil), entryLocality, meters).Service("models")
	for id := range map[core.HostID]bool{"h0": true, "h5": true, "h10": true, "h15": true, "h20": true, "h25": true, "h30": true, "h35": true, "h40": true, "h45": true} {
		meters.ForHost(id).RecordReport(wire.Load{Limit: 100}, 0)
	}
	counts := make(map[core.HostID]int)
	for seed := range uint64(200) {
		chosen := service.Pick(Query{Seed: seed, Prefix: 42})
		chosen.Meter.AddInFlight(1)
		counts[chosen.Host.ID]++
	}
	for id, count := range counts {
		if count > 200/10*5/4+1 {
			t.Errorf("%s got %d of 200 requests with one prefix over 10 endpoints", id, count)
		}
	}
	if len(counts) != 10 {
		t.Errorf("requests with one prefix went to %d of 10 endpoints", len(counts))
	}
}

func TestAffinityMovesOnlyPrefixesOfARemovedEndpoint(t *testing.T) {
	view := newView(t, 50, nil)
	before := BuildIndex(view, entryLocality, NewLoadMeters()).Service("models")
	delete(view.Records, "h5")
	after := BuildIndex(view, entryLocality, NewLoadMeters()).Service("models")
	for prefix := range uint64(500) {
		query := Query{Prefix: prefix + 1}
		previous, current := before.Pick(query).Host.ID, after.Pick(query).Host.ID
		if previous != "h5" && previous != current {
			t.Fatalf("prefix %d moved from %s to %s", prefix, previous, current)
		}
	}
}

func TestPrefixHashReadsOnlyThePrefix(t *testing.T) {
	long := make([]byte, 2*PrefixBytes)
	hash := PrefixHash(long)
	long[PrefixBytes] = 1
	if PrefixHash(long) != hash {
		t.Error("the hash depends on bytes after the prefix")
	}
	long[0] = 1
	if PrefixHash(long) == hash {
		t.Error("the hash does not depend on bytes of the prefix")
	}
}
