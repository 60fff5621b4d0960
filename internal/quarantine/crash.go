package quarantine

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// crashSettleTime is how long after a broken answer the engine is checked: the other answers break off meanwhile, and its
	// listening socket is closed. It is checked a second time after as long again.
	crashSettleTime  = 30 * time.Millisecond
	crashDialTimeout = 300 * time.Millisecond
)

// BeginWindow is the time from the first byte of an answer in which a request may crash the engine by being begun.
const BeginWindow = 500 * time.Millisecond

// BrokenCall is a call whose answer broke off, or that got none.
type BrokenCall struct {
	Suspect
	WroteFor time.Duration // from the first byte of the answer until it broke off; 0 if there was none
}

// Detector tells a crash of an engine from a single broken answer: after a crash nothing listens at its address for some time.
// It is safe for concurrent use.
type Detector struct {
	address string
	onCrash func(suspects []Suspect, broken int)

	mu       sync.Mutex
	broken   []BrokenCall // not yet checked
	checking bool
}

// NewDetector returns a detector for the engine at the address. It calls onCrash with the requests that the engine had just begun
// to answer, or not yet, and the number of all broken answers.
func NewDetector(address string, onCrash func(suspects []Suspect, broken int)) *Detector {
	return &Detector{address: address, onCrash: onCrash}
}

// Record records a broken call and starts a check unless one is under way.
func (d *Detector) Record(call BrokenCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, call)
	if d.checking {
		return
	}
	d.checking = true
	go d.check() // ends after two dials at the latest
}

func (d *Detector) check() {
	crashed := false
	for attempt := 0; attempt < 2 && !crashed; attempt++ {
		time.Sleep(crashSettleTime)
		crashed = d.refusesConnections()
	}
	d.mu.Lock()
	broken := d.broken
	d.broken, d.checking = nil, false
	d.mu.Unlock()
	if !crashed {
		return
	}
	var suspects []Suspect
	for _, call := range broken {
		if call.WroteFor < BeginWindow {
			suspects = append(suspects, call.Suspect)
		}
	}
	d.onCrash(suspects, len(broken))
}

// refusesConnections reports whether nothing listens at the engine's address. A host that is silent proves nothing.
func (d *Detector) refusesConnections() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", d.address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
