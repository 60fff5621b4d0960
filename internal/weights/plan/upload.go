package plan

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// upload is an active upload.
type upload struct{ digest weights.Digest }

// uploadRequested decides on a peer's request for a chunk. A request for a missing chunk, or one that finds all uploads in
// use, may wait up to MaxUploadWait.
func (p *Planner) uploadRequested(event UploadRequested) {
	p.controlBudget.consume(p.now, requestOverheadBytes)
	p.answerUpload(waitingUpload{id: event.UploadID, digest: event.Digest, version: event.Version, forRegion: event.ForRegion, deadline: p.now + p.limits.MaxUploadWait})
}

// answerUpload decides on the request, or queues it until its deadline.
func (p *Planner) answerUpload(request waitingUpload) {
	result := p.admitUpload(request)
	if (result == Missing || result == Busy) && p.now < request.deadline {
		p.waitingUploads = append(p.waitingUploads, request)
		return
	}
	p.emit(AnswerUpload{UploadID: request.id, Result: result})
}

// waitingUpload is a request that waits until this host has the chunk and an upload may start.
type waitingUpload struct {
	id        UploadID
	digest    weights.Digest
	version   core.VersionID
	forRegion bool
	deadline  time.Duration
}

// answerWaiting decides again on the requests that wait. Those on behalf of other regions come first, since a whole region
// waits for each of them.
func (p *Planner) answerWaiting() {
	previous := p.waitingUploads
	p.waitingUploads = nil
	for _, forRegion := range []bool{true, false} {
		for _, request := range previous {
			if request.forRegion == forRegion {
				p.answerUpload(request)
			}
		}
	}
}

// expireWaiting answers the requests that have passed their deadline or whose chunk is no longer wanted.
func (p *Planner) expireWaiting() {
	previous := p.waitingUploads
	p.waitingUploads = nil
	for _, request := range previous {
		if request.deadline <= p.now || !p.wants(request.digest) {
			request.deadline = p.now
			p.answerUpload(request)
			continue
		}
		p.waitingUploads = append(p.waitingUploads, request)
	}
}

func (p *Planner) removeWaiting(id UploadID) {
	p.waitingUploads = slices.DeleteFunc(p.waitingUploads, func(request waitingUpload) bool { return request.id == id })
}

// admitUpload returns Granted and counts the upload, or returns the reason for refusing it.
// Requests on behalf of another region do not wait for the others.
func (p *Planner) admitUpload(request waitingUpload) Result {
	if !p.wants(request.digest) {
		if p.findVersion(request.version) != nil {
			return OtherDigest
		}
		return NotWanted
	}
	v, index := p.findHeld(request.digest)
	if v == nil {
		return Missing
	}
	if len(p.uploads) >= p.limits.MaxUploads && !request.forRegion {
		return Busy
	}
	if p.now >= v.uploadWindowEnd {
		v.uploadWindowEnd = p.now + p.limits.UploadWindow
		v.uploadedBytes = 0
		clear(v.uploadCounts)
	}
	if int(v.uploadCounts[index]) >= p.limits.MaxUploadsPerChunk {
		return ChunkLimitReached
	}
	_, length := v.manifest.Range(index)
	if float64(v.uploadedBytes+length) > p.limits.MaxUploadCopies*float64(v.manifest.SizeBytes) {
		return VersionLimitReached
	}
	v.uploadedBytes += length
	v.uploadCounts[index]++
	p.uploads[request.id] = upload{digest: request.digest}
	return Granted
}

// wants reports whether a wanted version contains the chunk.
func (p *Planner) wants(digest weights.Digest) bool {
	for _, v := range p.versions {
		if _, ok := v.chunkIndex[digest]; ok {
			return true
		}
	}
	return false
}

// findHeld returns the first wanted version that holds the chunk and the chunk's index in it. The version is nil if there
// is none.
func (p *Planner) findHeld(digest weights.Digest) (*version, int) {
	for _, v := range p.versions {
		if i, ok := v.chunkIndex[digest]; ok && v.have.Has(i) {
			return v, i
		}
	}
	return nil, 0
}
