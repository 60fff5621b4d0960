package claim

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
)

var errResultLost = errors.New("result lost")

// fakeTables is a table service that fails the next writes as configured.
type fakeTables struct {
	platform.Tables
	mu          sync.Mutex
	rows        map[string]platform.Row
	loseResults int // writes that take effect but return an error
	dropWrites  int // writes that take no effect and return an error
	roundTrips  int
	beforeWrite func() // called before a write takes effect
}

func newFakeTables() *fakeTables { return &fakeTables{rows: make(map[string]platform.Row)} }

func (f *fakeTables) Get(_ context.Context, _, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key], nil
}

func (f *fakeTables) Write(_ context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	if f.beforeWrite != nil {
		f.beforeWrite()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roundTrips++
	if f.dropWrites > 0 {
		f.dropWrites--
		return nil, errResultLost
	}
	results := make([]platform.WriteResult, len(writes))
	for i, write := range writes {
		results[i].Row = f.rows[write.Key]
		if results[i].Row.Revision == write.IfRevision {
			results[i] = platform.WriteResult{Written: true, Row: platform.Row{Key: write.Key, Value: write.Value, Revision: write.IfRevision + 1}}
			f.rows[write.Key] = results[i].Row
		}
	}
	if f.loseResults > 0 {
		f.loseResults--
		return nil, errResultLost
	}
	return results, nil
}

var key = Key{Workspace: "space", Service: "bookings", Key: "k"}

func TestAcquire(t *testing.T) {
	for _, test := range []struct {
		name                    string
		loseResults, dropWrites int
		earlier                 core.AttemptID // holder of an earlier claim
		want                    core.AttemptID
	}{
		{name: "free", want: "own"},
		{name: "held", earlier: "other", want: "other"},
		{name: "result lost after the write", loseResults: 1, want: "own"},
		{name: "result lost, held by another", loseResults: 1, earlier: "other", want: "other"},
		{name: "write lost", dropWrites: 1, want: "own"},
		{name: "write lost, result of the next lost", dropWrites: 1, loseResults: 1, want: "own"},
		{name: "every write lost", dropWrites: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			tables := newFakeTables()
			claimer := NewClaimer(tables)
			if test.earlier != "" {
				_, _ = claimer.Acquire(context.Background(), key, Holder{Attempt: test.earlier}, 0)
			}
			tables.loseResults, tables.dropWrites = test.loseResults, test.dropWrites
			got, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "own"}, 0)
			if got.Holder.Attempt != test.want || (err != nil) != (test.want == "") {
				t.Errorf("the claim names %q, %v", got.Holder.Attempt, err)
			}
		})
	}
}

func TestAcquireWithOldRevisionLoses(t *testing.T) {
	claimer := NewClaimer(newFakeTables())
	first, _ := claimer.Acquire(context.Background(), key, Holder{Attempt: "first"}, 0)
	_, _ = claimer.Acquire(context.Background(), key, Holder{Attempt: "second"}, first.Revision)
	got, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "third"}, first.Revision)
	if err != nil || got.Holder.Attempt != "second" {
		t.Errorf("the claim names %q, %v", got.Holder.Attempt, err)
	}
}

func TestRemovedClaimIsNotAcquired(t *testing.T) {
	tables := newFakeTables()
	claimer := NewClaimer(tables)
	first, _ := claimer.Acquire(context.Background(), key, Holder{Attempt: "first"}, 0)
	clear(tables.rows)
	if got, err := claimer.Acquire(context.Background(), key, Holder{Attempt: "second"}, first.Revision); err == nil {
		t.Errorf("the claim names %q", got.Holder.Attempt)
	}
}

func TestConcurrentWritesShareRoundTrips(t *testing.T) {
	tables := newFakeTables()
	entered, release := make(chan struct{}, 64), make(chan struct{})
	tables.beforeWrite = func() {
		entered <- struct{}{}
		<-release
	}
	claimer := NewClaimer(tables)
	var goroutines conc.WaitGroup
	acquire := func(i int) {
		own := core.AttemptID(fmt.Sprint(i))
		got, err := claimer.Acquire(context.Background(), Key{Key: fmt.Sprint(i)}, Holder{Attempt: own}, 0)
		if err != nil || got.Holder.Attempt != own {
			t.Errorf("claim %d names %q, %v", i, got.Holder.Attempt, err)
		}
	}
	goroutines.Go(func() { acquire(0) })
	<-entered
	for i := range maxBatchWrites {
		goroutines.Go(func() { acquire(i + 1) })
	}
	for claimer.batcher.queueLength() < maxBatchWrites {
		runtime.Gosched()
	}
	close(release)
	goroutines.Wait()
	if tables.roundTrips != 2 {
		t.Errorf("%d round trips, want 2", tables.roundTrips)
	}
}

func (b *batcher) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

func TestFingerprintDependsOnEveryField(t *testing.T) {
	seen := make(map[uint64]Content)
	for _, content := range []Content{
		{},
		{Service: "a"},
		{Method: "a"},
		{Path: "a"},
		{ContentType: "a"},
		{Body: []byte("a")},
		{Service: "a", Method: "b"},
		{Service: "ab"},
	} {
		if other, ok := seen[content.Fingerprint()]; ok {
			t.Errorf("%+v and %+v have the same fingerprint", content, other)
		}
		seen[content.Fingerprint()] = content
	}
}
