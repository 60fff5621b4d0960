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

// methodFollow is the control method by which followers read from a delegate.
const methodFollow = "follow.read"

const (
	// delegateSlack is how much longer than the wait a delegate's answer may take: many round trips between regions.
	delegateSlack = 400 * time.Millisecond
	// delegateSilence beyond the wait is for how long a delegate may have heard nothing from the store. A delegate's read,
	// its time-out and one more answer fit into the two seconds within which a configuration has to be in force.
	delegateSilence = 700 * time.Millisecond
	// startPatience is for a delegate's first answer, which does not wait: many round trips between regions. The delegate
	// may have lost power together with this process.
	startPatience = 250 * time.Millisecond
	// startRetry is between two rounds of questions at the start: delegates that start as well need about as long to read
	// the store.
	startRetry = 100 * time.Millisecond
	// startWait is how long a process that starts waits for delegates before it reads the store itself. After a loss of
	// all power a hundred processes would fetch the whole configuration over the links between regions.
	startWait = 1500 * time.Millisecond
	// delegateRetry follows a delegate that did not answer.
	delegateRetry = 2 * time.Second
	// failingRetry follows a delegate whose own reads fail: it hears first when the store is back.
	failingRetry = 400 * time.Millisecond
)

// readRequest asks a delegate for what is newer than the cursors.
type readRequest struct {
	Operator  Cursor
	Endpoints Cursor
	Wait      time.Duration
	Bare      bool // without routes and workspaces
	Resync    bool // with all endpoints: the cursor comes from another reader, which may have seen other states of an entry
}

// readAnswer is what a delegate knows.
type readAnswer struct {
	Region    core.Region
	Waited    time.Duration                // that the delegate let the read wait
	Age       time.Duration                // for which the operators' table may have changed unseen by the delegate
	Silence   time.Duration                // for which the delegate has heard nothing from the store
	Operator  OperatorChanges              // without the configuration
	Named     map[core.Model]time.Duration // for how long at most the wanted versions have been named
	Packed    packed                       // configuration, empty when it did not change
	Endpoints EndpointChanges
}

// Delegates are the processes that read the store for others, so that its calls don't grow with the number of processes.
// A process that is a delegate itself reads the store. When no delegate answers, each process reads for itself.
type Delegates struct {
	Self      string // control address of this process, "" for none
	Region    core.Region
	Addresses []string // control addresses; none means that each process reads for itself
	Peers     *rpc.Client
	Bare      bool // this process needs no routes and workspaces
}

// delegate is what a follower knows of one.
type delegate struct {
	address string
	region  core.Region // "" until it has answered
	until   time.Duration
}

// order returns the delegates to ask now: those of the own region first, then those of which nothing is known.
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

// newDelegates begins at a place that differs between processes, so that they spread.
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

// Methods returns the control methods that a delegate answers.
func (f *Follower) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{methodFollow: rpc.Handle(f.answerFollower)}
}

func (f *Follower) answerFollower(ctx context.Context, request readRequest) (readAnswer, error) {
	arrived := bootclock.Now()
	if _, known := f.Age(); !known || !f.reads {
		return readAnswer{}, fault.New(fault.NotReady, "this process reads no store for others, or has read nothing yet", "ask another delegate")
	}
	if !f.mirror.wait(ctx, request) && request.Operator.Read {
		return readAnswer{}, fault.New(fault.PlatformDown, "this process's own reads of the store fail", "ask another delegate or the store")
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

// followDelegates reads from delegates, and from the store while none answers.
func (f *Follower) followDelegates(ctx context.Context) {
	delegates := newDelegates(f.delegates)
	lost := dependency{name: "delegates that read the store", logger: f.logger}
	var outage outage // of the store, as far as this process reads it
	direct := backoff{until: bootclock.Now() + startWait}
	var synced *delegate // whose list of endpoints this process holds; nil for none's
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

// operatorRead places the delegate's reads on this process's clock. The answer left the delegate no earlier than the
// time that it waited after the request was sent; how long it was under way is not known.
func (a readAnswer) operatorRead(sent time.Duration) operatorRead {
	left := sent + a.Waited
	read := operatorRead{sent: left - a.Age, asOf: left - a.Silence, named: make(map[core.Model]time.Duration, len(a.Named)), changes: a.Operator}
	for model, age := range a.Named {
		read.named[model] = left - age
	}
	return read
}

// askDelegates returns the answer of the first delegate that has a fresh one. A process that knows nothing yet takes an
// old one, with its age: in an outage of the store that is what is to be had.
func (f *Follower) askDelegates(ctx context.Context, delegates []*delegate, synced *delegate, request readRequest) (readAnswer, *delegate, error) {
	err := error(fault.New(fault.Interrupted, "no delegate answers", "check the processes at the seeds' addresses; the store is read instead"))
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
			err = fault.New(fault.PlatformDown, "the delegate's own reads of the store fail", "check the store and the network to it")
		}
		synced = nil // it may be another process by the time that it answers again
		d.until = bootclock.Now() + retryAfter(err, request.Operator.Read)
	}
	return readAnswer{}, nil, err
}

// retryAfter is the time until a delegate that gave the error is asked again.
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

// readOnce reads the store once, and returns the cursors from which to go on.
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
