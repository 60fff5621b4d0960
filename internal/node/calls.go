package node

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Methods returns the control methods that every node serves, by name.
func (r *Runner) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		wire.MethodStatus:   rpc.Handle(r.status),
		wire.MethodSnapshot: rpc.Handle(r.currentSnapshot),
		wire.MethodExchange: rpc.Handle(r.handleExchange),
		wire.MethodProbe:    rpc.Handle(r.handleProbe),
	}
}

// noParams is the parameter type of methods without parameters.
type noParams struct{}

// status returns this node's record, including the current number of attempts at the back end.
func (r *Runner) status(context.Context, noParams) (wire.Record, error) {
	record := r.View().Self
	if r.RunningAttempts != nil {
		record.Running = r.RunningAttempts()
	}
	return record, nil
}

// currentSnapshot returns the configuration in force, or an empty snapshot if there is none.
func (r *Runner) currentSnapshot(context.Context, noParams) (wire.Snapshot, error) {
	snapshot := r.View().Snapshot
	if snapshot == nil {
		return wire.Snapshot{}, nil
	}
	return wire.Snapshot{Generation: snapshot.Generation, Digest: snapshot.Digest, Raw: snapshot.Raw}, nil
}

// handleExchange passes another node's message to the reducer and returns the reducer's answer.
func (r *Runner) handleExchange(ctx context.Context, message wire.Exchange) (wire.Exchange, error) {
	answers := make(chan wire.Exchange, 1)
	r.mu.Lock()
	r.lastToken++
	token := r.lastToken
	r.pendingAnswers[token] = answers
	r.mu.Unlock()
	defer r.removePending(token)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.Loop.Post(ctx, ExchangeReceived{Token: token, Message: message})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return wire.Exchange{}, fault.New(fault.Interrupted, "the node's control thread did not answer in time", "ask another node")
	}
}

func (r *Runner) removePending(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingAnswers, token)
}

func (r *Runner) answer(effect AnswerExchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answers := r.pendingAnswers[effect.Token]; answers != nil {
		answers <- effect.Message
	}
}

// handleProbe contacts another node on behalf of a caller that cannot reach it, and returns whether that node answered.
func (r *Runner) handleProbe(ctx context.Context, request wire.Probe) (wire.ProbeResult, error) {
	_, err := r.callWithRetry(ctx, request.Address, r.probeMessage())
	return wire.ProbeResult{Reached: err == nil}, nil
}

// probeMessage returns a message that carries only this node's host ID and generation.
func (r *Runner) probeMessage() wire.Exchange {
	self := r.View().Self
	return wire.Exchange{From: self.Host.ID, Generation: self.Generation}
}

// exchange sends an exchange message and posts the answer or the failure to the reducer.
func (r *Runner) exchange(ctx context.Context, effect SendExchange) {
	answer, err := r.callWithRetry(ctx, effect.Address, effect.Message)
	if err != nil {
		r.Loop.Post(ctx, ExchangeFailed{Sent: effect})
		return
	}
	r.Loop.Post(ctx, ExchangeAnswered{Sent: effect, Message: answer})
}

// callWithRetry sends an exchange message. If the call fails, it retries once over a new connection, because an idle
// connection may have been lost without notice.
func (r *Runner) callWithRetry(ctx context.Context, address string, message wire.Exchange) (wire.Exchange, error) {
	answer, err := r.callExchange(ctx, address, message, exchangeTimeout)
	if err == nil {
		return answer, nil
	}
	r.Peers.CloseConn(address)
	return r.callExchange(ctx, address, message, retryTimeout)
}

func (r *Runner) callExchange(ctx context.Context, address string, message wire.Exchange, timeout time.Duration) (wire.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer wire.Exchange
	err := r.Peers.Call(ctx, address, wire.MethodExchange, message, &answer)
	return answer, err
}

func (r *Runner) requestProbe(ctx context.Context, effect RequestProbe) {
	callCtx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	var probed wire.ProbeResult
	err := r.Peers.Call(callCtx, effect.Proxy.ControlAddress, wire.MethodProbe, wire.Probe{Address: effect.Target.ControlAddress}, &probed)
	r.Loop.Post(ctx, ProbeAnswered{Target: effect.Target.ID, Answered: err == nil, Reached: probed.Reached})
}

func (r *Runner) readHead(ctx context.Context, effect ReadHead) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, _, err := config.ReadHead(callCtx, r.Platform)
	if err != nil {
		r.Logger.Warn().Err(err).Msg("reading the configuration head failed")
		r.Loop.Post(ctx, HeadReadFailed{})
		return
	}
	r.Loop.Post(ctx, HeadRead{Head: head, StartedAt: effect.StartedAt})
}

func (r *Runner) fetchSnapshot(ctx context.Context, effect FetchSnapshot) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	snapshot, err := r.snapshotFrom(callCtx, effect)
	if err != nil {
		r.Logger.Warn().Err(err).Uint64("generation", uint64(effect.Head.Generation)).Str("source", effect.Address).Msg("fetching the configuration failed")
		r.Loop.Post(ctx, SnapshotFetchFailed{Generation: effect.Head.Generation})
		return
	}
	r.Loop.Post(ctx, SnapshotFetched{Snapshot: snapshot})
}

// snapshotFrom fetches and decodes the snapshot from a node or the platform. It returns fault.NotFound if the node only
// has an older generation.
func (r *Runner) snapshotFrom(ctx context.Context, effect FetchSnapshot) (*config.Snapshot, error) {
	if effect.Address == "" {
		return config.Fetch(ctx, r.Platform, effect.Head)
	}
	var received wire.Snapshot
	if err := r.Peers.Call(ctx, effect.Address, wire.MethodSnapshot, nil, &received); err != nil {
		return nil, err
	}
	if received.Generation < effect.Head.Generation {
		return nil, fault.New(fault.NotFound, "the node does not have the requested generation", "ask another node or the platform")
	}
	return config.Decode(received.Generation, received.Digest, received.Raw)
}

func (r *Runner) listHosts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	hosts, err := r.Platform.ListHosts(callCtx)
	if err != nil {
		r.Logger.Warn().Err(err).Msg("reading the host list failed")
		return
	}
	r.Loop.Post(ctx, HostsListed{Hosts: hosts})
}
