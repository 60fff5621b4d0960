package config

import (
	"path"
	"strings"
)

// Idempotent tells whether the service's call may be run more than once. Model requests may; a call of a plain
// service may only when the service names it so.
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

// coversPath tells whether the path is the call's own or lies below it, by whole segments.
func coversPath(callPath, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(callPath, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// isCanonicalPath tells whether every back end reads the path as it is written: it has no escapes, no separators but "/", and
// no segments that are left out when it is shortened.
func isCanonicalPath(requestPath string) bool {
	if strings.ContainsAny(requestPath, "%\\;") {
		return false
	}
	cleaned := path.Clean(requestPath)
	return requestPath == cleaned || requestPath == cleaned+"/"
}
