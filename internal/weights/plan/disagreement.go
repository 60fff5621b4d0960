package plan

import (
	"github.com/lovageglade/lovageglade/internal/weights"
)

// checkManifest records whether the failed fetch suggests or shows that this host's manifest is wrong. A single transfer may have been
// corrupted on its way, and a peer that learns late of a version does not want its chunks at first.
func (p *Planner) checkManifest(f *fetch, result Result) {
	v := f.version
	suspect := result == Corrupt || result == OtherDigest || result == NotWanted && p.now-v.startedAt > notWantedGrace
	refuted := result == OtherDigest
	if result == Corrupt && f.source == nil {
		refuted = v.corruptAtOrigin.Has(f.chunk)
		v.corruptAtOrigin.Set(f.chunk)
		p.delayCorruptRetry(v, refuted)
	}
	if suspect && !v.manifestSuspect || refuted && !v.refuted {
		v.manifestSuspect = v.manifestSuspect || suspect
		v.refuted = v.refuted || refuted
		p.reportProgress(v)
	}
}

// delayCorruptRetry delays the next fetch of a chunk that the origin has sent corrupted. The delay doubles with each retry that fails. Chunks
// whose first fetch fails do not count: while the origin corrupts all it sends, their number says nothing of how long that will last.
func (p *Planner) delayCorruptRetry(v *version, isRetry bool) {
	if p.now < v.corruptRetryAt {
		return
	}
	if isRetry {
		v.corruptRetries++
	}
	v.corruptRetryAt = p.now + min(p.limits.MaxOriginBackoff, p.limits.OriginBackoff<<min(v.corruptRetries, maxBackoffDoublings))
}

// resumeCorruptRetries lets all chunks that the origin has sent corrupted be fetched again at once, as one of them has arrived intact.
func (v *version) resumeCorruptRetries(chunk int) {
	if !v.corruptAtOrigin.Has(chunk) {
		return
	}
	v.corruptAtOrigin.Clear(chunk)
	v.corruptRetries, v.corruptRetryAt = 0, 0
}

// replaceManifest returns the version with another manifest. What peers announced counts by index and stays; a chunk whose
// digest has changed is asked for again where the former one was unknown.
func (p *Planner) replaceManifest(v *version, wanted *Version) *version {
	if len(v.manifest.Chunks) != len(wanted.Manifest.Chunks) {
		return p.newVersion(wanted)
	}
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if f.version == v && v.manifest.Chunks[f.chunk] != wanted.Manifest.Chunks[f.chunk] {
			p.emit(CancelFetch{FetchID: f.id})
			p.removeFetch(f)
		}
	}
	changed := NewBitmap(len(v.manifest.Chunks))
	for i, digest := range wanted.Manifest.Chunks {
		if v.manifest.Chunks[i] != digest {
			changed.Set(i)
			v.have.Clear(i)
		}
		if wanted.Have != nil && wanted.Have.Has(i) {
			v.have.Set(i)
		}
	}
	v.manifest, v.originInterval = wanted.Manifest, wanted.OriginInterval
	v.chunkIndex = make(map[weights.Digest]int, len(wanted.Manifest.Chunks))
	for i, digest := range wanted.Manifest.Chunks {
		v.chunkIndex[digest] = i
	}
	v.heldCount = v.have.Count()
	v.manifestSuspect, v.refuted = false, false
	v.corruptAtOrigin, v.corruptRetries = NewBitmap(len(v.manifest.Chunks)), 0
	for _, h := range v.holdingList {
		for w := range changed {
			h.unwanted[w] &^= changed[w]
		}
	}
	return v
}

// isFetcherWithoutVersion reports whether the chunk was requested from its origin fetcher, which does not want the version although all
// hosts have learned of it. Its manifest may list other chunks throughout.
func (p *Planner) isFetcherWithoutVersion(f *fetch) bool {
	return p.limits.RequestUnannounced && !f.announced && p.now-f.version.startedAt > notWantedGrace
}

// recordUnwanted records that the peer does not want the chunk by this host's digest. One of the two manifests may be wrong, and this
// host does not wait for the peer to get the chunk.
func (p *Planner) recordUnwanted(f *fetch) {
	p.withdrawChunk(f).unwanted.Set(f.chunk)
	f.version.hasRefusals = true
}
