package fault

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

// Explain formats the error for an operator: one line per message with its remedy, followed by its cause. Joined
// errors are listed one after the other.
func Explain(err error) string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var lines []string
		for _, part := range joined.Unwrap() {
			lines = append(lines, Explain(part))
		}
		return strings.Join(lines, "\n")
	}
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	cause := Explain(typed.Cause())
	if strings.Contains(typed.Message(), cause) {
		return typed.Message()
	}
	return typed.Message() + "\n" + cause
}
