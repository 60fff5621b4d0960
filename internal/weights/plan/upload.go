package plan

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/weights"
)

// upload is an upload under way.
type upload struct{ digest weights.Digest }

// uploadAsked grants the upload while few are under way and the version's bound is not reached.
func (p *Planner) uploadAsked(event UploadAsked) {
	p.control.charge(p.now, requestBytes)
	p.answerUpload(event.Upload, event.Digest, p.now+p.limits.AwaitUpload)
}

// answerUpload judges the upload. One of a chunk that this host does not hold yet waits for it.
func (p *Planner) answerUpload(id UploadID, digest weights.Digest, until time.Duration) {
	result := p.judgeUpload(id, digest)
	if result == Missing && p.now < until {
		p.awaiting = append(p.awaiting, awaitedUpload{id: id, digest: digest, until: until})
		return
	}
	p.emit(AnswerUpload{Upload: id, Result: result})
}

// awaitedUpload waits until this host holds the chunk.
type awaitedUpload struct {
	id     UploadID
	digest weights.Digest
	until  time.Duration
}

// answerAwaited answers the requests that waited for a chunk that has arrived.
func (p *Planner) answerAwaited(digest weights.Digest) {
	waiting := p.awaiting
	p.awaiting = nil
	for _, awaited := range waiting {
		if awaited.digest == digest {
			p.answerUpload(awaited.id, awaited.digest, p.now)
			continue
		}
		p.awaiting = append(p.awaiting, awaited)
	}
}

// expireAwaited refuses the requests that waited too long, or for a version that is no longer wanted.
func (p *Planner) expireAwaited() {
	waiting := p.awaiting
	p.awaiting = nil
	for _, awaited := range waiting {
		if awaited.until <= p.now || !p.wants(awaited.digest) {
			p.answerUpload(awaited.id, awaited.digest, p.now)
			continue
		}
		p.awaiting = append(p.awaiting, awaited)
	}
}

func (p *Planner) dropAwaited(id UploadID) {
	p.awaiting = slices.DeleteFunc(p.awaiting, func(awaited awaitedUpload) bool { return awaited.id == id })
}

func (p *Planner) judgeUpload(id UploadID, digest weights.Digest) Result {
	if !p.wants(digest) {
		return Dropped
	}
	v, index := p.findHeld(digest)
	if v == nil {
		return Missing
	}
	if len(p.uploads) >= p.limits.Uploads {
		return Busy
	}
	if p.now >= v.windowEnd {
		v.windowEnd = p.now + p.limits.UploadWindow
		v.uploaded = 0
		clear(v.given)
	}
	if int(v.given[index]) >= p.limits.UploadFanOut {
		return GivenOut
	}
	_, length := v.manifest.Range(index)
	if float64(v.uploaded+length) > p.limits.UploadCopies*float64(v.manifest.SizeBytes) {
		return Spent
	}
	v.uploaded += length
	v.given[index]++
	p.uploads[id] = upload{digest: digest}
	return Granted
}

// wants tells whether a wanted version has the chunk.
func (p *Planner) wants(digest weights.Digest) bool {
	for _, v := range p.versions {
		if _, ok := v.index[digest]; ok {
			return true
		}
	}
	return false
}

// findHeld returns the first wanted version in which the chunk is held.
func (p *Planner) findHeld(digest weights.Digest) (*version, int) {
	for _, v := range p.versions {
		if i, ok := v.index[digest]; ok && v.have.Has(i) {
			return v, i
		}
	}
	return nil, 0
}
