package agent

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// work counts what an agent runs, so that a shutdown can wait for it. Nothing starts after the wait has begun.
type work struct {
	mu     sync.Mutex
	closed bool
	tasks  conc.WaitGroup
}

// Go runs the task on a goroutine of its own, and returns false when it came too late.
func (w *work) Go(task func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.tasks.Go(task)
	return true
}

// Wait lets no further task start and waits for those under way.
func (w *work) Wait() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.tasks.Wait()
}
