package claim

import (
	"context"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

const (
	maxBatchWrites = 64                      // in one round trip
	batchTimeout   = 1500 * time.Millisecond // of one round trip
)

// batcher groups the writes that arrive during a round trip into the next one. While no round trip is under way a write
// is sent at once.
type batcher struct {
	tables  platform.Tables
	mu      sync.Mutex
	queue   []*pendingWrite
	sending bool
}

// pendingWrite is a write that waits for its result.
type pendingWrite struct {
	write  platform.Write
	result platform.WriteResult
	err    error
	done   chan struct{}
}

func newBatcher(tables platform.Tables) *batcher {
	return &batcher{tables: tables}
}

// write sends a write and returns its result. After an error the write may have taken effect or may still do so.
func (b *batcher) write(ctx context.Context, write platform.Write) (platform.WriteResult, error) {
	p := &pendingWrite{write: write, done: make(chan struct{})}
	b.mu.Lock()
	b.queue = append(b.queue, p)
	startSender := !b.sending
	b.sending = true
	b.mu.Unlock()
	if startSender {
		go b.sendAll()
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return platform.WriteResult{}, fault.Wrap(ctx.Err(), fault.PlatformUnavailable, "the claim was not written in time", "send the request again with the same Idempotency-Key")
	}
}

// sendAll sends batches until the queue is empty.
func (b *batcher) sendAll() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.writeBatch(batch)
	}
}

// nextBatch removes up to maxBatchWrites writes from the queue. It clears sending if there are none.
func (b *batcher) nextBatch() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), maxBatchWrites)
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	b.sending = n > 0
	return batch
}

// writeBatch writes a batch in one round trip and delivers the results.
func (b *batcher) writeBatch(batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	writes := make([]platform.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	results, err := b.tables.Write(ctx, writes)
	for i, p := range batch {
		p.err = err
		if err == nil {
			p.result = results[i]
		}
		close(p.done)
	}
}
