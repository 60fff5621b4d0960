package sidecar

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// crashSettleTime is how long after a broken answer the engine is checked: the other answers break off meanwhile, and its
	// listening socket is closed. It is checked a second time after as long again.
	crashSettleTime  = 30 * time.Millisecond
	crashDialTimeout = 300 * time.Millisecond
	// beginWindow is the time from the first byte of an answer in which a request may crash the engine by being begun.
	beginWindow = 500 * time.Millisecond
)

// brokenCall is a call whose answer broke off, or that got none.
type brokenCall struct {
	request  core.RequestID
	parts    []core.PromptPart
	wroteFor time.Duration // from the first byte of the answer until it broke off; 0 if there was none
}

// justBegun reports whether the engine had not yet begun to answer the call or had just begun.
func (b brokenCall) justBegun() bool { return b.wroteFor < beginWindow }

// crashDetector tells a crash of the engine from a single broken answer: after a crash nothing listens at its address for some
// time. It is safe for concurrent use.
type crashDetector struct {
	address string
	onCrash func([]brokenCall)

	mu       sync.Mutex
	broken   []brokenCall // not yet checked
	checking bool
}

// record records a broken call and starts a check unless one is under way.
func (d *crashDetector) record(call brokenCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, call)
	if d.checking {
		return
	}
	d.checking = true
	go d.check() // ends after two dials at the latest
}

func (d *crashDetector) check() {
	crashed := false
	for attempt := 0; attempt < 2 && !crashed; attempt++ {
		time.Sleep(crashSettleTime)
		crashed = d.refusesConnections()
	}
	d.mu.Lock()
	broken := d.broken
	d.broken, d.checking = nil, false
	d.mu.Unlock()
	if crashed {
		d.onCrash(broken)
	}
}

// refusesConnections reports whether nothing listens at the engine's address. A host that is silent proves nothing.
func (d *crashDetector) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", d.address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// engineCrashed logs a crash of the engine and the requests that may have caused it.
func (s *Sidecar) engineCrashed(broken []brokenCall) {
	var requests, parts []string
	for _, b := range broken {
		if !b.justBegun() {
			continue
		}
		requests = append(requests, string(b.request))
		for _, part := range b.parts {
			parts = append(parts, string(part))
		}
	}
	s.logger.Warn().Int("broken_off", len(broken)).Strs("just_begun", requests).Strs("prompt_parts", parts).Msg("engine crashed")
}
