package membership

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func host(id core.HostID) core.Host {
	return core.Host{ID: id, Role: core.RoleAgent, FailureDomain: "a", ControlAddress: "10.0.0.1:7002"}
}

func newTable(id core.HostID) *Table {
	return NewTable(wire.Record{Host: host(id), Incarnation: 1, StartEpoch: 100, Phase: wire.PhaseReady})
}

// referenceTable is a reference implementation of the table. It keeps every update and derives the state of a host from
// all of them.
type referenceTable struct {
	updates map[core.HostID][]wire.Update
}

// latest returns the host's update with the latest record and the one with the latest listing.
func (n *referenceTable) latest(id core.HostID) (record, listing wire.Update) {
	for _, update := range n.updates[id] {
		if cmp.Or(cmp.Compare(update.StartEpoch, record.StartEpoch), cmp.Compare(update.Incarnation, record.Incarnation),
			cmp.Compare(update.Sequence, record.Sequence), cmp.Compare(update.Verdict, record.Verdict)) > 0 {
			record = update
		}
		if cmp.Or(cmp.Compare(update.ListingVersion, listing.ListingVersion), cmp.Compare(update.Listing, listing.Listing)) > 0 {
			listing = update
		}
	}
	return record, listing
}

func drawUpdate(t *rapid.T) wire.Update {
	id := core.HostID(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "host"))
	at := host(id)
	return wire.Update{
		Host:           id,
		HostInfo:       &at,
		StartEpoch:     rapid.Uint64Range(1, 3).Draw(t, "start epoch"),
		Incarnation:    core.Incarnation(rapid.Uint64Range(1, 2).Draw(t, "incarnation")),
		Sequence:       rapid.Uint64Range(0, 4).Draw(t, "sequence"),
		Verdict:        wire.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
		Phase:          rapid.SampledFrom([]wire.Phase{wire.PhaseStarting, wire.PhaseReady, wire.PhaseDraining}).Draw(t, "phase"),
		ListingVersion: rapid.Uint64Range(0, 3).Draw(t, "listed"),
		Listing:        rapid.SampledFrom([]core.HostState{"", core.HostLive, core.HostLeaving}).Draw(t, "listing"),
	}
}

// TestTableMatchesReference merges random updates in random order and compares every member with the reference table.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable("a")
		reference := &referenceTable{updates: make(map[core.HostID][]wire.Update)}
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			update := drawUpdate(t)
			if update.ListingVersion == 0 {
				update.Listing = ""
			}
			table.Merge(update, "x", 0)
			reference.updates[update.Host] = append(reference.updates[update.Host], update)
			compareWithReference(t, table, reference)
		}
	})
}

func compareWithReference(t *rapid.T, table *Table, reference *referenceTable) {
	for id := range reference.updates {
		record, listing := reference.latest(id)
		member := table.Member(id)
		if member.Record.StartEpoch != record.StartEpoch || member.Record.Incarnation != record.Incarnation || member.Record.Sequence != record.Sequence || member.Verdict != record.Verdict {
			t.Fatalf("%s: got record %+v with verdict %v, want %+v", id, member.Record, member.Verdict, record)
		}
		if member.ListingVersion != listing.ListingVersion || member.ListedState != listing.Listing {
			t.Fatalf("%s: got listing %d %q, want %d %q", id, member.ListingVersion, member.ListedState, listing.ListingVersion, listing.Listing)
		}
	}
}

// TestTablesConverge applies random changes and exchanges to several tables. After all pairs have been reconciled, the
// tables must be equal. A table must never go back to a lower StartEpoch of a host.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, 4)
		for i := range tables {
			tables[i] = newTable(core.HostID(fmt.Sprint("host-", i)))
		}
		highest := make(map[core.HostID]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, j := rapid.IntRange(0, 3).Draw(t, "i"), rapid.IntRange(0, 3).Draw(t, "j")
			applyRandomStep(t, tables, i, j)
			checkStartEpochNeverDecreases(t, tables[i], highest)
		}
		for range 3 {
			for i := range tables {
				for j := range tables {
					reconcile(tables[i], tables[j])
				}
			}
		}
		for i := range tables {
			if tables[i].Hash() != tables[0].Hash() {
				t.Fatalf("tables 0 and %d differ after reconciliation", i)
			}
		}
	})
}

// applyRandomStep applies a random exchange, verdict, time-out, change, restart or listing.
func applyRandomStep(t *rapid.T, tables []*Table, i, j int) {
	switch rapid.SampledFrom([]string{"exchange", "suspect", "expire", "change", "replace", "list"}).Draw(t, "step") {
	case "exchange":
		for _, update := range tables[i].NextGossip(tables[j].self) {
			tables[j].Merge(update, tables[i].self, 0)
		}
	case "suspect":
		tables[i].RaiseVerdict(tables[j].self, wire.Suspect, 0)
	case "expire":
		tables[i].ExpireSuspects(time.Hour)
	case "change":
		tables[i].SetSelf(func(self *wire.Record) { self.Phase = wire.PhaseDraining }, true)
	case "replace":
		before := tables[i].Self()
		before.Incarnation += 10
		before.StartEpoch = rapid.Uint64Range(99, 101).Draw(t, "start epoch") // may be lower, if the host's clock went back
		before.Sequence = 0
		tables[i] = NewTable(before)
	case "list":
		tables[i].ApplyHostList([]core.Host{host(tables[j].self)}, true)
	}
}

// checkStartEpochNeverDecreases checks that the table never goes back to a lower StartEpoch of a host.
func checkStartEpochNeverDecreases(t *rapid.T, table *Table, highest map[core.HostID]uint64) {
	for _, member := range table.Members() {
		key := core.HostID(fmt.Sprint(table.self, table.Self().Incarnation, member.id))
		if member.Record.StartEpoch < highest[key] {
			t.Fatalf("%s went back to StartEpoch %d of %s, from %d", table.self, member.Record.StartEpoch, member.id, highest[key])
		}
		highest[key] = member.Record.StartEpoch
	}
}

// reconcile compares two tables and sends each one the updates that it lacks.
func reconcile(a, b *Table) {
	updates, missing := b.Differences(a.Digest(7))
	var older []core.HostID
	for _, update := range updates {
		if a.Merge(update, b.self, 0).HaveNewer {
			older = append(older, update.Host)
		}
	}
	for _, update := range a.UpdatesFor(missing, append(older, a.self)) {
		b.Merge(update, a.self, 0)
	}
}
