package ingress

import "github.com/lovageglade/lovageglade/internal/settings"

// Shares are the parts of a process's resources that its clients may use. The rest is for the process itself.
type Shares struct {
	Memory      float64 // for what the process holds of requests and answers
	Sockets     float64 // of the memory, for what the system has received of all connections and the process has not read
	Descriptors float64 // for connections
}

// CallerShares are those of a process whose clients send requests that each need further connections to serve.
var CallerShares = Shares{Memory: 1.0 / 4, Sockets: 1.0 / 4, Descriptors: 1.0 / 3}

// RelayShares are those of a process that serves all requests by few connections.
var RelayShares = Shares{Memory: 1.0 / 4, Sockets: 1.0 / 4, Descriptors: 1.0 / 2}

// socketBytes keeps up with a link of 80 Mbit/s over round trips of 6 ms.
const socketBytes = 64 << 10

// Of returns options with the shares of the resources.
func (s Shares) Of(resources settings.Resources) Options {
	memory := float64(resources.MemoryBytes())
	return Options{
		Memory:      int64(s.Memory * memory),
		Connections: int(min(s.Descriptors*float64(resources.Descriptors()), s.Sockets*memory/socketBytes)),
		SocketBytes: socketBytes,
	}
}
