package config

import (
	"path"
	"strings"
)

// Idempotent reports whether the service's call may run more than once. This is true of all model requests. A call of a
// plain service is idempotent only if the longest matching entry of Calls says so.
func (s *Service) Idempotent(method, path string) bool {
	if s.Kind == KindModel {
		return true
	}
	if !isCanonicalPath(path) {
		return false
	}
	longestMatch := -1
	idempotent := false
	for _, call := range s.Calls {
		if call.Method != method || !coversPath(call.Path, path) || len(call.Path) <= longestMatch {
			continue
		}
		longestMatch = len(call.Path)
		idempotent = call.Idempotent
	}
	return idempotent
}

// coversPath reports whether the path equals callPath or lies below it. It compares whole segments.
func coversPath(callPath, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(callPath, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// isCanonicalPath reports whether the path has no escapes, no separators other than "/", and no segments that path.Clean
// removes. All back ends interpret such a path in the same way.
func isCanonicalPath(requestPath string) bool {
	if strings.ContainsAny(requestPath, "%\\;") {
		return false
	}
	cleaned := path.Clean(requestPath)
	return requestPath == cleaned || requestPath == cleaned+"/"
}
