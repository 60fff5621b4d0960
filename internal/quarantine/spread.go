package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/rpc"
)

// Control methods of delegates.
const (
	methodRead   = "quarantine.read"
	methodReport = "quarantine.report"
)

const (
	// readWait is the longest time for which a delegate holds a read without a change. A delegate that is suspended, or a connection
	// that has become silent, is noticed after it, in time for crashes of the last seconds to be learned from another delegate.
	readWait = 1500 * time.Millisecond
	// gatherTime is how long a delegate holds a change, so that one response carries what follows at once.
	gatherTime     = 40 * time.Millisecond
	requestTimeout = 500 * time.Millisecond // many round trips between regions; added to readWait for a read
	retryInterval  = 500 * time.Millisecond
	maxReports     = 20 // of one change to a delegate that does not answer; others pass it on meanwhile
	// delegateProbeInterval is the time between two attempts to return from the fallback to a delegate.
	delegateProbeInterval = 10 * time.Second
	// maxFallbackBackoff bounds the time between two attempts to find the fallback, each of which may read a row of the platform's store.
	maxFallbackBackoff = 8 * time.Second
)

// readRequest asks a delegate for what has changed.
type readRequest struct {
	Instance string // of the delegate's process that Since is of; "" for none
	Since    uint64
}

type readResponse struct {
	Instance string
	Version  uint64
	Report   Report
}

// Spreader exchanges a ledger's contents with the delegates. Each process tells all delegates what it has seen itself, and reads
// from one of them what the others have; delegates read from one another. While no delegate answers, the fallback stands for them.
type Spreader struct {
	// FindFallback returns the control address of a process that all others find too, "" if it is not known. It may be nil, and must not
	// be changed after Run is called.
	FindFallback func(context.Context) string

	ledger     *Ledger
	self       string   // control address; "" if the process has none
	delegates  []string // without this process
	isDelegate bool
	peers      *rpc.Client
	instance   string
	logger     *log.Logger

	unreached atomic.Bool            // no delegate has answered this process, which is none, since it last asked all of them
	fallback  atomic.Pointer[string] // address that is used in place of the delegates; nil if there is none
}

// NewSpreader returns a spreader that has not started. The control address self is "" if the process has none.
func NewSpreader(ledger *Ledger, self string, delegates []string, logger *log.Logger) *Spreader {
	others := slices.DeleteFunc(slices.Clone(delegates), func(address string) bool { return address == self })
	return &Spreader{ledger: ledger, self: self, delegates: others, isDelegate: len(others) < len(delegates), peers: rpc.NewClient(), instance: strconv.FormatUint(rand.Uint64(), 36), logger: logger}
}

// Methods returns the control methods that a delegate serves, by name.
func (s *Spreader) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodRead: rpc.Handle(s.serveRead),
		methodReport: rpc.Handle(func(_ context.Context, report Report) (struct{}, error) {
			s.ledger.mergeReported(report, !s.isDelegate)
			return struct{}{}, nil
		}),
	}
}

// IsCutOff reports whether no delegate answers this process, which is none itself.
func (s *Spreader) IsCutOff() bool { return s.unreached.Load() }

// serveRead answers when there is a change since the request's version, or after readWait.
func (s *Spreader) serveRead(ctx context.Context, request readRequest) (readResponse, error) {
	if request.Instance != s.instance {
		request.Since = 0
	}
	timer := time.NewTimer(readWait)
	defer timer.Stop()
	select {
	case <-s.ledger.waitForChange(request.Since):
		if request.Since > 0 {
			sleep(ctx, gatherTime)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	report, version := s.ledger.reportSince(request.Since)
	return readResponse{Instance: s.instance, Version: version, Report: report}, nil
}

// Run exchanges until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	defer s.peers.Close()
	if len(s.delegates) == 0 {
		return
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { s.reportOwn(ctx) })
	if !s.isDelegate {
		tasks.Go(func() { s.readFrom(ctx, shuffled(s.delegates)) })
		return
	}
	for _, address := range s.delegates {
		tasks.Go(func() { s.readFrom(ctx, []string{address}) })
	}
}

// shuffled returns the addresses in random order, which spreads processes over the delegates.
func shuffled(addresses []string) []string {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// readFrom reads from the first delegate until it fails, then from the next. A process that is no delegate reads from the fallback once
// all of them have failed one after another.
func (s *Spreader) readFrom(ctx context.Context, addresses []string) {
	var fallbackAt time.Time // before which the fallback is not tried
	backoff := retryInterval
	for i, failures := 0, 0; ctx.Err() == nil; i++ {
		answered := s.readUntilFailure(ctx, addresses[i%len(addresses)])
		if failures++; answered {
			failures = 1
		}
		if failures >= len(addresses) && !s.isDelegate && time.Now().After(fallbackAt) {
			s.unreached.Store(true)
			backoff = min(2*backoff, maxFallbackBackoff)
			if s.readFromFallback(ctx) {
				backoff = retryInterval
			}
			fallbackAt = time.Now().Add(backoff)
		}
		sleep(ctx, retryInterval)
	}
}

// readUntilFailure reads from the process at the address until that fails, and reports whether it ever answered.
func (s *Spreader) readUntilFailure(ctx context.Context, address string) (answered bool) {
	var request readRequest
	for {
		var response readResponse
		if err := s.call(ctx, address, methodRead, request, &response, readWait+requestTimeout); err != nil {
			s.logger.Debug().Err(err).Str("delegate", address).Msg("delegate did not tell of crashes")
			return answered
		}
		if answered = true; slices.Contains(s.delegates, address) {
			s.unreached.Store(false)
		}
		s.ledger.merge(response.Report)
		if response.Instance != request.Instance {
			s.reportAll(ctx, address) // it has just started and may know less
		}
		request = readRequest{Instance: response.Instance, Since: response.Version}
	}
}

// readFromFallback reads from the fallback, which is told what this process sees meanwhile, until it fails or a delegate answers. It
// reports whether the fallback ever answered.
func (s *Spreader) readFromFallback(ctx context.Context) (answered bool) {
	if s.FindFallback == nil {
		return false
	}
	address := s.FindFallback(ctx)
	if address == "" || address == s.self || slices.Contains(s.delegates, address) {
		return false
	}
	s.logger.Info().Str("address", address).Msg("no delegate tells of crashes; the granter is asked")
	s.fallback.Store(&address)
	defer s.fallback.Store(nil)
	ctx, cancel := context.WithCancel(ctx)
	var probes conc.WaitGroup
	defer probes.Wait()
	defer cancel()
	probes.Go(func() {
		defer cancel()
		for ctx.Err() == nil && !s.isAnyDelegateReachable(ctx) {
			sleep(ctx, delegateProbeInterval)
		}
	})
	return s.readUntilFailure(ctx, address)
}

// isAnyDelegateReachable asks the delegates one after another until one answers.
func (s *Spreader) isAnyDelegateReachable(ctx context.Context) bool {
	return slices.ContainsFunc(s.delegates, func(address string) bool {
		return s.call(ctx, address, methodReport, Report{}, &struct{}{}, requestTimeout) == nil
	})
}

// reportAll tells the delegate everything.
func (s *Spreader) reportAll(ctx context.Context, address string) {
	report, _ := s.ledger.reportSince(0)
	if len(report.Crashes) == 0 {
		return
	}
	if err := s.call(ctx, address, methodReport, report, &struct{}{}, requestTimeout); err != nil {
		s.logger.Debug().Err(err).Str("delegate", address).Msg("delegate was not told of crashes")
	}
}

// reportOwn tells all delegates, and the fallback while there is one, what this process has seen itself.
func (s *Spreader) reportOwn(ctx context.Context) {
	var running conc.WaitGroup
	defer running.Wait()
	for version := uint64(0); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-s.ledger.waitForChange(version):
		}
		_, version = s.ledger.reportSince(version)
		report := s.ledger.takeOwn()
		if len(report.Crashes) == 0 {
			continue
		}
		addresses := s.delegates
		if fallback := s.fallback.Load(); fallback != nil {
			addresses = append(slices.Clip(addresses), *fallback)
		}
		for _, address := range addresses {
			running.Go(func() { s.reportUntilAnswered(ctx, address, report) })
		}
	}
}

func (s *Spreader) reportUntilAnswered(ctx context.Context, address string, report Report) {
	for attempt := 0; attempt < maxReports && ctx.Err() == nil; attempt++ {
		err := s.call(ctx, address, methodReport, report, &struct{}{}, requestTimeout)
		if err == nil {
			return
		}
		s.logger.Debug().Err(err).Str("delegate", address).Msg("delegate was not told of crashes")
		sleep(ctx, retryInterval)
	}
}

func (s *Spreader) call(ctx context.Context, address, method string, request, response any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.peers.Call(ctx, address, method, request, response)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
