package follow

// eraRose reports whether the store was restored from a copy between two eras. An unknown era is taken for the same one,
// as processes of earlier releases send none.
func eraRose(before, after uint64) bool { return before > 0 && after > before }

// isNewEra reports whether the store was restored from a copy between two cursors.
func isNewEra(before, after Cursor) bool { return before.Valid && eraRose(before.Era, after.Era) }

// isLater reports whether cursor a is later than b.
func isLater(a, b Cursor) bool {
	switch {
	case !a.Valid || !b.Valid:
		return a.Valid && !b.Valid
	case isNewEra(a, b):
		return false
	case isNewEra(b, a):
		return true
	}
	return a.Version > b.Version
}

// laterCursor returns the later of two cursors.
func laterCursor(a, b Cursor) Cursor {
	if isLater(a, b) {
		return a
	}
	return b
}
