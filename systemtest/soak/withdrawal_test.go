package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	holdOffTime = 2 * time.Second
	// holdOffNotice is how long after a refusal requests may still arrive that were under way.
	holdOffNotice = 500 * time.Millisecond
	// maxHeldOffRequests is how many requests a gateway may send to a back end that holds requests off.
	maxHeldOffRequests = 2
	// leavingNotice is the time after which every answer of a back end says that it is leaving.
	leavingNotice = 50 * time.Millisecond
)

// withdrawalLog records when a back end began to leave, and the requests that it refused with a hold-off. It is safe for
// concurrent use.
type withdrawalLog struct {
	mu           sync.Mutex
	leavingSince time.Time
	refused      []refusedRun
}

// refusedRun is a request that a back end refused. A silent back end refuses it later than it arrived.
type refusedRun struct {
	platformtest.Run
	refusedAt time.Time
	received  bool // the gateway had not left by then
}

func (l *withdrawalLog) setLeaving(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince = at
}

// addRefused records a request that is refused now.
func (l *withdrawalLog) addRefused(run platformtest.Run) {
	refused := refusedRun{Run: run, refusedAt: time.Now(), received: true}
	select {
	case <-run.Done:
		refused.received = false
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = append(l.refused, refused)
}

// leavePlainBackend replaces a plain back end that says only in its answers that it is leaving.
func (s *system) leavePlainBackend(pick int, _ time.Duration) {
	if !s.replacementMu.TryLock() {
		return
	}
	defer s.replacementMu.Unlock()
	index := pick % plainBackendCount
	s.replacements++
	old := s.plainBackends[index]
	r := platformtest.NewRunner(fmt.Sprintf("plain-%d-%d", index, s.replacements))
	replacement := s.addBackend(r, nil, s.ip(150+s.replacements), "plain", index)
	time.Sleep(entryReturnDelay)
	old.SetLeaving(true)
	old.withdrawals.setLeaving(time.Now().Add(leavingNotice))
	time.Sleep(2 * drainBound)
	s.unregister(old)
	s.setPlainBackend(index, replacement)
	old.proxy.setMode(refused)
}

// holdRequestsOff makes a plain back end refuse all requests and ask for no more of them for some time.
func (s *system) holdRequestsOff(pick int, duration time.Duration) {
	backends := s.currentPlainBackends()
	b := backends[pick%len(backends)]
	b.SetHoldOff(holdOffTime)
	b.holdsOff.Store(true)
	time.Sleep(duration)
	b.holdsOff.Store(false)
	b.SetHoldOff(0)
}

// checkWithdrawals checks that gateways respect what back ends say about further requests, whatever the store says.
func (s *system) checkWithdrawals(requests map[string]*request, all []backendRun) {
	byBackend := make(map[*backend][]backendRun)
	for _, run := range all {
		byBackend[run.backend] = append(byBackend[run.backend], run)
	}
	for _, b := range s.allBackends {
		s.checkLeaving(b, byBackend[b])
		s.checkHoldOff(b, requests, byBackend[b])
	}
}

// checkLeaving checks that a gateway sends nothing to a back end later than drainBound after it passed on an answer that
// says that the back end is leaving. A restart or a pause of the gateway since then excuses it.
func (s *system) checkLeaving(b *backend, runs []backendRun) {
	since := b.withdrawals.leavingSince
	if since.IsZero() {
		return
	}
	heard := make(map[int]time.Time) // when each gateway passed on the first such answer
	for _, run := range runs {
		r := run.request
		first, known := heard[r.gateway]
		if run.StartedAt.After(since) && r.status != 0 && r.err == nil && (!known || r.ended.Before(first)) {
			heard[r.gateway] = r.ended
		}
	}
	for _, run := range runs {
		from, known := heard[run.request.gateway]
		late := known && run.request.sent.After(from.Add(drainBound))
		if late && s.disruptions.undisturbedBetween(s.gateways[run.request.gateway].name, from, run.StartedAt) {
			s.t.Errorf("leaving back ends: %s ran at %s by gateway %d, %v after an answer that said so", run.ID, b.ID, run.request.gateway, run.request.sent.Sub(from))
		}
	}
}

// checkHoldOff checks that a gateway sends at most maxHeldOffRequests requests to a back end while it holds requests off.
func (s *system) checkHoldOff(b *backend, requests map[string]*request, runs []backendRun) {
	arrivals := make(map[int][]time.Time) // by gateway
	for _, run := range runs {
		arrivals[run.request.gateway] = append(arrivals[run.request.gateway], run.StartedAt)
	}
	for _, run := range b.withdrawals.refused {
		if r := requests[run.ID]; r != nil {
			arrivals[r.gateway] = append(arrivals[r.gateway], run.StartedAt)
		}
	}
	for _, refusal := range b.withdrawals.refused {
		r := requests[refusal.ID]
		if r == nil || r.status == 0 || !refusal.received {
			continue // the gateway may not have received the refusal
		}
		from, until := refusal.refusedAt.Add(holdOffNotice), refusal.refusedAt.Add(holdOffTime)
		count := 0
		for _, at := range arrivals[r.gateway] {
			if at.After(from) && at.Before(until) {
				count++
			}
		}
		if count > maxHeldOffRequests && s.disruptions.undisturbedBetween(s.gateways[r.gateway].name, refusal.refusedAt, until) {
			s.t.Errorf("held off: %d requests reached %s by gateway %d although it refused %s for %v", count, b.ID, r.gateway, refusal.ID, holdOffTime)
		}
	}
}
