package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/core"
)

const (
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
	return append(slices.Clip(c.SharedParts), core.PromptPart(request))
}
