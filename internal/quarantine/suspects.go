package quarantine

import (
	"slices"
	"strings"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
)

// maxCrashParts bounds the parts that are kept of one crash, of all its suspects together. A report of it takes some 12 KB then.
const maxCrashParts = 1024

// Omission tells which parts of a suspect are not listed.
type Omission string

// The omissions of a suspect.
const (
	OmitsNone   Omission = ""
	OmitsProven Omission = "proven" // parts with which answers were completed before
	OmitsAny    Omission = "any"    // any shared parts
)

// OmissionOf returns which parts of the call PartsOf does not list.
func OmissionOf(c *call.Call) Omission {
	if c.OmitsParts {
		return OmitsAny
	}
	return OmitsNone
}

// accuses reports whether the crash of the suspect's engine may speak against the part. A part that is not listed may have caused it,
// whose place no other must take.
func (s *Suspect) accuses(part core.PromptPart) bool {
	switch s.Omits {
	case OmitsNone:
		return true
	case OmitsProven:
		return isWholeRequest(part) || !slices.Contains(s.Proven, part)
	}
	return isWholeRequest(part)
}

// bounded returns copies of the suspects with at most maxCrashParts parts together, and those that are proven among them. What is
// omitted first is proven, since a part that no answer was completed with is the more likely cause.
func bounded(suspects []Suspect, proven *provenParts) []Suspect {
	suspects = slices.Clone(suspects[:min(len(suspects), maxSuspects)])
	total := 0
	for i := range suspects {
		suspects[i].Request = core.RequestID(kept(string(suspects[i].Request)))
		total += len(suspects[i].Parts)
	}
	share := maxCrashParts
	if len(suspects) > 0 {
		share /= len(suspects)
	}
	for i := range suspects {
		s := &suspects[i]
		if total > maxCrashParts && len(s.Parts) > share {
			s.omit(share, proven)
		}
		s.Parts = copied(s.Parts)
		s.Proven = proven.among(s.Parts)
	}
	return suspects
}

// omit leaves at most the given number of parts: the last ones with which no answer was completed, and those that stand for the whole
// request.
func (s *Suspect) omit(limit int, proven *provenParts) {
	var parts []core.PromptPart
	for _, part := range s.Parts {
		if isWholeRequest(part) || !proven.has(part) {
			parts = append(parts, part)
		}
	}
	if s.Omits == OmitsNone && len(parts) < len(s.Parts) {
		s.Omits = OmitsProven
	}
	if len(parts) > limit {
		parts, s.Omits = parts[len(parts)-limit:], OmitsAny
	}
	s.Parts = parts
}

// maxArchivedParts is the number of parts up to which a suspect is archived as it is.
const maxArchivedParts = 32

// shorten leaves out the parts of a long prompt that no other crash speaks against.
func (s *Suspect) shorten(accused map[core.PromptPart]bool) {
	if len(s.Parts) <= maxArchivedParts {
		return
	}
	isUnneeded := func(part core.PromptPart) bool { return !accused[part] && !isWholeRequest(part) }
	s.Parts = slices.DeleteFunc(slices.Clone(s.Parts), isUnneeded)
	s.Proven = slices.DeleteFunc(slices.Clone(s.Proven), isUnneeded)
}

// copied returns copies of the parts, which do not hold the headers that they are taken from.
func copied(parts []core.PromptPart) []core.PromptPart {
	copies := make([]core.PromptPart, 0, len(parts))
	for _, part := range parts {
		copies = append(copies, core.PromptPart(strings.Clone(string(part))))
	}
	return copies
}
