package agent

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// lingerTime is how long an agent can still be asked for an answer after the last one was ready: an entry whose
// connection has gone silent notices that only after its progress deadline.
const lingerTime = 6 * time.Second

// taskGroup counts what an agent runs, so that a shutdown can wait for it. Nothing starts after the wait has begun.
type taskGroup struct {
	mu           sync.Mutex
	closed       bool
	lastFinished time.Time
	tasks        conc.WaitGroup
}

// Go runs the task on a goroutine of its own, and returns false when it came too late.
func (g *taskGroup) Go(task func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.tasks.Go(func() {
		defer g.recordEnd()
		task()
	})
	return true
}

func (g *taskGroup) recordEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFinished = time.Now()
}

// Wait lets no further task start, waits for those under way, and then lingers.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
	<-time.After(time.Until(g.lastFinished.Add(lingerTime)))
}
