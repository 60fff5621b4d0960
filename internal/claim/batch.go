package claim

import (
	"context"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

const (
	maxBatch     = 64                      // writes in one round trip
	batchTimeout = 1500 * time.Millisecond // for the round trip of a batch
)

// batcher sends the writes that come while a round trip is under way together in the next one. An idle batcher sends
// a write at once.
type batcher struct {
	tables  platform.Tables
	mu      sync.Mutex
	waiting []*pending
	sending bool
}

// pending is one write that waits for its result.
type pending struct {
	write  platform.Write
	result platform.WriteResult
	err    error
	done   chan struct{}
}

func newBatcher(tables platform.Tables) *batcher {
	return &batcher{tables: tables}
}

// write waits for the write's own result. An error says nothing of whether it took effect.
func (b *batcher) write(ctx context.Context, write platform.Write) (platform.WriteResult, error) {
	own := &pending{write: write, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, own)
	lead := !b.sending
	b.sending = true
	b.mu.Unlock()
	if lead {
		go b.send()
	}
	select {
	case <-own.done:
		return own.result, own.err
	case <-ctx.Done():
		return platform.WriteResult{}, fault.Wrap(ctx.Err(), fault.PlatformDown, "the claim got no answer in time", "send the request again with the same Idempotency-Key")
	}
}

// send sends batches until no write waits.
func (b *batcher) send() {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.exchange(batch)
	}
}

func (b *batcher) next() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.waiting), maxBatch)
	batch := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.sending = n > 0
	return batch
}

func (b *batcher) exchange(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	writes := make([]platform.Write, len(batch))
	for i, own := range batch {
		writes[i] = own.write
	}
	results, err := b.tables.Write(ctx, writes)
	for i, own := range batch {
		own.err = err
		if err == nil {
			own.result = results[i]
		}
		close(own.done)
	}
}
