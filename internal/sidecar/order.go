package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// openOrder is an order to load a version that the engine has not answered. The engine may still accept it, and takes the
// chunks that are staged at that moment, so they must not be replaced before.
type openOrder struct {
	target *targetVersion
	report EngineReport  // before the order was sent
	sentAt time.Duration // when it was last sent without an answer, on the boot clock
}

// orderGate lets orders be sent until the process stops, and tells whether the engine may still act on one, which the process
// must not leave to its successor. It is safe for concurrent use.
type orderGate struct {
	mu       sync.Mutex
	stopping bool
	open     bool // an order is being sent, or the engine has not answered it
}

// begin opens an order. It returns false once the process stops, unless the order repeats an open one.
func (g *orderGate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping && !g.open {
		return false
	}
	g.open = true
	return true
}

func (g *orderGate) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = open
}

func (g *orderGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// stop lets no further order begin.
func (g *orderGate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

func (g *orderGate) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// lateCallTime is how long after it was sent an engine may carry out a call that it does not answer. Orders were accepted up to
// 12.1 s late.
const lateCallTime = 15 * time.Second

// isOpen reports whether the engine that sent the report may still accept the order. An order states how many orders the
// engine has accepted, so after another one it is rejected. An engine that has started again knows nothing of it.
func (o *openOrder) isOpen(report EngineReport, now time.Duration) bool {
	return o != nil && !o.report.differs(report) && now < o.sentAt+lateCallTime
}

// differs reports whether the engine has accepted an order or started again between the two reports.
func (r EngineReport) differs(later EngineReport) bool {
	return !r.StartedAt.Equal(later.StartedAt) || r.OrdersAccepted != later.OrdersAccepted
}

// load verifies the staged chunks and orders the engine to load them. If the engine does not answer, the order stays open.
func (u *updater) load(ctx context.Context, target *targetVersion) error {
	s := u.sidecar
	verifiedAt := bootclock.Now()
	if err := u.verifyStaged(ctx, target); err != nil {
		return err
	}
	verifiedUntil := bootclock.Now()
	if err := u.confirmReport(ctx); err != nil {
		return err
	}
	if age := bootclock.Now() - verifiedUntil; age >= maxVerificationAge {
		return fault.New(fault.Conflict, "the staged chunks were verified "+age.String()+" ago, as this process was suspended or slow", "they are verified again")
	}
	if !s.orders.begin() {
		return nil // the next process could not know of an order that is not answered
	}
	s.setServing(0, true, u.report, u.proof) // no new requests until the engine has loaded the version
	verificationAge := bootclock.Now() - verifiedAt
	u.ordered = &ownOrder{target: target, report: u.report}
	outcome, err := s.engine.Load(ctx, u.model, target.version, u.report.OrdersAccepted)
	u.loading = err == nil && outcome == LoadStarted
	u.orderedInTime = u.loading && bootclock.Now()-verifiedAt < maxLoadAge
	u.recordOutcome(target, outcome, err)
	s.logger.Info().Str("model", string(u.model)).Int64("version", target.version).Int("outcome", int(outcome)).Dur("verification_age", verificationAge).Int64("orders_accepted", u.report.OrdersAccepted).Time("engine_started", u.report.StartedAt).Err(err).Msg("engine ordered to load")
	return err
}

// maxVerificationAge is the time from the end of a verification within which its order is sent: an exchange with the engine on the same
// host. Only a process that is delayed itself takes longer.
const maxVerificationAge = 500 * time.Millisecond

// maxLoadAge is the time from the begin of a verification to the answer of its order within which a chunk that turns bad is
// allowed for by the platform, with a margin.
const maxLoadAge = 2 * time.Second

// confirmReport returns an error if the engine has accepted an order or started again since its last report. An engine that has
// started again counts orders anew and may have lost what was staged, which the order's condition does not show.
func (u *updater) confirmReport(ctx context.Context) error {
	askedAt := bootclock.Now()
	report, err := u.sidecar.engine.Report(ctx)
	if err != nil {
		return err
	}
	if u.report.differs(report) {
		return fault.New(fault.Conflict, "the engine has accepted an order or started again since its last report", "the staged chunks are verified again")
	}
	u.reportAskedAt = askedAt
	return nil
}

// recordOutcome opens the order if the engine did not answer it. A rejection of its repetition leaves it open: the engine may
// have rejected that for its state.
func (u *updater) recordOutcome(target *targetVersion, outcome LoadResult, err error) {
	switch {
	case fault.Is(err, fault.Interrupted):
		u.open = &openOrder{target: target, report: u.report, sentAt: bootclock.Now()}
	case err == nil && outcome != LoadRejected:
		u.open = nil
	}
	u.sidecar.orders.setOpen(u.open != nil)
}

// repeatOpen sends the open order again, so that the engine accepts one of the two and rejects the other. It stages chunks
// again that were lost meanwhile.
func (u *updater) repeatOpen(ctx context.Context) error {
	target := u.open.target
	if err := u.stageArrived(ctx, target); err != nil {
		return err
	}
	return u.load(ctx, target)
}

// recordReport records a report of the engine that was requested at the time askedAt.
func (u *updater) recordReport(report EngineReport, askedAt time.Duration) {
	u.noteReport(report, askedAt)
	u.report = report
	if u.firstReportAt == 0 {
		u.firstReport, u.firstReportAt = report, bootclock.Now()
	}
}

// inheritedOrderTime is how long after its start a sidecar does not replace staged chunks, as an order of its predecessor may
// still be open. It is shorter than lateCallTime, which would delay versions beyond their bound.
const inheritedOrderTime = 3 * time.Second

// mayReplaceStaged reports whether a staged chunk may be replaced by one with other content. If this process has just started,
// the engine may still accept an order of its predecessor, unless it has accepted another one or started again since.
func (u *updater) mayReplaceStaged() bool {
	return bootclock.Now() >= u.firstReportAt+u.sidecar.inheritedOrderTime || u.firstReport.differs(u.report)
}

// openWrite is a chunk that was written to the staging area without an answer. The engine may still carry the write out.
type openWrite struct {
	version int64
	report  EngineReport // before it was sent
	sentAt  time.Duration
}

// recordWrite records the outcome of writing a chunk of the version.
func (u *updater) recordWrite(chunk int, version int64, err error) {
	u.lastWriteAt = bootclock.Now()
	if fault.Is(err, fault.Interrupted) {
		u.openWrites[chunk] = openWrite{version: version, report: u.report, sentAt: bootclock.Now()}
	}
}

// mayBeOverwritten reports whether a chunk of the version could be replaced by an open write of another version.
func (u *updater) mayBeOverwritten(chunk int, version int64) bool {
	write, known := u.openWrites[chunk]
	if !known || write.version == version {
		return false
	}
	if !write.report.StartedAt.Equal(u.report.StartedAt) || bootclock.Now() >= write.sentAt+lateCallTime {
		delete(u.openWrites, chunk)
		return false
	}
	return true
}

// awaitOpenOrder waits until no order is open or the context ends, since the next process would not know of it.
func (s *Sidecar) awaitOpenOrder(ctx context.Context) {
	ticker := time.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	for s.orders.isOpen() {
		select {
		case <-ctx.Done():
			s.logger.Warn().Msg("stopped with an order that the engine has not answered")
			return
		case <-ticker.C:
		}
	}
}
