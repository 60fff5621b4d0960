// Package follow keeps a process's view of the configuration and the endpoints up to date with the platform's store.
// Reader goroutines post what they read to a reducer, which owns the state. Traffic reads the resulting view through an
// atomic pointer.
package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// Cursor is a position in the history of a table of the store. The zero cursor requests the complete current state.
type Cursor struct {
	Valid   bool   `json:"Read"`       // the cursor comes from a read, so Version is valid even if it is 0
	Era     uint64 `json:",omitempty"` // rises with each restore of the store from a copy; 0 if unknown
	Version uint64 // comparable only within one era, since a restored store assigns versions again
}

// ErrHistoryGone is returned if the store no longer has the changes since a cursor, or was restored from a copy since. The
// reader has to start again from the zero cursor.
var ErrHistoryGone = errors.New("the store no longer has the changes since this cursor; read the complete state again")

// OperatorChanges holds changes of the operators' table.
type OperatorChanges struct {
	Full          bool `json:"Whole"` // the complete current state rather than only the changes
	Cursor        Cursor
	Configuration *catalog.Configuration      // nil if it did not change
	Evacuations   map[core.FailureDomain]bool // false for an evacuation that was ended
	Wanted        map[core.Model]int64        // model versions that operators requested
	StoreTime     time.Duration               // of the response, on the store's monotonic clock; 0 if unknown
	// Rollouts are all requested versions that the sender knows, also those of earlier reads; empty from earlier releases.
	Rollouts map[core.Model][]RolloutAge `json:",omitempty"`
}

// EndpointChanges holds changes of the service registry.
type EndpointChanges struct {
	Full      bool `json:"Whole"` // all current entries rather than only the changes
	Cursor    Cursor
	Present   []*catalog.Endpoint
	Removed   []catalog.EndpointID `json:"Gone"`
	StoreTime time.Duration        // of the response, on the store's monotonic clock; 0 if unknown
	Lapsed    []catalog.EndpointID // removed in a delegate's first read after an outage of the store, see AfterOutage
	// LapsedAges are the times since that read, one for each entry of Lapsed; empty from delegates of earlier releases.
	LapsedAges []time.Duration `json:",omitempty"`

	// AfterOutage marks the first read after an outage of the store. The outage may be the only reason why the leases of
	// removed entries expired.
	AfterOutage bool
	// ReturnedBefore is how long before such a read the grace period of the removed entries began.
	ReturnedBefore time.Duration `json:"-"`
}

// lapsedAge returns the time since the read in which Lapsed[i] was removed; 0 if unknown.
func (c *EndpointChanges) lapsedAge(i int) time.Duration {
	if i >= len(c.LapsedAges) {
		return 0
	}
	return c.LapsedAges[i]
}

// Source reads the platform's store. Both methods return ErrHistoryGone if the cursor is too old.
type Source interface {
	// Operator returns the changes of the operators' table since the cursor. If there are none yet, it waits for one for
	// up to wait.
	Operator(ctx context.Context, since Cursor, wait time.Duration) (OperatorChanges, error)
	// Endpoints returns the changes of the registry since the cursor, without a wait.
	Endpoints(ctx context.Context, since Cursor) (EndpointChanges, error)
}

// Intervals holds the intervals at which the store is read.
type Intervals struct {
	OperatorWait      time.Duration // longest time for which a read of the operators' table waits for a change
	EndpointsInterval time.Duration // between two reads of the registry
}

// retryInterval is the delay after a failed read. It is short compared with the time in which a configuration has to be
// in force, and long enough to respect the store's rate limits.
const retryInterval = 200 * time.Millisecond

// Follower maintains one process's view of the store.
type Follower struct {
	source        Source
	intervals     Intervals
	logger        *log.Logger
	loop          *reduce.Loop
	ctx           context.Context // of Run, for events that timers post
	state         *state
	view          atomic.Pointer[catalog.View]
	asOf          atomic.Int64 // boot clock time up to which the view includes all operator changes, in nanoseconds; 0 before the first read
	answerAsOf    atomic.Int64 // the same if the store serves waiting reads promptly
	endpointsAsOf atomic.Int64 // like asOf for the registry
	// OnChange, if set, is called on the control thread after each new view. It must not block.
	OnChange   func(*catalog.View)
	wakeReader chan struct{} // interrupts sleep
	clock      storeClock

	operatorPosition  position
	endpointsPosition position

	delegates  Delegates
	mirror     *mirror
	lease      relayLease
	takeMu     sync.Mutex // serializes own and relayed reads of a delegate
	outage     outage     // of the registry, as seen by a delegate's own and relayed reads; guarded by takeMu
	readsStore bool       // this process always reads the store itself: it is a delegate, or there are none
}

// New returns a follower. Run starts it.
func New(source Source, intervals Intervals, delegates Delegates, logger *log.Logger) *Follower {
	f := &Follower{source: source, intervals: intervals, delegates: delegates, logger: logger, state: newState(), mirror: newMirror(), wakeReader: make(chan struct{}, 1)}
	f.readsStore = len(delegates.Addresses) == 0 || slices.Contains(delegates.Addresses, delegates.Self)
	f.lease.mirror = f.mirror
	f.view.Store(catalog.NewView(nil, nil, nil, nil))
	f.loop = reduce.NewLoop(f.state.step, f.apply, func(context.Context, reduce.Effect) {})
	return f
}

// View returns the latest view. Its index is nil until a configuration has been read.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// Age returns the age of the view of the operators' table: the view may lack changes made within that time. Time in
// which the machine was suspended counts. It returns false if the table has never been read.
func (f *Follower) Age() (time.Duration, bool) {
	return ageSince(&f.asOf)
}

// AnswerAge is the age of the view of the operators' table if the store answers a waiting read as soon as there is a change.
// It is shorter than Age by up to one wait.
func (f *Follower) AnswerAge() (time.Duration, bool) { return ageSince(&f.answerAsOf) }

// ageSince returns the time since asOf, which is a boot clock time in nanoseconds; false if it is 0.
func ageSince(asOf *atomic.Int64) (time.Duration, bool) {
	since := asOf.Load()
	if since == 0 {
		return 0, false
	}
	return bootclock.Now() - time.Duration(since), true
}

// EndpointsAge is like Age for the view of the registry.
func (f *Follower) EndpointsAge() (time.Duration, bool) { return ageSince(&f.endpointsAsOf) }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.ctx = ctx
	var tasks conc.WaitGroup
	if f.readsStore {
		tasks.Go(func() { f.readOperator(ctx) })
		tasks.Go(func() { f.readEndpoints(ctx) })
	} else {
		tasks.Go(func() { f.followDelegates(ctx) })
	}
	f.loop.Run(ctx)
	tasks.Wait()
}

// ReadEndpointsNow starts the next read of the registry without further delay.
func (f *Follower) ReadEndpointsNow() {
	select {
	case f.wakeReader <- struct{}{}:
	default:
	}
}

// readOperator reads the operators' table until the context ends.
func (f *Follower) readOperator(ctx context.Context) {
	dependency := dependency{name: "operators' table of the store", logger: f.logger}
	fallback := newPeerFallback(f)
	learned := make(chan struct{})
	var learning conc.WaitGroup
	defer learning.Wait()
	learning.Go(func() {
		defer close(learned)
		fallback.learn(ctx)
	})
	var cursor Cursor
	for ctx.Err() == nil {
		sent := bootclock.Now()
		changes, err := f.source.Operator(ctx, cursor, f.intervals.OperatorWait)
		<-learned
		if err == nil {
			err = f.takeOperator(ctx, sent, changes, "")
		}
		dependency.observe(err)
		f.mirror.observe(tableOperators, err)
		fallback.observe(ctx, err)
		if err != nil {
			cursor = f.recover(ctx, cursor, err)
			continue
		}
		cursor = changes.Cursor
	}
}

// takeOperator applies a delegate's read of the operators' table that was sent at the given time. It returns
// fault.PlatformUnavailable if an earlier read was newer. The source of request times replaces the stated one unless it is "".
func (f *Follower) takeOperator(ctx context.Context, sent time.Duration, changes OperatorChanges, source catalog.RolloutSource) error {
	f.takeMu.Lock()
	defer f.takeMu.Unlock()
	now := bootclock.Now()
	if err := f.operatorPosition.advance(changes.Cursor, now); err != nil {
		return err
	}
	f.clock.observeEra(changes.Cursor.Era)
	read := operatorRead{sentAt: sent, asOf: f.clock.asOf(sent, now, changes.StoreTime), changes: changes}
	read = read.withRollouts(f.clock.leftStoreAt(sent, now, changes.StoreTime), now, source)
	if err := f.mirror.addOperator(read); err != nil {
		f.logger.Error().Err(err).Msg("configuration cannot be served to followers")
	}
	f.loop.Post(ctx, read)
	return nil
}

// readEndpoints reads the registry until the context ends.
func (f *Follower) readEndpoints(ctx context.Context) {
	dependency := dependency{name: "endpoints' table of the store", logger: f.logger}
	var cursor Cursor
	for ctx.Err() == nil {
		sent := bootclock.Now()
		changes, err := f.source.Endpoints(ctx, cursor)
		if err == nil {
			err = f.takeEndpoints(ctx, sent, changes)
		} else {
			f.observeOutage(err, sent)
		}
		dependency.observe(err)
		f.mirror.observe(tableEndpoints, err)
		if err != nil {
			f.postUnavailable(ctx, err)
			cursor = f.recover(ctx, cursor, err)
			continue
		}
		cursor = changes.Cursor
		f.clock.observe(sent, changes.StoreTime)
		f.sleep(ctx, f.intervals.EndpointsInterval-(bootclock.Now()-sent))
	}
}

// takeEndpoints is like takeOperator for the registry.
func (f *Follower) takeEndpoints(ctx context.Context, sent time.Duration, changes EndpointChanges) error {
	f.takeMu.Lock()
	defer f.takeMu.Unlock()
	now := bootclock.Now()
	err := f.endpointsPosition.advance(changes.Cursor, now)
	f.outage.observe(err, sent, now)
	if err != nil {
		return err
	}
	f.clock.observeEra(changes.Cursor.Era)
	changes.AfterOutage, changes.ReturnedBefore = f.outage.justEnded, f.outage.returnedBefore(now)
	f.mirror.addEndpoints(now, changes)
	f.mirror.confirmEndpoints(sent)
	f.loop.Post(ctx, endpointsRead{sentAt: sent, receivedAt: now, changes: changes})
	return nil
}

// observeOutage records a failed read of the registry by a delegate.
func (f *Follower) observeOutage(err error, sent time.Duration) {
	f.takeMu.Lock()
	defer f.takeMu.Unlock()
	f.outage.observe(err, sent, bootclock.Now())
}

// postUnavailable tells the reducer that the store did not answer a read.
func (f *Follower) postUnavailable(ctx context.Context, err error) {
	if !errors.Is(err, ErrHistoryGone) {
		f.loop.Post(ctx, registryUnavailable{at: bootclock.Now()})
	}
}

// recover returns the cursor for the read after a failed one. Unless the cursor was too old, it first sleeps
// for retryInterval. After a restore of the store, the cursors of both tables are too old, so the registry is read again
// without further delay.
func (f *Follower) recover(ctx context.Context, cursor Cursor, err error) Cursor {
	if errors.Is(err, ErrHistoryGone) {
		f.ReadEndpointsNow()
		return Cursor{}
	}
	f.sleep(ctx, retryInterval)
	return cursor
}

// sleep sleeps until the duration has passed, ctx ends, or ReadEndpointsNow is called.
func (f *Follower) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeReader:
	}
}

// apply performs an effect on the control thread. The state emits publishView before confirmAsOf, so that a view is never
// older than Age reports.
func (f *Follower) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case publishView:
		f.view.Store(effect.view)
		if f.OnChange != nil {
			f.OnChange(effect.view)
		}
	case wakeAt:
		time.AfterFunc(effect.at-bootclock.Now(), func() { f.loop.Post(f.ctx, graceElapsed{at: max(effect.at, bootclock.Now())}) })
	case confirmAsOf:
		f.answerAsOf.Store(max(f.answerAsOf.Load(), int64(effect.answered)))
		f.asOf.Store(max(f.asOf.Load(), int64(effect.asOf))) // the previous read may have come from a delegate that is further ahead
	case confirmEndpointsAsOf:
		f.endpointsAsOf.Store(max(f.endpointsAsOf.Load(), int64(effect.asOf)))
	case logEndpointState:
		f.logger.Info().Str("endpoint", string(effect.endpoint)).Str("state", effect.state).Int("count", effect.count).Dur("kept_for", effect.keptFor).Msg("endpoints changed")
	case logRestore:
		f.logger.Warn().Str("table", effect.table).Uint64("era", effect.era).Uint64("era_before", effect.before).Int("kept", effect.kept).Msg("store was restored from a copy")
	case logOperatorChange:
		entry := f.logger.Info().Str("change", effect.change).Int64("version", effect.version).Str("name", effect.name)
		if effect.source != "" {
			entry.Dur("requested_before", requestedBefore(effect.since)).Str("source", string(effect.source))
		}
		entry.Msg("configuration taken over")
	}
	return true
}

// outage detects the first read after an outage of the store. Time without any reads, such as a suspension of the
// process or a wait for a delegate, does not count as an outage.
type outage struct {
	lastSuccess time.Duration // time of the last successful read, on the boot clock
	failedAt    time.Duration // when the last failed read was sent
	readFailed  bool          // a read has failed since the last successful one
	justEnded   bool          // the last read was the first successful one after an outage
}

// observe records the result of a read that was sent at the given time. ErrHistoryGone counts as success, because the store
// answered; the outage ends with the read after it, which has the changes.
func (o *outage) observe(err error, sent, now time.Duration) {
	historyGone := errors.Is(err, ErrHistoryGone)
	if err != nil && !historyGone {
		o.readFailed, o.justEnded, o.failedAt = true, false, sent
		return
	}
	ended := o.readFailed && o.lastSuccess > 0 && now-o.lastSuccess > outageThreshold
	o.justEnded = ended
	if historyGone && ended {
		return
	}
	o.readFailed = false
	o.lastSuccess = now
}

// returnedBefore returns how long before the first read after an outage the store may have returned, less maxReturnDelay. It
// cannot have returned before the last failed read was sent.
func (o *outage) returnedBefore(now time.Duration) time.Duration {
	if !o.justEnded {
		return 0
	}
	return max(0, now-o.failedAt-maxReturnDelay)
}

// dependency logs when a dependency of the process becomes unavailable and when it is available again.
type dependency struct {
	name        string
	logger      *log.Logger
	unavailable bool
}

// observe records the result of a call to the dependency. ErrHistoryGone changes nothing.
func (d *dependency) observe(err error) {
	switch {
	case err != nil && !errors.Is(err, ErrHistoryGone) && !d.unavailable:
		d.unavailable = true
		d.logger.Warn().Err(err).Str("dependency", d.name).Msg("dependency lost")
	case err == nil && d.unavailable:
		d.unavailable = false
		d.logger.Info().Str("dependency", d.name).Msg("dependency regained")
	}
}
