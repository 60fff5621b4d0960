package agent

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// lingerTime is how long an agent can still be asked for an answer after the last one was ready: an entry whose
// connection has gone silent notices that only after its progress deadline.
const lingerTime = 6 * time.Second

// work counts what an agent runs, so that a shutdown can wait for it. Nothing starts after the wait has begun.
type work struct {
	mu      sync.Mutex
	closed  bool
	lastEnd time.Time
	tasks   conc.WaitGroup
}

// Go runs the task on a goroutine of its own, and returns false when it came too late.
func (w *work) Go(task func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.tasks.Go(func() {
		defer w.ended()
		task()
	})
	return true
}

func (w *work) ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEnd = time.Now()
}

// Wait lets no further task start, waits for those under way, and then lingers.
func (w *work) Wait() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.tasks.Wait()
	<-time.After(time.Until(w.lastEnd.Add(lingerTime)))
}
