// Package follow keeps a process's view of the configuration and the endpoints up to date with the platform's store.
// A reducer owns the state; two readers feed it, and traffic reads the view through an atomic pointer.
package follow

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// Cursor is a position in the history of a table of the store. The zero cursor asks for everything that stands.
type Cursor struct {
	Read    bool // something was read: Version counts, also when it is 0
	Version uint64
}

// ErrHistoryGone says that the store no longer holds the changes since a cursor; read everything again.
var ErrHistoryGone = errors.New("the store no longer holds the history since this cursor; read everything again")

// OperatorChanges is what operators wrote.
type OperatorChanges struct {
	Whole         bool // it lists everything that stands, not only what changed
	Cursor        Cursor
	Configuration *catalog.Configuration      // nil when it did not change
	Evacuations   map[core.FailureDomain]bool // false for one that was taken back
	Wanted        map[core.Model]int64        // versions that were named
	StoreTime     time.Duration               // of the answer, on the store's own steady clock; 0 if it does not tell
}

// EndpointChanges is what the service registry lists.
type EndpointChanges struct {
	Whole     bool
	Cursor    Cursor
	Present   []*catalog.Endpoint
	Gone      []catalog.EndpointID
	StoreTime time.Duration        // of the answer, on the store's own steady clock; 0 if it does not tell
	Lapsed    []catalog.EndpointID // gone at the end of an outage of the store: they may only have lapsed meanwhile

	// AfterOutage says that this is the first read after an outage: what is gone may only have lapsed.
	AfterOutage bool
}

// Source reads the platform's store.
type Source interface {
	// Operator returns the changes since the cursor, and waits up to wait for the first one.
	Operator(ctx context.Context, since Cursor, wait time.Duration) (OperatorChanges, error)
	// Endpoints returns the changes since the cursor.
	Endpoints(ctx context.Context, since Cursor) (EndpointChanges, error)
}

// Pace says how often the store is read.
type Pace struct {
	OperatorWait      time.Duration // that one read of the operators' table waits for a change
	EndpointsInterval time.Duration // between two reads of the endpoints
}

// retryInterval follows a failed read: short against the bounds on configuration, long against the store's rates.
const retryInterval = 200 * time.Millisecond

// Follower is one process's view of the store.
type Follower struct {
	source Source
	pace   Pace
	logger *log.Logger
	loop   *reduce.Loop
	state  *state
	view   atomic.Pointer[catalog.View]
	asOf   atomic.Int64 // boot clock, in nanoseconds; 0 until something was read
	// Changed is called on the control thread after each new view. It must not wait.
	Changed func(*catalog.View)
	wake    chan struct{}
	clock   storeClock

	delegates Delegates
	mirror    *mirror
	reads     bool // this process reads the store itself
}

// New returns a follower that has not started.
func New(source Source, pace Pace, delegates Delegates, logger *log.Logger) *Follower {
	f := &Follower{source: source, pace: pace, delegates: delegates, logger: logger, state: newState(), mirror: newMirror(), wake: make(chan struct{}, 1)}
	f.reads = len(delegates.Addresses) == 0 || slices.Contains(delegates.Addresses, delegates.Self)
	f.view.Store(catalog.NewView(nil, nil, nil, nil))
	f.loop = reduce.NewLoop(f.state.step, f.apply, func(context.Context, reduce.Effect) {})
	return f
}

// View returns the newest view. Its index is nil until a configuration was read.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// Age returns for how long the operators' table may have changed unseen; false when it was never read. Suspensions of
// the machine count.
func (f *Follower) Age() (time.Duration, bool) {
	asOf := f.asOf.Load()
	if asOf == 0 {
		return 0, false
	}
	return bootclock.Now() - time.Duration(asOf), true
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	if f.reads {
		tasks.Go(func() { f.readOperator(ctx) })
		tasks.Go(func() { f.readEndpoints(ctx) })
	} else {
		tasks.Go(func() { f.followDelegates(ctx) })
	}
	f.loop.Run(ctx)
	tasks.Wait()
}

// ReadEndpointsNow cuts the pause before the next read of the endpoints short.
func (f *Follower) ReadEndpointsNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) readOperator(ctx context.Context) {
	dependency := dependency{name: "operators' table of the store", logger: f.logger}
	var cursor Cursor
	for ctx.Err() == nil {
		sent := bootclock.Now()
		changes, err := f.source.Operator(ctx, cursor, f.pace.OperatorWait)
		dependency.observe(err)
		f.mirror.observe(tableOperators, err)
		if err != nil {
			cursor = f.recover(ctx, cursor, err)
			continue
		}
		cursor = changes.Cursor
		read := operatorRead{sent: sent, asOf: f.clock.asOf(sent, bootclock.Now(), changes.StoreTime), changes: changes}
		if err := f.mirror.addOperator(read); err != nil {
			f.logger.Error().Err(err).Msg("configuration not offered to followers")
		}
		f.loop.Post(ctx, read)
	}
}

func (f *Follower) readEndpoints(ctx context.Context) {
	dependency := dependency{name: "endpoints' table of the store", logger: f.logger}
	var outage outage
	var cursor Cursor
	for ctx.Err() == nil {
		sent := bootclock.Now()
		changes, err := f.source.Endpoints(ctx, cursor)
		dependency.observe(err)
		f.mirror.observe(tableEndpoints, err)
		outage.observe(err, bootclock.Now())
		if err != nil {
			cursor = f.recover(ctx, cursor, err)
			continue
		}
		cursor = changes.Cursor
		f.clock.observe(sent, changes.StoreTime)
		changes.AfterOutage = outage.over
		f.mirror.addEndpoints(bootclock.Now(), changes)
		f.loop.Post(ctx, endpointsRead{sent: sent, now: bootclock.Now(), changes: changes})
		f.pause(ctx, f.pace.EndpointsInterval-(bootclock.Now()-sent))
	}
}

// recover returns the cursor with which to go on after a failed read.
func (f *Follower) recover(ctx context.Context, cursor Cursor, err error) Cursor {
	if errors.Is(err, ErrHistoryGone) {
		return Cursor{}
	}
	f.pause(ctx, retryInterval)
	return cursor
}

func (f *Follower) pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// apply publishes a new view before the age that belongs to it, so that a view is never older than its age says.
func (f *Follower) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case publish:
		f.view.Store(effect.view)
		if f.Changed != nil {
			f.Changed(effect.view)
		}
	case confirm:
		f.asOf.Store(max(f.asOf.Load(), int64(effect.sent))) // a delegate may be behind another one
	case believed:
		f.logger.Info().Str("endpoint", string(effect.endpoint)).Str("state", effect.state).Int("count", effect.count).Msg("endpoints changed")
	case report:
		f.logger.Info().Str("change", effect.change).Int64("version", effect.version).Str("name", effect.name).Msg("configuration taken over")
	}
	return true
}

// outage tells whether the store was away before a read. A process that did not read, because it was suspended or
// waited for a delegate, has seen no outage.
type outage struct {
	lastRead time.Duration // that succeeded, on the boot clock
	failed   bool          // a read failed since
	over     bool          // the last read was the first one after an outage
}

func (o *outage) observe(err error, now time.Duration) {
	o.over = false
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		o.failed = true
		return
	}
	o.over = o.failed && o.lastRead > 0 && now-o.lastRead > outageAfter
	o.failed = false
	o.lastRead = now
}

// dependency logs when something that a process depends on is lost or regained.
type dependency struct {
	name   string
	logger *log.Logger
	lost   bool
}

func (d *dependency) observe(err error) {
	switch {
	case err != nil && !errors.Is(err, ErrHistoryGone) && !d.lost:
		d.lost = true
		d.logger.Warn().Err(err).Str("dependency", d.name).Msg("dependency lost")
	case err == nil && d.lost:
		d.lost = false
		d.logger.Info().Str("dependency", d.name).Msg("dependency regained")
	}
}
