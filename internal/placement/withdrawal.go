package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// withdrawalRetention is how long a withdrawal is kept after its last update. A leaving endpoint ends well before that.
const withdrawalRetention = 10 * time.Minute

// withdrawals records the endpoints that have said themselves that they want no requests: because they are leaving, or for
// a time that they have stated. It is safe for concurrent use.
type withdrawals struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*withdrawal
}

type withdrawal struct {
	born         int64 // of the incarnation that the record is about
	leaving      bool
	heldOffUntil time.Duration
	updatedAt    time.Duration
}

func newWithdrawals() *withdrawals {
	return &withdrawals{records: make(map[catalog.EndpointID]*withdrawal)}
}

// recordLeaving records that the endpoint is leaving. It returns whether this was unknown.
func (w *withdrawals) recordLeaving(endpoint *catalog.Endpoint, now time.Duration) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.recordOf(endpoint, now)
	changed = !r.leaving
	r.leaving = true
	return changed
}

// recordHoldOff records that the endpoint wants no requests until the given time. It returns whether that is later than
// what was known.
func (w *withdrawals) recordHoldOff(endpoint *catalog.Endpoint, now, until time.Duration) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.recordOf(endpoint, now)
	changed = until > r.heldOffUntil
	r.heldOffUntil = max(r.heldOffUntil, until)
	return changed
}

// recordOf returns the record of the endpoint's incarnation and creates it if needed. The caller holds w.mu.
func (w *withdrawals) recordOf(endpoint *catalog.Endpoint, now time.Duration) *withdrawal {
	for id, r := range w.records {
		if now-r.updatedAt > withdrawalRetention {
			delete(w.records, id)
		}
	}
	r := w.records[endpoint.ID]
	if r == nil || r.born != endpoint.Born {
		r = &withdrawal{born: endpoint.Born}
		w.records[endpoint.ID] = r
	}
	r.updatedAt = now
	return r
}

// excludes reports whether the endpoint wants no requests at the given time.
func (w *withdrawals) excludes(endpoint *catalog.Endpoint, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[endpoint.ID]
	return r != nil && r.born == endpoint.Born && (r.leaving || now < r.heldOffUntil)
}

// earliestReturn returns when the first of the endpoints that hold requests off takes them again. It returns false if one of
// them takes requests now or none will.
func (w *withdrawals) earliestReturn(endpoints []*catalog.Endpoint, now time.Duration) (earliest time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, endpoint := range endpoints {
		r := w.records[endpoint.ID]
		switch {
		case r == nil || r.born != endpoint.Born || !r.leaving && now >= r.heldOffUntil:
			return 0, false
		case !r.leaving && (!known || r.heldOffUntil < earliest):
			earliest, known = r.heldOffUntil, true
		}
	}
	return earliest, known
}
