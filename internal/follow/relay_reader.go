package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// relayCallTimeout is the time-out of one call to a delegate that is read for.
const relayCallTimeout = 400 * time.Millisecond

// relayReader reads the store for a delegate that is turned away by it, while the delegate wants that.
type relayReader struct {
	follower *Follower
	id       string
	active   atomic.Bool
	tasks    conc.WaitGroup
}

func newRelayReader(f *Follower) *relayReader {
	return &relayReader{follower: f, id: strconv.FormatUint(rand.Uint64(), 36)}
}

// offer offers the delegates that cannot read the store to read for them, until one accepts. The store has just answered this
// process.
func (r *relayReader) offer(ctx context.Context, delegates []*delegate) {
	if !r.active.CompareAndSwap(false, true) {
		return
	}
	for _, d := range orderDelegates(delegates, r.follower.delegates.Region, alsoWaiting) {
		if !d.turnedAway {
			continue
		}
		asked, err := r.call(ctx, d.address, nil)
		if err == nil && asked.Granted {
			r.tasks.Go(func() {
				defer r.active.Store(false)
				r.readFor(ctx, d.address, asked)
			})
			return
		}
	}
	r.active.Store(false)
}

// readFor reads the store for the delegate until it needs no further read or one fails.
func (r *relayReader) readFor(ctx context.Context, address string, asked relayResponse) {
	logger, reads := r.follower.logger, 0
	logger.Info().Str("delegate", address).Msg("reads the store for a delegate")
	for asked.Granted && ctx.Err() == nil {
		began := bootclock.Now()
		read, err := r.read(ctx, asked)
		if err == nil {
			asked, err = r.call(ctx, address, read)
		}
		if err != nil {
			logger.Warn().Err(err).Str("delegate", address).Int("reads", reads).Msg("no longer reads the store for a delegate")
			return
		}
		reads++
		r.follower.sleep(ctx, relayInterval-(bootclock.Now()-began)) // a change ended the wait, or the read was complete
	}
	logger.Info().Str("delegate", address).Int("reads", reads).Msg("delegate needs no further reads")
}

// read reads both tables from the delegate's cursors on. It begins after the delegate has asked.
func (r *relayReader) read(ctx context.Context, asked relayResponse) (*relayRead, error) {
	source := r.follower.source
	operator, err := source.Operator(ctx, asked.Operator, relayInterval)
	if errors.Is(err, ErrHistoryGone) {
		operator, err = source.Operator(ctx, Cursor{}, 0)
	}
	if err != nil {
		return nil, err
	}
	endpoints, err := source.Endpoints(ctx, asked.Endpoints)
	if errors.Is(err, ErrHistoryGone) {
		endpoints, err = source.Endpoints(ctx, Cursor{})
	}
	if err != nil {
		return nil, err
	}
	read := &relayRead{Asked: asked.Asked, Operator: operator, Endpoints: endpoints}
	if operator.Configuration != nil {
		read.Operator.Configuration = nil
		if read.EncodedConfiguration, err = encodeConfiguration(operator.Configuration); err != nil {
			return nil, err
		}
	}
	return read, nil
}

func (r *relayReader) call(ctx context.Context, address string, read *relayRead) (relayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayCallTimeout)
	defer cancel()
	var response relayResponse
	err := r.follower.delegates.Peers.Call(ctx, address, methodRelay, relayRequest{Reader: r.id, Read: read}, &response)
	return response, err
}
