package claim

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

// restorableTables answers with an era. It can lose all rows, as a restore from an old copy does.
type restorableTables struct {
	*fakeTables
	era uint64
}

func (r *restorableTables) Get(ctx context.Context, table, key string) (platform.Row, error) {
	row, err := r.fakeTables.Get(ctx, table, key)
	row.Era = r.era
	return row, err
}

func (r *restorableTables) Write(ctx context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	results, err := r.fakeTables.Write(ctx, writes)
	for i := range results {
		results[i].Row.Era = r.era
	}
	return results, err
}

func (r *restorableTables) restore() {
	clear(r.rows)
	r.era++
}

func newRestorable(t *testing.T) (*restorableTables, *Claimer, *time.Time) {
	t.Helper()
	tables := &restorableTables{fakeTables: newFakeTables(), era: 1}
	claimer := NewClaimer(tables)
	now := time.Unix(1000, 0)
	claimer.restores.now = func() time.Time { return now }
	if _, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "first"}, 0); err != nil {
		t.Fatal(err)
	}
	return tables, claimer, &now
}

// A resend after a restore must not get a claim of its own: the first one, which ran, may have been lost.
func TestLostClaimIsNotWrittenAgainAtOnce(t *testing.T) {
	tables, claimer, now := newRestorable(t)
	tables.restore()
	if got, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "second"}, 0); err == nil {
		t.Fatalf("the write that shows the restore gave the claim to %q", got.Holder.Attempt)
	}
	other := Key{Service: "bookings", Key: "other"}
	_, err := claimer.Acquire(context.Background(), other, Holder{Attempt: "third"}, 0)
	if !fault.Is(err, fault.PlatformUnavailable) || fault.RetryAfter(err) != int(lossWindow/time.Second)+1 {
		t.Errorf("a claim shortly after a restore: %v", err)
	}
	if _, written := tables.rows[other.row()]; written {
		t.Error("a refused claim was written")
	}
	if _, err := claimer.Read(context.Background(), other); err == nil {
		t.Error("a claim that may be lost is reported as absent")
	}
	*now = now.Add(lossWindow)
	if got, err := claimer.Acquire(context.Background(), other, Holder{Attempt: "third"}, 0); err != nil || got.Holder.Attempt != "third" {
		t.Errorf("after the window the claim names %q, %v", got.Holder.Attempt, err)
	}
}

// A claim that the copy holds is followed as before.
func TestClaimThatSurvivedARestoreIsFollowed(t *testing.T) {
	tables, claimer, _ := newRestorable(t)
	tables.era++
	if got, err := claimer.Read(context.Background(), key); err != nil || got.Holder.Attempt != "first" {
		t.Errorf("the claim names %q, %v", got.Holder.Attempt, err)
	}
	if got, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "second"}, 0); err != nil || got.Holder.Attempt != "first" {
		t.Errorf("the claim names %q, %v", got.Holder.Attempt, err)
	}
}
