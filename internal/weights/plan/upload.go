package plan

import "github.com/lovageglade/lovageglade/internal/weights"

// upload is an upload under way.
type upload struct{ digest weights.Digest }

// uploadAsked grants the upload while few are under way and the version's bound is not reached.
func (p *Planner) uploadAsked(event UploadAsked) {
	p.control.charge(p.now, requestBytes)
	p.emit(AnswerUpload{Upload: event.Upload, Result: p.judgeUpload(event)})
}

func (p *Planner) judgeUpload(event UploadAsked) Result {
	if !p.wants(event.Digest) {
		return Dropped
	}
	v, index := p.findHeld(event.Digest)
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
	p.uploads[event.Upload] = upload{digest: event.Digest}
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
