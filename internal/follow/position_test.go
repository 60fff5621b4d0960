package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// laggingStore lists no endpoint, loses its history, answers from an older copy some times, and then lists another endpoint.
type laggingStore struct {
	fakeStore
	reads int
}

func (s *laggingStore) Endpoints(context.Context, Cursor) (EndpointChanges, error) {
	s.reads++
	switch {
	case s.reads == 1:
		return EndpointChanges{Full: true, Cursor: cursorAt(10)}, nil
	case s.reads == 2:
		return EndpointChanges{}, ErrHistoryGone
	case s.reads < 6:
		return EndpointChanges{Full: true, Cursor: cursorAt(7), Present: []*catalog.Endpoint{endpoint("left")}}, nil
	}
	return EndpointChanges{Full: true, Cursor: cursorAt(11), Present: []*catalog.Endpoint{endpoint("new")}}, nil
}

func TestOlderStateOfTheStoreDoesNotBringBackEndpointsThatLeft(t *testing.T) {
	t.Parallel()
	f := New(&laggingStore{}, testIntervals, Delegates{}, &log.Logger{Level: log.PanicLevel})
	var seen sync.Map
	f.OnChange = func(view *catalog.View) { seen.Store(ids(view), true) }
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		stop()
		tasks.Wait()
	})
	waitFor(t, "the next endpoint", func() bool { return ids(f.View()) == "new" })
	if _, back := seen.Load("left"); back {
		t.Error("an endpoint that had left was offered to requests again")
	}
}

func TestOlderStateIsAcceptedOnceItHasLasted(t *testing.T) {
	var p position
	if p.advance(cursorAt(9), time.Second) != nil || p.advance(cursorAt(9), 2*time.Second) != nil {
		t.Error("a read that is not older is refused")
	}
	if p.advance(cursorAt(3), 3*time.Second) == nil || p.advance(cursorAt(3), 4*time.Second) == nil {
		t.Error("an older read is accepted")
	}
	if p.advance(inEra(2, 3), 5*time.Second) != nil {
		t.Error("a read of a store that was restored is refused")
	}
	if p.advance(inEra(2, 1), 6*time.Second) == nil || p.advance(inEra(2, 1), 6*time.Second+maxRefusalTime) != nil {
		t.Error("older reads are not refused for the time that they may lag behind")
	}
}
