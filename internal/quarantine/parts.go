package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// longestKept is the length up to which a caller's words are kept as they are, in bytes. Parts and ids of requests are shorter.
	longestKept     = 64
	longPrefix      = "long/"    // of what stands for longer words
	requestPrefix   = "request/" // of the part that stands for a whole request
	requestHashSize = 8          // bytes
)

// isWholeRequest reports whether the part stands for a whole request.
func isWholeRequest(part core.PromptPart) bool { return strings.HasPrefix(string(part), requestPrefix) }

// PartsOf returns what a call may share with others that crash engines: the shared parts of its prompt and, last, the request as a
// whole, which is the same if its workspace repeats it under another id. The body must have been read and the workspace be known.
func PartsOf(c *call.Call) []core.PromptPart {
	hash := sha256.New()
	for _, text := range []string{string(c.Workspace), c.Method, c.Host, c.Target, string(c.Model), c.Prompt} {
		_, _ = hash.Write(append([]byte(text), 0)) // never fails
	}
	_, _ = hash.Write(c.Body)
	request := requestPrefix + hex.EncodeToString(hash.Sum(nil)[:requestHashSize])
	parts := make([]core.PromptPart, 0, len(c.SharedParts)+1)
	for _, part := range c.SharedParts {
		parts = append(parts, core.PromptPart(kept(string(part))))
	}
	return append(parts, core.PromptPart(request))
}

// kept returns what is kept of a caller's words: a copy, which does not hold the header that they are part of, or a hash of long ones.
func kept(words string) string {
	if len(words) <= longestKept {
		return strings.Clone(words)
	}
	hash := sha256.Sum256([]byte(words))
	return longPrefix + hex.EncodeToString(hash[:])[:longestKept-len(longPrefix)]
}
