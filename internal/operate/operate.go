// Package operate holds what lovagectl does for operators.
package operate

import (
	"io"
	"time"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
)

const pollInterval = 200 * time.Millisecond

// Operator carries out operators' commands.
type Operator struct {
	Addresses settings.Platform
	Platform  *platform.Services
	Peers     *rpc.Client
	Out       io.Writer
	By        string   // who publishes, for the history; "" for nobody named
	Hosts     []string // control addresses of hosts to ask while the platform is away
}

// New returns an operator for the platform at the addresses.
func New(addresses settings.Platform, out io.Writer) *Operator {
	return &Operator{
		Addresses: addresses,
		Out:       out,
		Peers:     rpc.NewClient(),
		Platform:  platform.NewServices(addresses),
	}
}
