package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Find returns the first error of type T among the error, what it wraps or joins, and their causes.
func Find[T error](err error) (T, bool) {
	var found T
	for err != nil {
		if errors.As(err, &found) {
			return found, true
		}
		var typed *errorx.Error
		if !errors.As(err, &typed) {
			break
		}
		err = typed.Cause() // errorx does not unwrap to it
	}
	return found, false
}
