package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Snapshot is a published configuration with its generation and lookup indexes. It is immutable.
type Snapshot struct {
	Generation core.Generation
	Digest     string
	Raw        []byte
	Set        Set

	services   map[core.Service]*Service
	domains    map[core.FailureDomain]*FailureDomain
	workspaces map[core.Workspace]*Workspace
	versions   map[string]*Version
	rules      map[core.Service]*Rule
}

// Encode returns the published form of the set, which is JSON, and its SHA-256 digest in lower-case hex.
func Encode(set Set) ([]byte, string, error) {
	raw, err := json.Marshal(set)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256(raw)
	return raw, hex.EncodeToString(sum[:]), nil
}

// Decode verifies a published configuration against its digest and returns its snapshot. The error is of kind Corrupted
// if the digest does not match, and of kind BadConfig if raw cannot be decoded.
func Decode(generation core.Generation, digest string, raw []byte) (*Snapshot, error) {
	sum := sha256.Sum256(raw)
	if hex.EncodeToString(sum[:]) != digest {
		return nil, fault.New(fault.Corrupted, "the configuration's bytes do not match their digest", "fetch the snapshot again")
	}
	snapshot := &Snapshot{Generation: generation, Digest: digest, Raw: raw}
	if err := json.Unmarshal(raw, &snapshot.Set); err != nil {
		return nil, fault.Wrap(err, fault.BadConfig, "the published configuration cannot be read", "run this version's lovagectl config apply again")
	}
	snapshot.Set = snapshot.Set.Rebase(generation)
	snapshot.index()
	return snapshot, nil
}

func (s *Snapshot) index() {
	s.services = indexBy(s.Set.Services, func(item *Service) core.Service { return item.Name })
	s.domains = indexBy(s.Set.FailureDomains, func(item *FailureDomain) core.FailureDomain { return item.Name })
	s.workspaces = indexBy(s.Set.Workspaces, func(item *Workspace) core.Workspace { return item.Name })
	s.versions = indexBy(s.Set.Versions, func(item *Version) string { return item.Name })
	s.rules = indexBy(s.Set.Rules, func(item *Rule) core.Service { return item.Service })
}

func indexBy[Key comparable, Item any](items []Item, key func(*Item) Key) map[Key]*Item {
	index := make(map[Key]*Item, len(items))
	for i := range items {
		index[key(&items[i])] = &items[i]
	}
	return index
}

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name core.Service) *Service { return s.services[name] }

// Workspace returns the workspace of that name, or nil.
func (s *Snapshot) Workspace(name core.Workspace) *Workspace { return s.workspaces[name] }

// IsDomainOut reports whether the failure domain is out of service. A failure domain that is not in the configuration
// counts as out of service.
func (s *Snapshot) IsDomainOut(name core.FailureDomain) bool {
	domain := s.domains[name]
	return domain == nil || domain.Out
}

// Region returns the region of the failure domain, or "" if the failure domain is unknown.
func (s *Snapshot) Region(name core.FailureDomain) core.Region {
	domain := s.domains[name]
	if domain == nil {
		return ""
	}
	return domain.Region
}

// VersionForService returns the version that the service's rule assigns, or "" if there is none.
func (s *Snapshot) VersionForService(service core.Service) core.VersionID {
	rule := s.rules[service]
	if rule == nil {
		return ""
	}
	version := s.versions[rule.Version]
	if version == nil {
		return ""
	}
	return version.Manifest
}

// ServiceForHost returns the service that the host serves, or nil.
func (s *Snapshot) ServiceForHost(host core.HostID) *Service {
	for i := range s.Set.Services {
		for _, endpoint := range s.Set.Services[i].Endpoints {
			if endpoint.Host == host {
				return &s.Set.Services[i]
			}
		}
	}
	return nil
}

// VersionForHost returns the version that the host must run, or "".
func (s *Snapshot) VersionForHost(host core.HostID) core.VersionID {
	service := s.ServiceForHost(host)
	if service == nil {
		return ""
	}
	for _, endpoint := range s.AssignedEndpoints(service.Name) {
		if endpoint.Host == host {
			return s.VersionForService(service.Name)
		}
	}
	return ""
}

// AssignedEndpoints returns the endpoints that must run the version of the service's rule. In each failure domain these
// are the first endpoints, up to the rule's number of replicas.
func (s *Snapshot) AssignedEndpoints(name core.Service) []Endpoint {
	service, rule := s.services[name], s.rules[name]
	if service == nil || rule == nil {
		return nil
	}
	var assigned []Endpoint
	counts := make(map[core.FailureDomain]int)
	for _, endpoint := range service.Endpoints {
		if counts[endpoint.FailureDomain] >= rule.Replicas[endpoint.FailureDomain] {
			continue
		}
		counts[endpoint.FailureDomain]++
		assigned = append(assigned, endpoint)
	}
	return assigned
}

// Allows reports whether the workspace may call the service.
func (w *Workspace) Allows(service core.Service) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, allowed := range w.Services {
		if allowed == service {
			return true
		}
	}
	return false
}
