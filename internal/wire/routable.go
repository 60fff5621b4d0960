package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodRoutable asks an entry which endpoints it would send work to now.
const MethodRoutable = "entry.routable"

// Routable is the answer of MethodRoutable: the hosts that may be picked, in order of name.
type Routable struct {
	Hosts []core.HostID `json:"hosts"`
}
