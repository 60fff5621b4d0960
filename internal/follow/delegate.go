package follow

import (
	"context"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

// methodFollow is the control method with which followers read from a delegate.
const methodFollow = "follow.read"

const (
	// startRequestTimeout is the time-out of a request to a delegate while this process has no data. Such a request is
	// answered without a wait. The time-out covers many round trips between regions. It is short because the delegate may
	// have lost power together with this process.
	startRequestTimeout = 250 * time.Millisecond
	// startRetryInterval is the interval between attempts during the start. Delegates that start at the same time need
	// about as long to read the store.
	startRetryInterval = 100 * time.Millisecond
	// startDelegateWait is how long a starting process waits for delegates before it reads the store itself. Otherwise,
	// after a complete power loss, a hundred processes would fetch the whole configuration over the links between regions.
	startDelegateWait = 1500 * time.Millisecond
)

// readRequest asks a delegate for the changes since the cursors.
type readRequest struct {
	Operator   Cursor
	Endpoints  Cursor
	Wait       time.Duration // longest time to wait for a change
	OmitRoutes bool          `json:"Bare"` // leave out routes and workspaces
	// Configuration is the version of the configuration that the follower has, which is not sent again; 0 for none.
	Configuration int64 `json:",omitempty"`
	// EndpointsWait is the shortest time to wait if only endpoints change, so that one response carries many changes.
	EndpointsWait time.Duration `json:",omitempty"`
	// UrgentAddress is the address of an endpoint whose changes end the wait at once; "" for none.
	UrgentAddress string `json:",omitempty"`
	// PackEndpoints requests that many endpoints are sent compressed.
	PackEndpoints bool `json:",omitempty"`
	Resync        bool // return all endpoints: the cursor comes from another source, which may have seen other states of an entry
}

// readResponse is a delegate's response to a readRequest.
type readResponse struct {
	Region               core.Region
	Waited               time.Duration                // how long the delegate held the request
	Age                  time.Duration                // of the delegate's view of the operators' table: later changes may be missing
	Silence              time.Duration                // since the delegate's last response from the store
	EndpointsAge         time.Duration                `json:",omitempty"` // like Age for the registry; 0 from delegates of earlier releases
	Operator             OperatorChanges              // without the configuration
	RequestedAges        map[core.Model]time.Duration `json:"Named"`  // upper bound of the time since each wanted version was requested
	EncodedConfiguration encodedConfiguration         `json:"Packed"` // the configuration; empty if it did not change
	Endpoints            EndpointChanges
	PackedEndpoints      packedEndpoints `json:",omitempty"` // compressed Endpoints.Present
}

// Delegates describes the processes that read the store on behalf of others, so that the load on the store does not
// grow with the number of processes. Delegates read the store themselves, and so does every process while no delegate
// answers.
type Delegates struct {
	Self       string // control address of this process; "" if it has none
	Region     core.Region
	Addresses  []string // control addresses; if empty, each process reads the store itself
	Peers      *rpc.Client
	OmitRoutes bool          // this process does not need routes and workspaces
	Wait       time.Duration // longest time for which a delegate holds a read without a change; 0 for Intervals.OperatorWait
	// EndpointsWait is the shortest time between two responses of a delegate if only endpoints change.
	EndpointsWait time.Duration
	// UrgentAddress is the address of an endpoint whose changes this process has to learn at once; "" for none.
	UrgentAddress string
}

// delegate is a follower's state for one delegate.
type delegate struct {
	address string
	region  core.Region   // "" until it has answered
	retryAt time.Duration // not asked again before this time
	// turnedAway: its last answer was that it cannot read the store.
	turnedAway bool
}

// alsoWaiting, as the time for orderDelegates, includes the delegates that may not be asked yet.
const alsoWaiting = time.Duration(math.MaxInt64)

// orderDelegates returns the delegates that may be asked now: those in this region first, then those whose region is
// unknown, then the others.
func orderDelegates(delegates []*delegate, region core.Region, now time.Duration) []*delegate {
	var available []*delegate
	for _, d := range delegates {
		if d.retryAt <= now {
			available = append(available, d)
		}
	}
	slices.SortStableFunc(available, func(a, b *delegate) int { return a.rank(region) - b.rank(region) })
	return available
}

// rank returns the delegate's place in the order of preference of a process in the region; a lower one is preferred.
func (d *delegate) rank(region core.Region) int {
	switch d.region {
	case region:
		return 0
	case "":
		return 1
	}
	return 2
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
	return map[string]rpc.Method{methodFollow: rpc.Handle(f.serveRead), methodRelay: rpc.Handle(f.serveRelay)}
}

// serveRead serves a follower's read. It returns fault.NotReady if this process is no delegate or has no data yet,
// and fault.PlatformUnavailable if its own reads of the store fail.
func (f *Follower) serveRead(ctx context.Context, request readRequest) (readResponse, error) {
	arrived := bootclock.Now()
	if !f.readsStore || !f.mirror.hasReadOperator() {
		return readResponse{}, fault.New(fault.NotReady, "this process is not a delegate, or has not read the store yet", "ask another delegate")
	}
	if f.mirror.missedRestore(request.Operator, request.Endpoints) {
		return readResponse{}, errMissedRestore()
	}
	if !f.mirror.waitForChange(ctx, request) && request.Operator.Valid {
		return readResponse{}, fault.New(fault.PlatformUnavailable, "the delegate cannot read the store", "ask another delegate or the store")
	}
	operator, configuration := f.mirror.operatorSince(request.Operator, request.OmitRoutes)
	if !f.mirror.hasNewerConfiguration(request.Configuration) {
		configuration = nil
	}
	now := bootclock.Now()
	age, silence := f.mirror.ages(now)
	endpointsAge := f.mirror.endpointsAge(now)
	operator.Rollouts = f.mirror.rolloutAges(now)
	endpoints := f.mirror.endpointsSince(request.Endpoints, request.Resync, now)
	var packed packedEndpoints
	if request.PackEndpoints {
		var err error
		if packed, err = packEndpoints(endpoints.Present); err != nil {
			return readResponse{}, err
		}
	}
	if packed != nil {
		endpoints.Present = nil
	}
	return readResponse{
		Region:               f.delegates.Region,
		Waited:               now - arrived,
		Age:                  age,
		Silence:              silence,
		EndpointsAge:         endpointsAge,
		Operator:             operator,
		RequestedAges:        f.mirror.requestedAges(operator.Wanted, now),
		EncodedConfiguration: configuration,
		Endpoints:            endpoints,
		PackedEndpoints:      packed,
	}, nil
}

// followDelegates reads from delegates until the context ends. While no delegate answers, it reads from the store.
func (f *Follower) followDelegates(ctx context.Context) {
	delegates := newDelegates(f.delegates)
	delegatesDependency := dependency{name: "delegates that read the store", logger: f.logger}
	storeDependency := dependency{name: "store, read in place of the delegates", logger: f.logger}
	var outage outage // of the store, as seen by this process's own reads
	storeBackoff := backoff{retryAt: bootclock.Now() + startDelegateWait}
	var operator, endpoints Cursor
	session := delegateSession{follower: f, delegates: delegates}
	reader := newRelayReader(f)
	defer reader.tasks.Wait()
	news := newsLog{logger: f.logger, maxGap: f.intervals.OperatorWait + delegateResponseMargin}
	for ctx.Err() == nil {
		sent := bootclock.Now()
		response, err := session.read(ctx, f.readRequest(operator, endpoints))
		delegatesDependency.observe(err)
		if err != nil && !storeBackoff.due(bootclock.Now()) {
			f.sleep(ctx, startRetryInterval)
			continue
		}
		if err != nil {
			session.syncedWith = nil
			began := bootclock.Now()
			operator, endpoints, err = f.readStoreOnce(ctx, operator, endpoints, &outage)
			storeBackoff.observe(err, bootclock.Now())
			storeDependency.observe(err)
			if err == nil {
				news.observe(sourceStore, sent, bootclock.Now(), 0)
				reader.offer(ctx, delegates)
				f.sleep(ctx, min(f.intervals.OperatorWait, f.intervals.EndpointsInterval)-(bootclock.Now()-began))
			}
			continue
		}
		storeBackoff = backoff{}
		news.observe(session.answered, sent, bootclock.Now(), response.Waited)
		outage.observe(nil, sent, bootclock.Now())
		operator, endpoints = response.Operator.Cursor, response.Endpoints.Cursor
		f.loop.Post(ctx, response.toOperatorRead(sent))
		f.loop.Post(ctx, response.toEndpointsRead(sent))
		if session.syncedWith == nil {
			f.sleep(ctx, delegateRetryInterval) // the delegate lags behind this process and did not hold the request
		}
	}
}

// configurationVersion returns the version of the configuration in force; 0 if there is none.
func (f *Follower) configurationVersion() int64 {
	if index := f.View().Index; index != nil {
		return index.Configuration.Version
	}
	return 0
}

// toOperatorRead converts the delegate's ages to times of this process's boot clock. The network delay is unknown, so
// it assumes the earliest time at which the response can have left the delegate: when the request was sent plus the time
// for which the delegate held it.
func (r readResponse) toOperatorRead(sent time.Duration) operatorRead {
	answeredAt := sent + r.Waited
	read := operatorRead{sentAt: answeredAt - r.Age, asOf: answeredAt - r.Silence, requestedTimes: make(map[core.Model]time.Duration, len(r.RequestedAges)), changes: r.Operator}
	for model, age := range r.RequestedAges {
		read.requestedTimes[model] = answeredAt - age
	}
	return read.withRollouts(answeredAt, bootclock.Now(), catalog.RolloutDelegate)
}

// toEndpointsRead is like toOperatorRead for the registry. A delegate that does not state the age of its registry reads it
// about as often as the operators' table.
func (r readResponse) toEndpointsRead(sent time.Duration) endpointsRead {
	age := r.EndpointsAge
	if age == 0 {
		age = r.Age
	}
	return endpointsRead{sentAt: sent + r.Waited - age, receivedAt: bootclock.Now(), changes: r.Endpoints}
}

// readRequest returns the request to a delegate for the changes since the cursors.
func (f *Follower) readRequest(operator, endpoints Cursor) readRequest {
	wait := f.intervals.OperatorWait
	if f.delegates.Wait > 0 {
		wait = f.delegates.Wait
	}
	return readRequest{
		Operator:      operator,
		Endpoints:     endpoints,
		Wait:          wait,
		OmitRoutes:    f.delegates.OmitRoutes,
		Configuration: f.configurationVersion(),
		EndpointsWait: f.delegates.EndpointsWait,
		UrgentAddress: f.delegates.UrgentAddress,
		PackEndpoints: true,
	}
}

func errMissedRestore() error {
	return fault.New(fault.PlatformUnavailable, "the delegate has not read the store since it was restored from a copy", "ask another delegate or the store")
}

// unpack decodes the compressed parts of the response. It returns fault.Corrupted if one cannot be decoded.
func (r *readResponse) unpack() error {
	var err error
	if r.Operator.Configuration, err = r.EncodedConfiguration.decode(); err != nil {
		return err
	}
	present, err := r.PackedEndpoints.unpack()
	r.Endpoints.Present = append(r.Endpoints.Present, present...)
	return err
}

// isOlderEra reports whether the response comes from before a restore of the store that the request's cursors include.
func (r readResponse) isOlderEra(request readRequest) bool {
	return r.Operator.Cursor.Era < request.Operator.Era || r.Endpoints.Cursor.Era < request.Endpoints.Era
}

// readStoreOnce reads both tables of the store once and returns the cursors for the next read.
func (f *Follower) readStoreOnce(ctx context.Context, operator, endpoints Cursor, outage *outage) (Cursor, Cursor, error) {
	sent := bootclock.Now()
	changes, err := f.source.Operator(ctx, operator, 0)
	if err == nil {
		err = f.operatorPosition.advance(changes.Cursor, bootclock.Now())
	}
	if err != nil {
		outage.observe(err, sent, bootclock.Now())
		f.postUnavailable(ctx, err)
		return f.recover(ctx, operator, err), endpoints, err
	}
	f.loop.Post(ctx, operatorRead{sentAt: sent, asOf: sent, changes: changes}.withRollouts(sent, bootclock.Now(), ""))
	sent = bootclock.Now()
	endpointChanges, err := f.source.Endpoints(ctx, endpoints)
	if err == nil {
		err = f.endpointsPosition.advance(endpointChanges.Cursor, bootclock.Now())
	}
	outage.observe(err, sent, bootclock.Now())
	if err != nil {
		f.postUnavailable(ctx, err)
		return changes.Cursor, f.recover(ctx, endpoints, err), err
	}
	endpointChanges.AfterOutage, endpointChanges.ReturnedBefore = outage.justEnded, outage.returnedBefore(bootclock.Now())
	f.loop.Post(ctx, endpointsRead{sentAt: sent, receivedAt: bootclock.Now(), changes: endpointChanges})
	return changes.Cursor, endpointChanges.Cursor, nil
}
