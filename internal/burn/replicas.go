package burn

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// ReplicaTracker measures the time to replicas of each service: from the moment this process receives the configuration
// with a new version until all replicas serve that version. It is safe for concurrent use.
type ReplicaTracker struct {
	mu           sync.Mutex
	generation   core.Generation
	versions     map[core.Service]core.VersionID // configured versions; nil before the first configuration
	pendingSince map[core.Service]time.Duration  // receipt of a version that its replicas do not all serve yet
}

// CompletedRollout is a service whose configured version all replicas now serve, and the time that it took.
type CompletedRollout struct {
	Service  core.Service
	Duration time.Duration
}

// NewReplicaTracker returns a tracker without a configuration.
func NewReplicaTracker() *ReplicaTracker {
	return &ReplicaTracker{pendingSince: make(map[core.Service]time.Duration)}
}

// Observe processes the current configuration and host records and returns the rollouts that have completed since the
// previous call. Versions in the first configuration are not timed, because the start of their rollout is unknown.
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
			completed = append(completed, CompletedRollout{Service: service, Duration: now - start})
		}
	}
	return completed
}

func (t *ReplicaTracker) applySnapshot(now time.Duration, snapshot *config.Snapshot) {
	t.generation = snapshot.Generation
	versions := make(map[core.Service]core.VersionID)
	for _, rule := range snapshot.Set.Rules {
		versions[rule.Service] = snapshot.VersionForService(rule.Service)
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

// Pending returns, for each service with a rollout in progress, the time since this process received its version.
func (t *ReplicaTracker) Pending(now time.Duration) map[core.Service]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[core.Service]time.Duration, len(t.pendingSince))
	for service, start := range t.pendingSince {
		ages[service] = now - start
	}
	return ages
}

// allReplicasServing reports whether every endpoint of the service that is assigned a version serves that version.
// Endpoints in failure domains that are out of service are not required.
func allReplicasServing(snapshot *config.Snapshot, name core.Service, records map[core.HostID]wire.Record) bool {
	service := snapshot.Service(name)
	if service == nil {
		return false
	}
	for _, endpoint := range service.Endpoints {
		version := snapshot.VersionForHost(endpoint.Host)
		if version == "" || snapshot.IsDomainOut(endpoint.FailureDomain) {
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
