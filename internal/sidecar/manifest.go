package sidecar

import (
	"cmp"
	"context"
	"fmt"
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
	"github.com/lovageglade/lovageglade/internal/weights/plan"
)

const (
	// originReaders is how many of a service's sidecars ask the origin for a manifest; the others ask these. The origin
	// accepts about ten connections over a slow link, while a hundred sidecars may need a manifest at the same time.
	originReaders = 6
	// peerManifestTimeout is how long the other sidecars ask their peers before they ask the origin. It starts anew after
	// each request to the origin.
	peerManifestTimeout = 1500 * time.Millisecond
	// peerTimeout bounds a call to a peer. It is many round trips between regions.
	peerTimeout = 300 * time.Millisecond
)

const methodManifest = "sidecar.manifest"

type manifestRequest struct {
	Model   core.Model
	Version int64
}

// methods returns the control methods of the sidecar.
func (s *Sidecar) methods() map[string]rpc.Method {
	methods := s.distributor.Methods()
	methods[methodManifest] = rpc.Handle(s.handleManifest)
	return methods
}

// handleManifest returns a manifest that this sidecar fetched from the origin, or a NotFound error.
func (s *Sidecar) handleManifest(_ context.Context, request manifestRequest) (weights.Manifest, error) {
	s.manifestsMu.Lock()
	defer s.manifestsMu.Unlock()
	manifest, known := s.manifests[request]
	if !known {
		return weights.Manifest{}, fault.New(fault.NotFound, "this sidecar has no manifest from the origin", "ask another sidecar or the origin")
	}
	return manifest, nil
}

// shareManifest makes a manifest from the origin available to peers. A nil manifest withdraws one that may be corrupted.
func (s *Sidecar) shareManifest(key manifestRequest, manifest *weights.Manifest) {
	s.manifestsMu.Lock()
	defer s.manifestsMu.Unlock()
	if manifest == nil {
		delete(s.manifests, key)
		return
	}
	for other := range s.manifests {
		if other.Model == key.Model && other.Version+1 < key.Version {
			delete(s.manifests, other) // at most two versions are fetched at a time
		}
	}
	s.manifests[key] = *manifest
}

// selectOriginReaders returns the hosts that ask the origin for the version's manifest, chosen by rendezvous hashing. The
// choice and its order depend only on the set of hosts and the version.
func selectOriginReaders(hosts []core.Host, version int64) []core.Host {
	rank := func(host core.Host) uint64 {
		return xxhash.Sum64String(string(host.ID) + "/" + strconv.FormatInt(version, 10))
	}
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b core.Host) int { return cmp.Compare(rank(a), rank(b)) })
	return order[:min(originReaders, len(order))]
}

// originReaders returns the other hosts that ask the origin for the version's manifest, and whether this one does too.
func (u *updater) originReaders(version int64) (others []core.Host, isReader bool) {
	s := u.sidecar
	self := s.hostOf(s.settings.Address, s.settings.FailureDomain, s.settings.Region)
	readers := selectOriginReaders(append(slices.Clone(u.peers), self), version)
	others = slices.DeleteFunc(slices.Clone(readers), func(host core.Host) bool { return host.ID == self.ID })
	return others, len(others) < len(readers)
}

// obtainManifest fetches the target's manifest from peers, other than a suspected one. It asks the origin instead if this sidecar is one
// of the origin readers or an earlier manifest was dropped, and also if the peers had none for peerManifestTimeout.
func (u *updater) obtainManifest(ctx context.Context, view *catalog.View, target *targetVersion) (weights.Manifest, error) {
	s := u.sidecar
	key := manifestRequest{Model: u.model, Version: target.version}
	readers, isReader := u.originReaders(target.version)
	if !isReader && target.manifestDroppedAt == 0 {
		manifest, err := u.manifestFromPeers(ctx, view, readers, target)
		now := bootclock.Now()
		if err == nil || now < max(target.learnedAt, target.originAskedAt, target.suspectedAt)+peerManifestTimeout {
			return manifest, err
		}
		target.originAskedAt = now
	}
	manifest, err := s.origin.Manifest(ctx, view.Origin().Address, u.model, target.version)
	if err == nil {
		err = u.checkStatement(view, target, manifest)
	}
	if err == nil {
		s.shareManifest(key, &manifest)
	}
	return manifest, err
}

// checkStatement returns an error if the number or the size of the chunks is not what the configuration states, as a manifest may be
// corrupted on its way from the origin. One that the origin sends twice in a row is right, and the configuration is out of date.
func (u *updater) checkStatement(view *catalog.View, target *targetVersion, manifest weights.Manifest) error {
	if u.agreesWithConfiguration(view, manifest) {
		return nil
	}
	_, id, err := manifest.Encode()
	if err != nil || target.misstatedID == id {
		return err
	}
	target.misstatedID = id
	return fault.New(fault.Corrupted, fmt.Sprintf("the manifest of version %d states %d chunks of %d bytes, and the configuration does not", target.version, len(manifest.Chunks), manifest.ChunkBytes), "it is fetched again; if this stays, correct the model's chunks in the configuration")
}

// agreesWithConfiguration reports whether the manifest has the number and the size of chunks that the configuration states.
func (u *updater) agreesWithConfiguration(view *catalog.View, manifest weights.Manifest) bool {
	service := view.Service(u.sidecar.settings.Service)
	if service == nil || service.Engine == nil {
		return true
	}
	stated := service.Engine
	return (stated.Chunks == 0 || len(manifest.Chunks) == stated.Chunks) && (stated.ChunkBytes == 0 || manifest.ChunkBytes == stated.ChunkBytes)
}

// manifestFromPeers asks the origin readers one after the other, and returns the first manifest that is neither the suspected one nor
// contradicts the configuration, or the last error.
func (u *updater) manifestFromPeers(ctx context.Context, view *catalog.View, readers []core.Host, target *targetVersion) (weights.Manifest, error) {
	err := error(fault.New(fault.NotFound, "there is no other sidecar to ask for the manifest", "ask the origin"))
	for _, reader := range readers {
		var manifest weights.Manifest
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err = u.sidecar.peerClient.Call(callCtx, reader.ControlAddress, methodManifest, manifestRequest{Model: u.model, Version: target.version}, &manifest)
		cancel()
		if err != nil {
			continue
		}
		if _, id, encodeErr := manifest.Encode(); encodeErr == nil && id != target.suspectedID && u.agreesWithConfiguration(view, manifest) {
			return manifest, nil
		}
		err = fault.New(fault.Corrupted, "the peer's manifest may be corrupted", "ask another sidecar or the origin")
	}
	return weights.Manifest{}, err
}

// fetchLoadedManifest fetches the manifest of the version that the engine has loaded, if it is missing. Its peers hold it, most likely, and
// answer sooner than the origin, whose link carries the chunks of the next version. Requests wait for it.
func (u *updater) fetchLoadedManifest(ctx context.Context, view *catalog.View, target *targetVersion) error {
	if target.manifest != nil || bootclock.Now() < target.manifestRetryAt {
		return nil
	}
	u.peers, _ = u.sidecar.peerHosts(view) // before the first choice of origin readers
	readers, isReader := u.originReaders(target.version)
	if !isReader || target.manifestDroppedAt > 0 {
		return u.fetchManifest(ctx, view, target) // asks peers first, too, unless a manifest was dropped
	}
	callCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	manifest, err := u.manifestFromPeers(callCtx, view, readers, target)
	if err != nil {
		return u.fetchManifest(ctx, view, target)
	}
	return target.setManifest(manifest)
}

func (t *targetVersion) setManifest(manifest weights.Manifest) error {
	_, id, err := manifest.Encode()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the manifest cannot be encoded", "report this")
	}
	t.manifest, t.manifestID, t.suspectedID = &manifest, id, ""
	return nil
}

// isConfirmed reports whether two manifests that were fetched one after the other agree that the load does not match. Otherwise the
// manifest may have been corrupted on its way, and it is dropped: the next one comes from the origin, since peers share one copy.
func (u *updater) isConfirmed(target *targetVersion) bool {
	if target.refutedBy == target.manifestID {
		return true
	}
	target.refutedBy = target.manifestID
	u.dropManifest(target)
	target.manifestRetryAt = 0
	return false
}

// dropManifest drops a manifest that may be corrupted, also from what is shared with peers.
func (u *updater) dropManifest(target *targetVersion) {
	target.manifestDroppedAt = bootclock.Now()
	u.sidecar.shareManifest(manifestRequest{Model: u.model, Version: target.version}, nil)
	target.manifest, target.suspectedID = nil, ""
	u.submittedCount = 0
}

// isManifestDoubtful reports whether the manifest is refuted, or may be corrupted as no chunk arrives. It is doubted once in
// manifestRefetchDelay, but for the first time at once if it is refuted.
func (t *targetVersion) isManifestDoubtful(progress plan.Progress, now time.Duration) bool {
	doubtedAt := max(t.suspectedAt, t.manifestDroppedAt)
	if progress.ManifestRefuted && (doubtedAt == 0 || now-doubtedAt > manifestRefetchDelay) {
		return true
	}
	return progress.ManifestSuspect && now-max(t.lastChunkAt, doubtedAt) > manifestRefetchDelay
}

// suspectManifest has the manifest fetched again. It stays in use until another one arrives, since most of its digests are right, and is no
// longer shared with peers.
func (u *updater) suspectManifest(target *targetVersion) {
	target.suspectedAt, target.suspectedID, target.manifestRetryAt = bootclock.Now(), target.manifestID, 0
	u.sidecar.shareManifest(manifestRequest{Model: u.model, Version: target.version}, nil)
}
