package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// maxProvenShared bounds the shared parts that are kept. It is far above the parts of the sessions that one process serves at a time.
	maxProvenShared = 32768
	// maxProvenWhole bounds the parts that stand for whole requests, of which most come once.
	maxProvenWhole = 8192
)

// provenParts holds the parts with which answers were completed lately.
type provenParts struct{ shared, whole generations }

// generations holds hashes of parts: those of the current generation and of the one before. Hashes do not keep the headers that parts are
// taken from.
type generations struct {
	current, previous map[uint64]struct{}
	max               int
}

func newProvenParts() provenParts {
	return provenParts{
		shared: generations{current: make(map[uint64]struct{}), max: maxProvenShared},
		whole:  generations{current: make(map[uint64]struct{}), max: maxProvenWhole},
	}
}

func (p *provenParts) of(part core.PromptPart) *generations {
	if isWholeRequest(part) {
		return &p.whole
	}
	return &p.shared
}

// add adds the parts. When the current generation is full, the one before is dropped.
func (p *provenParts) add(parts []core.PromptPart) {
	for _, part := range parts {
		kept := p.of(part)
		if len(kept.current) >= kept.max/2 {
			kept.current, kept.previous = make(map[uint64]struct{}), kept.current
		}
		kept.current[xxhash.Sum64String(string(part))] = struct{}{}
	}
}

// has reports whether the part is kept.
func (p *provenParts) has(part core.PromptPart) bool {
	kept, hash := p.of(part), xxhash.Sum64String(string(part))
	_, isCurrent := kept.current[hash]
	_, isPrevious := kept.previous[hash]
	return isCurrent || isPrevious
}

// among returns those of the parts that are kept.
func (p *provenParts) among(parts []core.PromptPart) []core.PromptPart {
	var proven []core.PromptPart
	for _, part := range parts {
		if p.has(part) {
			proven = append(proven, part)
		}
	}
	return proven
}
