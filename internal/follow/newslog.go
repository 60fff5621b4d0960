package follow

import (
	"time"

	"github.com/phuslu/log"
)

const (
	sourceStore = "store" // the source in the log if this process read the store itself
	// slowFailure is the duration from which the failure of a request to a delegate is logged. Refusals are faster.
	slowFailure = 500 * time.Millisecond
)

// newsLog logs from which source a follower gets its view: each change of the source, and news after a long gap.
type newsLog struct {
	logger *log.Logger
	maxGap time.Duration // longest gap in normal operation
	source string        // of the last news; "" before the first
	at     time.Duration // time of the last news, on the boot clock
}

// observe records that a read that was sent at the given time brought news from the source, which held it for waited.
func (n *newsLog) observe(source string, sent, now, waited time.Duration) {
	gap := now - n.at
	if source != n.source || gap > n.maxGap {
		entry := n.logger.Info().Str("source", source).Str("source_before", n.source)
		if n.source != "" {
			entry = entry.Int64("gap_ms", gap.Milliseconds())
		}
		entry.Int64("took_ms", (now-sent).Milliseconds()).Int64("waited_ms", waited.Milliseconds()).Msg("view's source")
	}
	n.source, n.at = source, now
}

// logSlowFailure logs a failed request to a delegate if it took long.
func logSlowFailure(logger *log.Logger, delegate string, took time.Duration, err error) {
	if took >= slowFailure {
		logger.Warn().Err(err).Str("delegate", delegate).Int64("took_ms", took.Milliseconds()).Msg("delegate did not answer")
	}
}
