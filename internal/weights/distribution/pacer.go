package distribution

import (
	"context"
	"io"
	"sync"
	"time"
)

const maxReadBytes = 64 << 10 // bytes that pass a link at once

// link paces bytes to a rate. It is safe for concurrent use.
type pacer struct {
	bytesPerS float64 // bytes a second, 0 for no limit

	mu       sync.Mutex
	nextFree time.Time
}

func newPacer(bytesPerS int64) *pacer { return &pacer{bytesPerS: float64(bytesPerS)} }

// pass waits until the bytes have their turn on the link.
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

// reserve takes a turn and returns how long it is until the bytes have passed.
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

// pacedReader reads at the rate of a link. Close tells once that the reading is over.
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
