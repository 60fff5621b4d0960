package telemetry

import (
	"expvar"
	"sync/atomic"
)

var (
	refusedCallers = expvar.NewMap("lovage_callers_refused") // connections that were refused or closed before their request had arrived, by reason
	heldFunc       atomic.Pointer[func() (connections int, bytes int64)]
)

// Held is what the clients of a process hold.
type Held struct {
	Connections int   `json:"connections"`
	Bytes       int64 `json:"bytes"`
}

func init() { expvar.Publish("lovage_callers_hold", expvar.Func(currentHeld)) }

// PublishHeld sets the function that tells what clients hold.
func PublishHeld(held func() (connections int, bytes int64)) { heldFunc.Store(&held) }

func currentHeld() any {
	read := heldFunc.Load()
	if read == nil {
		return Held{}
	}
	connections, bytes := (*read)()
	return Held{Connections: connections, Bytes: bytes}
}

// CallerRefused counts a connection that was refused or closed before its request had arrived.
func CallerRefused(reason string) { refusedCallers.Add(reason, 1) }
