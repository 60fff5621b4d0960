package operate

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Confirmation lists the hosts that hold a generation and those that do not.
type Confirmation struct {
	Generation core.Generation `json:"generation"`
	Confirmed  []core.HostID   `json:"confirmed"`
	Missing    []Unconfirmed   `json:"missing"`
	Seconds    float64         `json:"seconds"`
}

// Unconfirmed is a host that has not confirmed a generation, with the reason.
type Unconfirmed struct {
	Host          core.HostID        `json:"host"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Reason        string             `json:"reason"`
}

// WaitConfirmed returns once every host in the host list holds the generation or a newer one. Generation 0 means the
// current one. If the context ends first, the error is of kind DeadlinePassed and names the missing hosts.
func (o *Operator) WaitConfirmed(ctx context.Context, generation core.Generation, asJSON bool) error {
	start := time.Now()
	var latest Confirmation
	var err error
	for {
		var current Confirmation
		current, err = o.collectConfirmations(ctx, generation)
		if isCutOff := ctx.Err() != nil && latest.Generation > 0; err == nil && !isCutOff {
			latest = current
			latest.Seconds = time.Since(start).Seconds()
		}
		if err == nil && len(current.Missing) == 0 {
			return o.reportConfirmed(latest, asJSON)
		}
		select {
		case <-ctx.Done():
			return o.reportMissing(latest, err, asJSON)
		case <-time.After(pollInterval):
		}
	}
}

func (o *Operator) collectConfirmations(ctx context.Context, generation core.Generation) (Confirmation, error) {
	if generation == 0 {
		head, _, err := config.ReadHead(ctx, o.Platform)
		if err != nil {
			return Confirmation{}, err
		}
		generation = head.Generation
	}
	nodes, err := o.Gather(ctx)
	if err != nil {
		return Confirmation{}, err
	}
	confirmation := Confirmation{Generation: generation, Confirmed: []core.HostID{}, Missing: []Unconfirmed{}}
	for _, node := range nodes {
		if node.Err == nil && node.Record.Generation >= generation {
			confirmation.Confirmed = append(confirmation.Confirmed, node.Host.ID)
			continue
		}
		missing := Unconfirmed{Host: node.Host.ID, FailureDomain: node.Host.FailureDomain, Reason: "gave no answer"}
		if node.Err == nil {
			missing.Reason = fmt.Sprintf("holds generation %d", node.Record.Generation)
		}
		confirmation.Missing = append(confirmation.Missing, missing)
	}
	return confirmation, nil
}

func (o *Operator) reportConfirmed(confirmation Confirmation, asJSON bool) error {
	if asJSON {
		return o.printJSON(confirmation)
	}
	return o.printf("generation %d is confirmed by all %d hosts after %.2f s\n", confirmation.Generation, len(confirmation.Confirmed), confirmation.Seconds)
}

func (o *Operator) reportMissing(confirmation Confirmation, cause error, asJSON bool) error {
	if len(confirmation.Missing) == 0 {
		if cause == nil {
			cause = fault.New(fault.PlatformUnavailable, "the platform gave no answer", "try again")
		}
		return fault.Wrap(cause, fault.DeadlinePassed, "it is not known which hosts confirmed", "wait again with a longer --timeout")
	}
	if asJSON {
		if err := o.printJSON(confirmation); err != nil {
			return err
		}
	}
	parts := make([]string, 0, len(confirmation.Missing))
	for _, missing := range confirmation.Missing {
		parts = append(parts, fmt.Sprintf("%s in %s %s", missing.Host, missing.FailureDomain, missing.Reason))
	}
	total := len(confirmation.Missing) + len(confirmation.Confirmed)
	message := fmt.Sprintf("generation %d is confirmed by %d of %d hosts, not by: %s", confirmation.Generation, len(confirmation.Confirmed), total, strings.Join(parts, ", "))
	return fault.New(fault.DeadlinePassed, message, "read these hosts' logs, or have the platform drop those that are gone, and wait again")
}
