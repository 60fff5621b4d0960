package follow

import (
	"context"
	"hash/maphash"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

// methodFollow is the control method with which followers read from a delegate.
const methodFollow = "follow.read"

const (
	// delegateSlack is the time that a delegate's answer may take beyond the requested wait. It covers many round trips
	// between regions.
	delegateSlack = 400 * time.Millisecond
	// delegateSilence is the time, beyond the requested wait, for which a delegate may have received nothing from the
	// store. A configuration has to be in force within two seconds. A delegate's read, its time-out and one more answer
	// fit into that time.
	delegateSilence = 700 * time.Millisecond
	// startPatience is the time-out of the first request to a delegate, which is answered without a wait. It covers many
	// round trips between regions. It is short because the delegate may have lost power together with this process.
	startPatience = 250 * time.Millisecond
	// startRetry is the interval between attempts during the start. Delegates that start at the same time need about as
	// long to read the store.
	startRetry = 100 * time.Millisecond
	// startWait is how long a starting process waits for delegates before it reads the store itself. Otherwise, after a
	// complete power loss, a hundred processes would fetch the whole configuration over the links between regions.
	startWait = 1500 * time.Millisecond
	// delegateRetry is the delay before a delegate that did not answer is tried again.
	delegateRetry = 2 * time.Second
	// failingRetry is the delay before a delegate is tried again whose own reads fail. It is shorter because delegates are
	// the first to notice that the store is back.
	failingRetry = 400 * time.Millisecond
)

// readRequest asks a delegate for the changes since the cursors.
type readRequest struct {
	Operator  Cursor
	Endpoints Cursor
	Wait      time.Duration // longest time to wait for a change
	Bare      bool          // leave out routes and workspaces
	Resync    bool          // return all endpoints: the cursor is another reader's, which may have seen other states of an entry
}

// readAnswer is a delegate's response to a readRequest.
type readAnswer struct {
	Region    core.Region
	Waited    time.Duration                // how long the delegate held the request
	Age       time.Duration                // of the delegate's view of the operators' table: later changes may be missing
	Silence   time.Duration                // since the delegate's last response from the store
	Operator  OperatorChanges              // without the configuration
	Named     map[core.Model]time.Duration // longest time for which each wanted version may have been requested
	Packed    packed                       // the configuration; empty if it did not change
	Endpoints EndpointChanges
}

// Delegates describes the processes that read the store on behalf of others, so that the load on the store does not grow
// with the number of processes. Delegates read the store themselves, and so does every process while no delegate answers.
type Delegates struct {
	Self      string // control address of this process; "" if it has none
	Region    core.Region
	Addresses []string // control addresses; if empty, each process reads the store itself
	Peers     *rpc.Client
	Bare      bool // this process does not need routes and workspaces
}

// delegate is a follower's state for one delegate.
type delegate struct {
	address string
	region  core.Region   // "" until it has answered
	until   time.Duration // not asked again before this time
}

// order returns the delegates that may be asked now: those in this region first, then those whose region is unknown, then
// the others.
func order(delegates []*delegate, region core.Region, now time.Duration) []*delegate {
	rank := func(d *delegate) int {
		switch d.region {
		case region:
			return 0
		case "":
			return 1
		}
		return 2
	}
	var able []*delegate
	for _, d := range delegates {
		if d.until <= now {
			able = append(able, d)
		}
	}
	slices.SortStableFunc(able, func(a, b *delegate) int { return rank(a) - rank(b) })
	return able
}

// newDelegates returns the configured delegates, rotated by a random offset to spread followers over them.
func newDelegates(config Delegates) []*delegate {
	delegates := make([]*delegate, 0, len(config.Addresses))
	for _, address := range config.Addresses {
		delegates = append(delegates, &delegate{address: address})
	}
	if len(delegates) > 1 {
		start := int(maphash.String(maphash.MakeSeed(), config.Self) % uint64(len(delegates)))
		delegates = append(delegates[start:], delegates[:start]...)
	}
	return delegates
}

// Methods returns the control methods that a delegate serves, by name.
func (f *Follower) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{methodFollow: rpc.Handle(f.answerFollower)}
}

// answerFollower serves a follower's read. It returns fault.NotReady if this process is no delegate or has no data yet,
// and fault.PlatformDown if its own reads of the store fail.
func (f *Follower) answerFollower(ctx context.Context, request readRequest) (readAnswer, error) {
	arrived := bootclock.Now()
	if _, known := f.Age(); !known || !f.reads {
		return readAnswer{}, fault.New(fault.NotReady, "this process is not a delegate, or has not read the store yet", "ask another delegate")
	}
	if !f.mirror.wait(ctx, request) && request.Operator.Read {
		return readAnswer{}, fault.New(fault.PlatformDown, "the delegate cannot read the store", "ask another delegate or the store")
	}
	operator, configuration := f.mirror.operatorSince(request.Operator, request.Bare)
	now := bootclock.Now()
	age, silence := f.mirror.ages(now)
	return readAnswer{
		Region:    f.delegates.Region,
		Waited:    now - arrived,
		Age:       age,
		Silence:   silence,
		Operator:  operator,
		Named:     f.mirror.namedAges(operator.Wanted, now),
		Packed:    configuration,
		Endpoints: f.mirror.endpointsSince(request.Endpoints, request.Resync, now),
	}, nil
}

// followDelegates reads from delegates until the context ends. While no delegate answers, it reads from the store.
func (f *Follower) followDelegates(ctx context.Context) {
	delegates := newDelegates(f.delegates)
	lost := dependency{name: "delegates that read the store", logger: f.logger}
	var outage outage // of the store, as seen by this process's own reads
	direct := backoff{until: bootclock.Now() + startWait}
	var synced *delegate // the delegate whose full endpoint list this process holds, or nil
	var operator, endpoints Cursor
	for ctx.Err() == nil {
		sent := bootclock.Now()
		answer, answering, err := f.askDelegates(ctx, delegates, synced, readRequest{Operator: operator, Endpoints: endpoints, Wait: f.pace.OperatorWait, Bare: f.delegates.Bare})
		lost.observe(err)
		if err != nil && !direct.due(bootclock.Now()) {
			f.pause(ctx, startRetry)
			continue
		}
		if err != nil {
			synced = nil
			operator, endpoints, err = f.readOnce(ctx, operator, endpoints, &outage)
			direct.observe(err, bootclock.Now())
			continue
		}
		direct = backoff{}
		if answering != synced {
			synced = nil
		}
		if answer.Endpoints.Whole {
			synced = answering
		}
		outage.observe(nil, bootclock.Now())
		operator, endpoints = answer.Operator.Cursor, answer.Endpoints.Cursor
		f.loop.Post(ctx, answer.operatorRead(sent))
		f.loop.Post(ctx, endpointsRead{sent: sent, now: bootclock.Now(), changes: answer.Endpoints})
	}
}

// operatorRead converts the delegate's ages to times of this process's boot clock. The network delay is unknown, so it
// assumes the earliest time at which the answer can have left the delegate: when the request was sent plus the time for
// which the delegate held it.
func (a readAnswer) operatorRead(sent time.Duration) operatorRead {
	left := sent + a.Waited
	read := operatorRead{sent: left - a.Age, asOf: left - a.Silence, named: make(map[core.Model]time.Duration, len(a.Named)), changes: a.Operator}
	for model, age := range a.Named {
		read.named[model] = left - age
	}
	return read
}

// askDelegates returns the answer of the first delegate that has recent data, and that delegate. A process without any
// data accepts an old answer, because during an outage of the store nothing better is available.
func (f *Follower) askDelegates(ctx context.Context, delegates []*delegate, synced *delegate, request readRequest) (readAnswer, *delegate, error) {
	err := error(fault.New(fault.Interrupted, "no delegate answers", "check the processes at the delegates' addresses; the store is read instead"))
	able, patience := order(delegates, f.delegates.Region, bootclock.Now()), request.Wait+delegateSlack
	if !request.Operator.Read {
		patience = startPatience
	}
	for _, d := range able {
		var answer readAnswer
		request.Resync = d != synced
		call, stop := context.WithTimeout(ctx, patience)
		err = f.delegates.Peers.Call(call, d.address, methodFollow, request, &answer)
		stop()
		if err == nil {
			answer.Operator.Configuration, err = answer.Packed.unpack()
		}
		if err == nil && (answer.Silence <= request.Wait+delegateSilence || !request.Operator.Read) {
			d.region = answer.Region
			return answer, d, nil
		}
		if err == nil {
			err = fault.New(fault.PlatformDown, "the delegate has received nothing from the store for too long", "check the store and the network to it")
		}
		synced = nil // a different process may answer at its address next time
		d.until = bootclock.Now() + retryAfter(err, request.Operator.Read)
	}
	return readAnswer{}, nil, err
}

// retryAfter returns the delay before a delegate that returned the error is asked again.
func retryAfter(err error, started bool) time.Duration {
	switch {
	case !started:
		return startRetry
	case fault.Is(err, fault.PlatformDown):
		return failingRetry
	default:
		return delegateRetry
	}
}

// readOnce reads both tables of the store once and returns the cursors for the next read.
func (f *Follower) readOnce(ctx context.Context, operator, endpoints Cursor, outage *outage) (Cursor, Cursor, error) {
	sent := bootclock.Now()
	changes, err := f.source.Operator(ctx, operator, 0)
	if err != nil {
		outage.observe(err, bootclock.Now())
		return f.recover(ctx, operator, err), endpoints, err
	}
	f.loop.Post(ctx, operatorRead{sent: sent, asOf: sent, changes: changes})
	sent = bootclock.Now()
	listed, err := f.source.Endpoints(ctx, endpoints)
	outage.observe(err, bootclock.Now())
	if err != nil {
		return changes.Cursor, f.recover(ctx, endpoints, err), err
	}
	listed.AfterOutage = outage.over
	f.loop.Post(ctx, endpointsRead{sent: sent, now: bootclock.Now(), changes: listed})
	f.pause(ctx, min(f.pace.OperatorWait, f.pace.EndpointsInterval)-(bootclock.Now()-sent))
	return changes.Cursor, listed.Cursor, nil
}
