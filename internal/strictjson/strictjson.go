// Package strictjson decodes JSON that people write: it refuses unknown and repeated fields, data after the value and
// values of another type, and says on which line.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Error says what is wrong in a JSON document and where.
type Error struct {
	Line  int    // counted from 1
	Field string // path of the field, or "" when the document as a whole is wrong
	Wrong string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Wrong)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Wrong)
}

// Decode decodes the one value that raw holds. Every error is an *Error.
func Decode(raw []byte, into any) error {
	if len(bytes.TrimSpace(raw)) == 0 {
		return &Error{Line: 1, Wrong: "the document is empty"}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return describe(raw, decoder.InputOffset(), err)
	}
	end := decoder.InputOffset()
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{Line: lineAt(raw, end+1), Wrong: "there is data after the end of the value"}
	}
	return findRepeated(raw)
}

func describe(raw []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &Error{Line: lineAt(raw, syntax.Offset), Wrong: "this is not JSON: " + syntax.Error()}
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &Error{Line: lineAt(raw, mismatch.Offset), Field: mismatch.Field, Wrong: fmt.Sprintf("a JSON %s stands where %s belongs", mismatch.Value, typeName(mismatch))}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return &Error{Line: lineAt(raw, int64(len(raw))), Wrong: "the document ends in the middle of a value"}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &Error{Line: lineOfField(raw, name, offset), Field: strings.Trim(name, `"`), Wrong: "there is no such field"}
	}
	return &Error{Line: lineAt(raw, offset), Wrong: err.Error()}
}

func typeName(mismatch *json.UnmarshalTypeError) string {
	switch mismatch.Type.Kind().String() {
	case "slice", "array":
		return "a list"
	case "struct", "map":
		return "an object"
	case "string":
		return "a string"
	case "bool":
		return "true or false"
	default:
		return "a number of type " + mismatch.Type.Kind().String()
	}
}

func lineAt(raw []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(raw)))
	return bytes.Count(raw[:offset], []byte("\n")) + 1
}

// lineOfField returns the line of the first use of the quoted field name as a key.
func lineOfField(raw []byte, quoted string, offset int64) int {
	at := bytes.Index(raw, []byte(quoted))
	if at < 0 {
		return lineAt(raw, offset)
	}
	return lineAt(raw, int64(at))
}

// scope is an object or a list that the walk is within.
type scope struct {
	names map[string]bool // nil for a list
	field string          // the field whose value comes next; "" when a field's name comes next
}

// findRepeated reports the first field that one object holds twice; the decoder would silently take the last. Names
// are compared without case, as the decoder matches them.
func findRepeated(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var scopes []*scope
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil
		}
		scopes, err = step(scopes, token)
		if err != nil {
			return &Error{Line: lineAt(raw, decoder.InputOffset()), Field: err.Error(), Wrong: "the field stands twice in one object"}
		}
	}
}

// step takes one token. Its error's text is the path of the repeated field.
func step(scopes []*scope, token json.Token) ([]*scope, error) {
	if token == json.Delim('}') || token == json.Delim(']') {
		return closeValue(scopes[:len(scopes)-1]), nil
	}
	if name, ok := expectedName(scopes, token); ok {
		inner := scopes[len(scopes)-1]
		inner.field = name
		if folded := strings.ToLower(name); !inner.names[folded] {
			inner.names[folded] = true
			return scopes, nil
		}
		return scopes, errors.New(path(scopes))
	}
	switch token {
	case json.Delim('{'):
		return append(scopes, &scope{names: make(map[string]bool)}), nil
	case json.Delim('['):
		return append(scopes, &scope{}), nil
	}
	return closeValue(scopes), nil
}

func expectedName(scopes []*scope, token json.Token) (string, bool) {
	if len(scopes) == 0 || scopes[len(scopes)-1].names == nil || scopes[len(scopes)-1].field != "" {
		return "", false
	}
	name, ok := token.(string)
	if name == "" {
		name = `""`
	}
	return name, ok
}

func closeValue(scopes []*scope) []*scope {
	if len(scopes) > 0 {
		scopes[len(scopes)-1].field = ""
	}
	return scopes
}

func path(scopes []*scope) string {
	var parts []string
	for _, scope := range scopes {
		if scope.field != "" {
			parts = append(parts, scope.field)
		}
	}
	return strings.Join(parts, ".")
}
