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

// PartsOf returns what a call may share with others that crash engines: the shared parts of its prompt, then the call as it is, and last
// its identity: requests of a workspace with the same path and body are the same, whatever their ids, queries, sessions and models. The
// call as it is tells a repeated one from others of its identity that are answered. The body must have been read and the workspace be
// known.
func PartsOf(c *call.Call) []core.PromptPart {
	parts := make([]core.PromptPart, 0, len(c.SharedParts)+wholeParts)
	for _, part := range c.SharedParts {
		parts = append(parts, core.PromptPart(kept(string(part))))
	}
	asItIs := wholePart(c.Body, string(c.Workspace), c.Method, c.Host, c.Target, string(c.Model), c.Prompt)
	return append(parts, asItIs, wholePart(c.Body, string(c.Workspace), c.Path))
}

// wholeParts is the number of parts that stand for a whole request.
const wholeParts = 2

// wholePart returns the part that stands for all requests with the body and the texts.
func wholePart(body []byte, texts ...string) core.PromptPart {
	hash := sha256.New()
	for _, text := range texts {
		_, _ = hash.Write(append([]byte(text), 0)) // never fails
	}
	_, _ = hash.Write(body)
	return core.PromptPart(requestPrefix + hex.EncodeToString(hash.Sum(nil)[:requestHashSize]))
}

// IdentityOf returns the part that stands for the request's identity, among those that PartsOf returned.
func IdentityOf(parts []core.PromptPart) core.PromptPart { return parts[len(parts)-1] }

// kept returns what is kept of a caller's words: the words themselves, or a hash of long ones.
func kept(words string) string {
	if len(words) <= longestKept {
		return words
	}
	hash := sha256.Sum256([]byte(words))
	return longPrefix + hex.EncodeToString(hash[:])[:longestKept-len(longPrefix)]
}
