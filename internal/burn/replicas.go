package burn

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// ReplicaTracker times how long each service's version takes from the moment that this process holds the configuration
// which asks for it until it is served by its replicas. It is safe for concurrent use.
type ReplicaTracker struct {
	mu           sync.Mutex
	generation   core.Generation
	versions     map[core.Service]core.VersionID // as the configuration last asked for
	pendingSince map[core.Service]time.Duration  // services whose version is not on its replicas yet
}

// CompletedRollout is a service whose version is on its replicas.
type CompletedRollout struct {
	Service core.Service
	Took    time.Duration
}

// NewReplicaTracker returns a tracker that has seen no configuration.
func NewReplicaTracker() *ReplicaTracker {
	return &ReplicaTracker{pendingSince: make(map[core.Service]time.Duration)}
}

// Observe takes the configuration and the records that this process holds, and returns the services that reached
// their replicas. What the first configuration asks for is not timed, since its start was not seen.
func (t *ReplicaTracker) Observe(now time.Duration, snapshot *config.Snapshot, records map[core.HostID]wire.Record) []CompletedRollout {
	t.mu.Lock()
	defer t.mu.Unlock()
	if snapshot.Generation != t.generation {
		t.applySnapshot(now, snapshot)
	}
	var completed []CompletedRollout
	for service, start := range t.pendingSince {
		if allReplicasServing(snapshot, service, records) {
			delete(t.pendingSince, service)
			completed = append(completed, CompletedRollout{Service: service, Took: now - start})
		}
	}
	return completed
}

func (t *ReplicaTracker) applySnapshot(now time.Duration, snapshot *config.Snapshot) {
	t.generation = snapshot.Generation
	versions := make(map[core.Service]core.VersionID)
	for _, rule := range snapshot.Set.Rules {
		versions[rule.Service] = snapshot.VersionOf(rule.Service)
	}
	for service := range t.pendingSince {
		if _, exists := versions[service]; !exists {
			delete(t.pendingSince, service)
		}
	}
	for service, version := range versions {
		if t.versions != nil && t.versions[service] != version {
			t.pendingSince[service] = now
		}
	}
	t.versions = versions
}

// Pending returns the age of the versions that have not reached their replicas.
func (t *ReplicaTracker) Pending(now time.Duration) map[core.Service]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[core.Service]time.Duration, len(t.pendingSince))
	for service, start := range t.pendingSince {
		ages[service] = now - start
	}
	return ages
}

// allReplicasServing tells whether each failure domain that is in service has the replicas that the service's rule asks for.
func allReplicasServing(snapshot *config.Snapshot, name core.Service, records map[core.HostID]wire.Record) bool {
	service := snapshot.Service(name)
	if service == nil {
		return false
	}
	for _, endpoint := range service.Endpoints {
		version := snapshot.VersionAt(endpoint.Host)
		if version == "" || snapshot.DomainOut(endpoint.FailureDomain) {
			continue
		}
		if !isServing(records[endpoint.Host], version) {
			return false
		}
	}
	return true
}

func isServing(record wire.Record, version core.VersionID) bool {
	for _, status := range record.Versions {
		if status.Version == version && status.Phase == wire.VersionServing {
			return true
		}
	}
	return false
}
