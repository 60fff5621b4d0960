package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	tickInterval    = 100 * time.Millisecond
	statusTimeout   = 400 * time.Millisecond
	platformTimeout = 3 * time.Second
)

// Platform is what a node needs of the platform.
type Platform interface {
	platform.Tables
	platform.Objects
	platform.Hosts
}

// Runner performs the effects of a node's reducer and holds its view. OnView, if set, is called on the
// control thread after each new view and must not wait.
type Runner struct {
	Loop     *reduce.Loop
	Platform Platform
	Peers    *rpc.Client
	Logger   *log.Logger
	OnView   func(*View)

	view atomic.Pointer[View]
}

// NewRunner returns the runner of a process that starts as self and follows the nodes of the role.
func NewRunner(self wire.Record, watch core.Role, services Platform, peers *rpc.Client, logger *log.Logger) *Runner {
	runner := &Runner{Platform: services, Peers: peers, Logger: logger}
	runner.view.Store(&View{Self: self})
	runner.Loop = reduce.NewLoop(NewState(self, watch).Step, runner.apply, runner.perform)
	return runner
}

// View returns the latest view. It is never nil.
func (r *Runner) View() *View { return r.view.Load() }

// Run steps the reducer until the context ends.
func (r *Runner) Run(ctx context.Context) {
	go r.tick(ctx)
	r.Loop.Run(ctx)
}

// Methods returns the control methods that every node answers.
func (r *Runner) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		wire.MethodStatus: func(context.Context, json.RawMessage) (any, error) {
			return r.View().Self, nil
		},
		wire.MethodSnapshot: func(context.Context, json.RawMessage) (any, error) {
			snapshot := r.View().Snapshot
			if snapshot == nil {
				return wire.Snapshot{}, nil
			}
			return wire.Snapshot{Generation: snapshot.Generation, Digest: snapshot.Digest, Raw: snapshot.Raw}, nil
		},
	}
}

func (r *Runner) tick(ctx context.Context) {
	start := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.Loop.Post(ctx, Tick{Now: time.Since(start)})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) perform(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case ReadHead:
		r.readHead(ctx)
	case FetchSnapshot:
		r.fetchSnapshot(ctx, effect.Head)
	case ListHosts:
		r.listHosts(ctx)
	case ReadStatus:
		r.readStatus(ctx, effect.Host)
	}
}

func (r *Runner) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, _, err := config.ReadHead(ctx, r.Platform)
	if err != nil {
		r.Logger.Warn().Err(err).Msg("configuration head not read")
		return
	}
	r.Loop.Post(ctx, HeadRead{Head: head})
}

func (r *Runner) fetchSnapshot(ctx context.Context, head config.Head) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	snapshot, err := config.Fetch(ctx, r.Platform, head)
	if err != nil {
		r.Logger.Warn().Err(err).Uint64("generation", uint64(head.Generation)).Msg("configuration not fetched")
		return
	}
	r.Loop.Post(ctx, SnapshotFetched{Snapshot: snapshot})
}

func (r *Runner) listHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	hosts, err := r.Platform.ListHosts(ctx)
	if err != nil {
		r.Logger.Warn().Err(err).Msg("host list not read")
		return
	}
	r.Loop.Post(ctx, HostsListed{Hosts: hosts})
}

func (r *Runner) readStatus(ctx context.Context, host core.Host) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var record wire.Record
	if err := r.Peers.Call(ctx, host.ControlAddress, wire.MethodStatus, nil, &record); err != nil {
		r.Loop.Post(context.WithoutCancel(ctx), StatusFailed{Host: host.ID})
		return
	}
	r.Loop.Post(ctx, StatusRead{Record: record})
}

// apply puts a view in place on the control thread, so that views follow each other in order.
func (r *Runner) apply(effect reduce.Effect) bool {
	publish, ok := effect.(PublishView)
	if !ok {
		return false
	}
	r.view.Store(publish.View)
	if r.OnView != nil {
		r.OnView(publish.View)
	}
	return true
}
