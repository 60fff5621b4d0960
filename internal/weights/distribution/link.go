package distribution

import (
	"context"
	"io"
	"sync"
	"time"
)

const pieceBytes = 64 << 10 // bytes that pass a link at once

// link paces bytes to a rate. It is safe for concurrent use.
type link struct {
	rate float64 // bytes a second, 0 for no limit

	mu   sync.Mutex
	free time.Time
}

func newLink(rate int64) *link { return &link{rate: float64(rate)} }

// pass waits until the bytes have their turn on the link.
func (l *link) pass(ctx context.Context, bytes int) error {
	wait := l.reserve(bytes, time.Now())
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// reserve takes a turn and returns how long it is until the bytes have passed.
func (l *link) reserve(bytes int, now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.free.Sub(now)
}

// pacedReader reads at the rate of a link. Close tells once that the reading is over.
type pacedReader struct {
	source io.Reader
	link   *link
	once   sync.Once
	closed func()
}

// Read implements io.Reader.
func (r *pacedReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into[:min(len(into), pieceBytes)])
	if n > 0 {
		_ = r.link.pass(context.Background(), n)
	}
	return n, err
}

// Close implements io.Closer.
func (r *pacedReader) Close() error {
	r.once.Do(r.closed)
	return nil
}
