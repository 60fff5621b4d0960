package plan

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/weights"
)

// upload is an active upload.
type upload struct{ digest weights.Digest }

// uploadRequested decides on a peer's request for a chunk. A request for a missing chunk may wait up to MaxUploadWait.
func (p *Planner) uploadRequested(event UploadRequested) {
	p.controlBudget.consume(p.now, requestOverheadBytes)
	p.answerUpload(event.UploadID, event.Digest, p.now+p.limits.MaxUploadWait)
}

// answerUpload decides on the request, or queues it until the deadline if this host does not have the chunk yet.
func (p *Planner) answerUpload(id UploadID, digest weights.Digest, deadline time.Duration) {
	result := p.admitUpload(id, digest)
	if result == Missing && p.now < deadline {
		p.waitingUploads = append(p.waitingUploads, waitingUpload{id: id, digest: digest, deadline: deadline})
		return
	}
	p.emit(AnswerUpload{UploadID: id, Result: result})
}

// waitingUpload is a request that waits until this host has the chunk.
type waitingUpload struct {
	id       UploadID
	digest   weights.Digest
	deadline time.Duration
}

// answerWaiting answers the requests that waited for the chunk, which has been verified.
func (p *Planner) answerWaiting(digest weights.Digest) {
	previous := p.waitingUploads
	p.waitingUploads = nil
	for _, request := range previous {
		if request.digest == digest {
			p.answerUpload(request.id, request.digest, p.now)
			continue
		}
		p.waitingUploads = append(p.waitingUploads, request)
	}
}

// expireWaiting answers the requests that have passed their deadline or whose chunk is no longer wanted.
func (p *Planner) expireWaiting() {
	previous := p.waitingUploads
	p.waitingUploads = nil
	for _, request := range previous {
		if request.deadline <= p.now || !p.wants(request.digest) {
			p.answerUpload(request.id, request.digest, p.now)
			continue
		}
		p.waitingUploads = append(p.waitingUploads, request)
	}
}

func (p *Planner) removeWaiting(id UploadID) {
	p.waitingUploads = slices.DeleteFunc(p.waitingUploads, func(request waitingUpload) bool { return request.id == id })
}

// admitUpload returns Granted and counts the upload, or returns the reason for refusing it.
func (p *Planner) admitUpload(id UploadID, digest weights.Digest) Result {
	if !p.wants(digest) {
		return NotWanted
	}
	v, index := p.findHeld(digest)
	if v == nil {
		return Missing
	}
	if len(p.uploads) >= p.limits.MaxUploads {
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
	p.uploads[id] = upload{digest: digest}
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
