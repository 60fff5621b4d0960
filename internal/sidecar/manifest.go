package sidecar

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/weights"
)

const (
	// manifestReaders of a service's sidecars ask the origin for a manifest at once, the others ask these. An origin takes
	// some ten connections and has a narrow link, while a hundred sidecars may need a manifest at the same moment.
	originReaders = 6
	// manifestPatience is how long the others wait for these before they ask the origin as well, each time.
	peerManifestTimeout = 1500 * time.Millisecond
	// peerTimeout is for a peer's answer: many round trips between regions.
	peerTimeout = 300 * time.Millisecond
)

const methodManifest = "sidecar.manifest"

type manifestRequest struct {
	Model   core.Model
	Version int64
}

// methods are the control methods of a sidecar.
func (s *Sidecar) methods() map[string]rpc.Method {
	methods := s.distributor.Methods()
	methods[methodManifest] = rpc.Handle(s.handleManifest)
	return methods
}

// answerManifest gives a peer a manifest that came from the origin.
func (s *Sidecar) handleManifest(_ context.Context, request manifestRequest) (weights.Manifest, error) {
	s.manifestsMu.Lock()
	defer s.manifestsMu.Unlock()
	manifest, known := s.manifests[request]
	if !known {
		return weights.Manifest{}, fault.New(fault.NotFound, "this sidecar does not hold the manifest from the origin", "ask another one or the origin")
	}
	return manifest, nil
}

// keepManifest makes a manifest from the origin available to peers, or withdraws one that is in doubt.
func (s *Sidecar) shareManifest(key manifestRequest, manifest *weights.Manifest) {
	s.manifestsMu.Lock()
	defer s.manifestsMu.Unlock()
	if manifest == nil {
		delete(s.manifests, key)
		return
	}
	for other := range s.manifests {
		if other.Model == key.Model && other.Version+1 < key.Version {
			delete(s.manifests, other) // two versions are brought at most
		}
	}
	s.manifests[key] = *manifest
}

// readersOf returns the hosts that ask the origin for the version's manifest first, in an order that differs from version
// to version.
func selectOriginReaders(hosts []core.Host, version int64) []core.Host {
	rank := func(host core.Host) uint64 {
		return xxhash.Sum64String(string(host.ID) + "/" + strconv.FormatInt(version, 10))
	}
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b core.Host) int { return cmp.Compare(rank(a), rank(b)) })
	return order[:min(originReaders, len(order))]
}

// manifest fetches the goal's manifest: from the origin if this sidecar is one of those that ask it first, if the others
// had none for too long, or if one of theirs is in doubt.
func (u *updater) obtainManifest(ctx context.Context, view *catalog.View, target *targetVersion) (weights.Manifest, error) {
	s := u.sidecar
	key := manifestRequest{Model: u.model, Version: target.version}
	self := s.hostOf(s.settings.Address, s.settings.FailureDomain, s.settings.Region)
	readers := selectOriginReaders(append(slices.Clone(u.peers), self), target.version)
	isOriginReader := slices.ContainsFunc(readers, func(host core.Host) bool { return host.ID == self.ID })
	if !isOriginReader && target.manifestDroppedAt == 0 {
		manifest, err := u.manifestFromPeers(ctx, readers, key)
		now := bootclock.Now()
		if err == nil || now < max(target.requestedAt, target.originAskedAt)+peerManifestTimeout {
			return manifest, err
		}
		target.originAskedAt = now
	}
	manifest, err := s.origin.Manifest(ctx, view.Origin().Address, u.model, target.version)
	if err == nil {
		s.shareManifest(key, &manifest)
	}
	return manifest, err
}

// manifestFromPeers asks the readers, one after the other.
func (u *updater) manifestFromPeers(ctx context.Context, readers []core.Host, key manifestRequest) (weights.Manifest, error) {
	err := error(fault.New(fault.NotFound, "no other sidecar may hold the manifest", "ask the origin"))
	for _, reader := range readers {
		var manifest weights.Manifest
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err = u.sidecar.peerClient.Call(callCtx, reader.ControlAddress, methodManifest, key, &manifest)
		cancel()
		if err == nil {
			return manifest, nil
		}
	}
	return weights.Manifest{}, err
}
