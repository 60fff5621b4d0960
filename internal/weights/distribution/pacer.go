package distribution

import (
	"context"
	"io"
	"sync"
	"time"
)

const maxReadBytes = 64 << 10 // upper bound of a single paced read

// pacer limits the rate at which bytes are transferred. It is safe for concurrent use.
type pacer struct {
	bytesPerS float64 // 0 means unlimited

	mu       sync.Mutex
	nextFree time.Time
}

func newPacer(bytesPerS int64) *pacer { return &pacer{bytesPerS: float64(bytesPerS)} }

// wait blocks until the bytes have been transferred at the pacer's rate. It returns the context's error if the context
// ends first.
func (p *pacer) wait(ctx context.Context, bytes int) error {
	delay := p.reserve(bytes, time.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// reserve queues the bytes behind earlier reservations and returns the time until they have been transferred.
func (p *pacer) reserve(bytes int, now time.Time) time.Duration {
	if p.bytesPerS <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	p.nextFree = p.nextFree.Add(time.Duration(float64(bytes) / p.bytesPerS * float64(time.Second)))
	return p.nextFree.Sub(now)
}

// pacedReader limits reads from source to the rate of the pacer. The first Close calls onClose.
type pacedReader struct {
	source  io.Reader
	pacer   *pacer
	once    sync.Once
	onClose func()
}

// Read implements io.Reader.
func (r *pacedReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer[:min(len(buffer), maxReadBytes)])
	if n > 0 {
		_ = r.pacer.wait(context.Background(), n)
	}
	return n, err
}

// Close implements io.Closer.
func (r *pacedReader) Close() error {
	r.once.Do(r.onClose)
	return nil
}
