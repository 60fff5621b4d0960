package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
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
// from one of them what the others have; delegates read from one another.
type Spreader struct {
	ledger     *Ledger
	delegates  []string // without this process
	isDelegate bool
	peers      *rpc.Client
	instance   string
	logger     *log.Logger
}

// NewSpreader returns a spreader that has not started. The control address self is "" if the process has none.
func NewSpreader(ledger *Ledger, self string, delegates []string, logger *log.Logger) *Spreader {
	others := slices.DeleteFunc(slices.Clone(delegates), func(address string) bool { return address == self })
	return &Spreader{ledger: ledger, delegates: others, isDelegate: len(others) < len(delegates), peers: rpc.NewClient(), instance: strconv.FormatUint(rand.Uint64(), 36), logger: logger}
}

// Methods returns the control methods that a delegate serves, by name.
func (s *Spreader) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodRead: rpc.Handle(s.serveRead),
		methodReport: rpc.Handle(func(_ context.Context, report Report) (struct{}, error) {
			s.ledger.merge(report)
			return struct{}{}, nil
		}),
	}
}

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

// readFrom reads from the first delegate until it fails, then from the next.
func (s *Spreader) readFrom(ctx context.Context, addresses []string) {
	var request readRequest
	for i := 0; ctx.Err() == nil; {
		address := addresses[i%len(addresses)]
		var response readResponse
		if err := s.call(ctx, address, methodRead, request, &response, readWait+requestTimeout); err != nil {
			s.logger.Debug().Err(err).Str("delegate", address).Msg("delegate did not tell of crashes")
			i++
			request = readRequest{}
			sleep(ctx, retryInterval)
			continue
		}
		s.ledger.merge(response.Report)
		if response.Instance != request.Instance {
			s.reportAll(ctx, address) // it has just started and may know less
		}
		request = readRequest{Instance: response.Instance, Since: response.Version}
	}
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

// reportOwn tells all delegates what this process has seen itself.
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
		for _, address := range s.delegates {
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
