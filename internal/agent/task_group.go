package agent

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// lingerTime is how long an agent still serves answers after the last one was complete. An entry whose connection
// has gone silent notices that only after its progress timeout, and then attaches again.
const lingerTime = 6 * time.Second

// taskGroup tracks running attempts so that a shutdown can wait for them. No task starts after Wait was called.
type taskGroup struct {
	mu           sync.Mutex
	closed       bool
	lastFinished time.Time
	tasks        conc.WaitGroup
}

// Go runs the task on a goroutine of its own. It returns false if Wait was called before.
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

// Wait rejects further tasks, waits for those that run, and then until lingerTime has passed since the last one
// ended.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
	<-time.After(time.Until(g.lastFinished.Add(lingerTime)))
}
