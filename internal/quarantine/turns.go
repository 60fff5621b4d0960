package quarantine

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Turns grants the sends of each suspect request one at a time. Times are on a clock that counts the time in which the machine is
// suspended. It is safe for concurrent use.
type Turns struct {
	mu     sync.Mutex
	byPart map[core.PromptPart]turn
}

// turn is a granted send.
type turn struct {
	holder string
	until  time.Duration
}

// NewTurns returns turns of which none is granted.
func NewTurns() *Turns { return &Turns{byPart: make(map[core.PromptPart]turn)} }

// Take grants the holder a turn of the length and returns true, unless another one is granted.
func (t *Turns) Take(part core.PromptPart, holder string, length, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, granted := range t.byPart {
		if now >= granted.until {
			delete(t.byPart, other)
		}
	}
	if _, granted := t.byPart[part]; granted {
		return false
	}
	t.byPart[part] = turn{holder: holder, until: now + length}
	return true
}

// End ends the holder's turn after the delay. A turn is never extended.
func (t *Turns) End(part core.PromptPart, holder string, delay, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if granted, ok := t.byPart[part]; ok && granted.holder == holder {
		granted.until = min(granted.until, now+delay)
		t.byPart[part] = granted
	}
}
