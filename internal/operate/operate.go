// Package operate implements the commands of lovagectl.
package operate

import (
	"io"
	"time"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
)

const pollInterval = 200 * time.Millisecond

// Operator runs lovagectl commands against the platform and the hosts.
type Operator struct {
	Addresses settings.Platform
	Platform  *platform.Services
	Peers     *rpc.Client
	Out       io.Writer
	By        string   // who publishes, for the history; "" if unknown
	Hosts     []string // control addresses of hosts to query while the platform is unavailable
}

// New returns an operator for the platform at the addresses. It prints to out.
func New(addresses settings.Platform, out io.Writer) *Operator {
	return &Operator{
		Addresses: addresses,
		Out:       out,
		Peers:     rpc.NewClient(),
		Platform:  platform.NewServices(addresses),
	}
}
