package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// peerReadInterval is the time between two reads from other delegates by a delegate whose own reads fail.
const peerReadInterval = time.Second

// peerFallback lets a delegate read from other delegates while the store does not answer it. What it reads is used by this
// process alone and not served to followers, so that no view is passed round between delegates.
type peerFallback struct {
	follower *Follower
	session  delegateSession
	failures int
	readAt   time.Duration // of the last read from other delegates
}

func newPeerFallback(f *Follower) *peerFallback {
	others := f.delegates
	others.Addresses = slices.DeleteFunc(slices.Clone(f.delegates.Addresses), func(address string) bool { return address == f.delegates.Self })
	return &peerFallback{follower: f, session: delegateSession{follower: f, delegates: newDelegates(others)}}
}

// learn asks all other delegates once for what operators wrote, at the start of this process. Its own first read may come from a store
// that has been restored from a copy and has lost a withdrawn key or a requested model version; a process that saw them keeps them in
// force. It takes no longer than startRequestTimeout. It must not run beside observe.
func (p *peerFallback) learn(ctx context.Context) {
	f := p.follower
	request := f.readRequest(Cursor{}, Cursor{})
	request.OmitRoutes = false // followers of this process need them
	sent := bootclock.Now()
	all := iter.Mapper[*delegate, delegateAnswer]{MaxGoroutines: len(p.session.delegates)}
	answers := all.Map(p.session.delegates, func(d **delegate) delegateAnswer { return p.session.ask(ctx, *d, request, false) })
	for _, answer := range answers {
		if answer.err != nil {
			f.logger.Debug().Err(answer.err).Str("delegate", answer.delegate.address).Msg("delegate did not answer at the start")
			continue
		}
		read := answer.response.toOperatorRead(sent)
		if err := f.mirror.learnOperator(read); err != nil {
			f.logger.Error().Err(err).Msg("configuration cannot be served to followers")
		}
		f.loop.Post(ctx, read)
	}
}

// observe records the result of an own read of the operators' table. After two failures in a row it reads from another
// delegate and takes over what is newer than this process's view.
func (p *peerFallback) observe(ctx context.Context, err error) {
	if err == nil || errors.Is(err, ErrHistoryGone) {
		p.failures = 0
		return
	}
	p.failures++
	now := bootclock.Now()
	if p.failures < 2 || now-p.readAt < peerReadInterval || len(p.session.delegates) == 0 {
		return
	}
	p.readAt = now
	p.session.syncedWith = nil
	response, err := p.session.read(ctx, p.follower.readRequest(Cursor{}, Cursor{}))
	if err != nil {
		p.follower.logger.Debug().Err(err).Msg("no other delegate answers")
		return
	}
	read := response.toOperatorRead(now)
	if read.sentAt <= time.Duration(p.follower.asOf.Load()) {
		return
	}
	p.follower.loop.Post(ctx, read)
	if p.follower.mirror.isFailing(tableEndpoints) {
		p.follower.loop.Post(ctx, response.toEndpointsRead(now))
	}
}
