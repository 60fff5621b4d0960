package graceful

import (
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// LogTime is the end of the grace period that is left for the last log lines to be written.
const LogTime = 250 * time.Millisecond

// WaitForTasks waits for the tasks of a process that stops, at most until the deadline: some are in calls that only end with their
// own timeouts. It panics if one of them has panicked.
func WaitForTasks(tasks *conc.WaitGroup, deadline time.Time, logger *log.Logger) {
	ended := make(chan *panics.Recovered, 1)
	go func() { ended <- tasks.WaitAndRecover() }()
	select {
	case recovered := <-ended:
		if recovered != nil {
			panic(recovered.String())
		}
	case <-time.After(time.Until(deadline)):
		logger.Warn().Msg("stopped with calls under way")
	}
}
