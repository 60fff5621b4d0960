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
	if !isPlain(path) {
		return false
	}
	longest := -1
	idempotent := false
	for _, call := range s.Calls {
		if call.Method != method || !covers(call.Path, path) || len(call.Path) <= longest {
			continue
		}
		longest = len(call.Path)
		idempotent = call.Idempotent
	}
	return idempotent
}

// covers tells whether the path is the call's own or lies below it, by whole segments.
func covers(call, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(call, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// isPlain tells whether every back end reads the path as it is written: it has no escapes, no separators but "/", and
// no segments that are left out when it is shortened.
func isPlain(text string) bool {
	if strings.ContainsAny(text, "%\\;") {
		return false
	}
	short := path.Clean(text)
	return text == short || text == short+"/"
}
