package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodRoutable asks an entry for the endpoints that it currently routes to.
const MethodRoutable = "entry.routable"

// Routable is the result of MethodRoutable: the hosts that the entry can pick, sorted by name.
type Routable struct {
	Hosts []core.HostID `json:"hosts"`
}
