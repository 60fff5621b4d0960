package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

const (
	// delegateResponseMargin is how long a follower waits for a delegate's response beyond the requested wait. It covers
	// many round trips between regions.
	delegateResponseMargin = 400 * time.Millisecond
	// hedgeDelay is the time beyond the requested wait after which a follower asks the other delegates as well. A change has
	// to be known everywhere within two seconds, of which a delegate's read and the requested wait take 1.6 s.
	hedgeDelay = 250 * time.Millisecond
	// probeInterval is the time between the requests to two delegates of which the first to answer is used. It is several
	// round trips between regions, so that usually only one of them sends its data.
	probeInterval = 100 * time.Millisecond
	// maxDelegateSilence, added to the usual wait, is the longest accepted time since a delegate's last response from the
	// store. A configuration has to be in force within two seconds. A delegate's read, its time-out and one more response
	// fit into these two seconds.
	maxDelegateSilence = 700 * time.Millisecond
	// delegateRetryInterval is the delay before a delegate that did not answer is asked again while no other one answers.
	delegateRetryInterval = 500 * time.Millisecond
	// failingDelegateRetryInterval is the same for a delegate whose own reads fail. It is shorter because delegates are the
	// first to notice that the store is back.
	failingDelegateRetryInterval = 400 * time.Millisecond
	// preferredRetryInterval is the time between two attempts to return to a delegate in the follower's own region.
	preferredRetryInterval = 2 * time.Second
)

// delegateSession is a follower's state for reads from delegates.
type delegateSession struct {
	follower    *Follower
	delegates   []*delegate
	syncedWith  *delegate     // the delegate that sent its full endpoint list over the connection that is still open, or nil
	preferredAt time.Duration // when a delegate that is preferred to syncedWith is asked again, on the boot clock
	answered    string        // address of the delegate whose response read returned last
}

// delegateAnswer is the outcome of a request to a delegate.
type delegateAnswer struct {
	delegate *delegate
	response readResponse
	synced   bool          // the follower has the delegate's full endpoint list
	took     time.Duration // from the request
	err      error
}

// read returns the response of a delegate that has recent data. The delegate that answered last may hold the request for its
// Wait. If it does not answer in time or there is none, the first answer of any delegate is used, so that the time without
// an answer does not grow with the number of silent delegates. A process without any data accepts an old response, because
// during an outage of the store nothing better is available.
func (s *delegateSession) read(ctx context.Context, request readRequest) (readResponse, error) {
	if s.hasNoData(request) {
		return s.readInOrder(ctx, request)
	}
	var calls conc.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the calls that are no longer needed
	answers := make(chan delegateAnswer, len(s.delegates))
	start := func(d *delegate, request readRequest) {
		synced := s.syncedWith == d
		calls.Go(func() { answers <- s.ask(ctx, d, request, synced) })
	}
	candidates := orderDelegates(s.delegates, s.follower.delegates.Region, bootclock.Now())
	pending := 0
	if current := s.syncedWith; current != nil && !s.tryPreferred(candidates, bootclock.Now()) {
		candidates = slices.DeleteFunc(candidates, func(d *delegate) bool { return d == current })
		start(current, request)
		hedge := time.NewTimer(request.Wait + hedgeDelay)
		defer hedge.Stop()
		select {
		case answer := <-answers:
			if s.accept(answer) {
				return answer.response, nil
			}
		case <-hedge.C:
			pending = 1
		}
	}
	request.Wait, request.EndpointsWait = 0, 0
	return s.firstAnswer(answers, pending, candidates, func(d *delegate) { start(d, request) })
}

// firstAnswer asks the candidates one after another, without waiting for longer than probeInterval for each, and returns the
// first answer. An answer of a delegate that lags behind this process is returned only if there is no other.
func (s *delegateSession) firstAnswer(answers <-chan delegateAnswer, pending int, candidates []*delegate, start func(*delegate)) (readResponse, error) {
	err := errNoDelegate()
	var lagging *delegateAnswer
	next := time.NewTimer(0)
	defer next.Stop()
	for pending > 0 || len(candidates) > 0 {
		select {
		case <-next.C:
			if len(candidates) > 0 {
				start(candidates[0])
				candidates = candidates[1:]
				pending++
				next.Reset(probeInterval)
			}
		case answer := <-answers:
			pending--
			if answer.err == nil && !answer.synced {
				lagging = &answer
			} else if s.accept(answer) {
				return answer.response, nil
			} else {
				err = answer.err
			}
			next.Reset(0)
		}
	}
	if lagging != nil && s.accept(*lagging) {
		return lagging.response, nil
	}
	return readResponse{}, err
}

// hasNoData reports whether the process has no data yet. After a lost history it has data although its cursor is not valid.
func (s *delegateSession) hasNoData(request readRequest) bool {
	_, known := s.follower.Age()
	return !request.Operator.Valid && !known
}

// readInOrder returns the response of the first delegate that answers, for a process without any data. It asks one delegate
// at a time, since a response then holds everything.
func (s *delegateSession) readInOrder(ctx context.Context, request readRequest) (readResponse, error) {
	err := errNoDelegate()
	for _, d := range orderDelegates(s.delegates, s.follower.delegates.Region, bootclock.Now()) {
		answer := s.ask(ctx, d, request, false)
		if s.accept(answer) {
			return answer.response, nil
		}
		d.retryAt = bootclock.Now() + startRetryInterval
		err = answer.err
	}
	return readResponse{}, err
}

// tryPreferred reports whether it is time to ask a candidate that is preferred to the current delegate, because it is in this
// process's region or its region is not known yet.
func (s *delegateSession) tryPreferred(candidates []*delegate, now time.Duration) bool {
	region := s.follower.delegates.Region
	if now < s.preferredAt || len(candidates) == 0 || candidates[0].rank(region) >= s.syncedWith.rank(region) {
		return false
	}
	s.preferredAt = now + preferredRetryInterval
	return true
}

// accept records the answer and returns whether it holds a response.
func (s *delegateSession) accept(answer delegateAnswer) bool {
	d := answer.delegate
	d.turnedAway = fault.Is(answer.err, fault.PlatformUnavailable)
	if answer.err != nil {
		if s.syncedWith == d {
			s.syncedWith = nil // a different process may respond at this address next time
		}
		logSlowFailure(s.follower.logger, d.address, answer.took, answer.err)
		d.retryAt = bootclock.Now() + retryDelay(answer.err)
		return false
	}
	d.region, s.answered = answer.response.Region, d.address
	s.syncedWith = nil
	if answer.synced {
		s.syncedWith = d
	}
	return true
}

// ask reads from one delegate. It requests all endpoints unless the delegate sent them over the connection in use: after a
// restart, a delegate does not know which entries were removed before.
func (s *delegateSession) ask(ctx context.Context, d *delegate, request readRequest, synced bool) delegateAnswer {
	sent := bootclock.Now()
	timeout := request.Wait + delegateResponseMargin
	if s.hasNoData(request) {
		timeout = startRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := delegateAnswer{delegate: d, synced: synced, err: rpc.ErrNotConnected}
	if synced {
		answer.err = s.follower.delegates.Peers.CallConnected(ctx, d.address, methodFollow, request, &answer.response)
	}
	if errors.Is(answer.err, rpc.ErrNotConnected) {
		answer.synced, request.Resync = false, true
		answer.err = s.follower.delegates.Peers.Call(ctx, d.address, methodFollow, request, &answer.response)
	}
	if answer.err == nil {
		answer.err = answer.response.unpack()
	}
	if answer.err == nil {
		answer.err = s.verify(request, answer.response)
	}
	answer.synced = answer.synced || answer.response.Endpoints.Full
	answer.took = bootclock.Now() - sent
	return answer
}

// verify returns fault.PlatformUnavailable if the response is too old for this process.
func (s *delegateSession) verify(request readRequest, response readResponse) error {
	if response.Silence > s.follower.intervals.OperatorWait+maxDelegateSilence && !s.hasNoData(request) {
		return fault.New(fault.PlatformUnavailable, "the delegate has received nothing from the store for too long", "check the store and the network to it")
	}
	if response.isOlderEra(request) {
		return errMissedRestore()
	}
	return nil
}

func errNoDelegate() error {
	return fault.New(fault.Interrupted, "no delegate answers", "check the processes at the delegates' addresses; the store is read instead")
}

// retryDelay returns the delay before a delegate that returned the error is asked again.
func retryDelay(err error) time.Duration {
	if fault.Is(err, fault.PlatformUnavailable) {
		return failingDelegateRetryInterval
	}
	return delegateRetryInterval
}
