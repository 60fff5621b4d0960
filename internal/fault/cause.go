package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// FindCause returns the first error of type T in the error's tree, causes included.
func FindCause[T error](err error) (T, bool) {
	var found T
	for err != nil {
		if errors.As(err, &found) {
			return found, true
		}
		var typed *errorx.Error
		if !errors.As(err, &typed) {
			break
		}
		err = typed.Cause() // errorx.Error does not unwrap to its cause
	}
	return found, false
}
