package agent

import (
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// admit lets the attempt run, or says why it will never run here.
func (a *Agent) admit(dispatch wire.Dispatch) error {
	if a.draining.Load() {
		return fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint")
	}
	a.node.HearGeneration(dispatch.Generation, dispatch.Control)
	snapshot := a.node.View().Snapshot
	if snapshot == nil || !a.node.Fresh() {
		return fault.New(fault.NotReady, "the agent holds no configuration, or has not compared it since it started or stood still", "send it to another endpoint")
	}
	if err := a.permitted(snapshot, dispatch); err != nil {
		return err
	}
	return a.gate.Enter()
}

// permitted refuses what the configuration that this agent holds forbids.
func (a *Agent) permitted(snapshot *config.Snapshot, dispatch wire.Dispatch) error {
	service := snapshot.ServiceAt(a.settings.Host.ID)
	if service == nil || service.Name != dispatch.Service {
		return fault.New(fault.Forbidden, "this host does not serve "+string(dispatch.Service), "read the configuration again")
	}
	if snapshot.DomainOut(a.settings.Host.FailureDomain) {
		return fault.New(fault.Forbidden, "the failure domain is out of service", "send it to another failure domain")
	}
	if service.Kind == config.KindModel && dispatch.Version != a.loader.serving() {
		return fault.New(fault.Forbidden, "the host does not serve the version "+string(dispatch.Version), "send it to a host that serves it")
	}
	return nil
}
