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
	Line    int    // counted from 1
	Field   string // path of the field, or "" when the document as a whole is wrong
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

// Decode decodes the one value that raw holds. Every error is an *Error.
func Decode(raw []byte, target any) error {
	if len(bytes.TrimSpace(raw)) == 0 {
		return &Error{Line: 1, Message: "the document is empty"}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return newError(raw, decoder.InputOffset(), err)
	}
	valueEnd := decoder.InputOffset()
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{Line: lineAt(raw, valueEnd+1), Message: "there is data after the end of the value"}
	}
	return findDuplicateKey(raw)
}

func newError(raw []byte, offset int64, err error) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &Error{Line: lineAt(raw, syntaxErr.Offset), Message: "this is not JSON: " + syntaxErr.Error()}
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{Line: lineAt(raw, typeErr.Offset), Field: typeErr.Field, Message: fmt.Sprintf("a JSON %s stands where %s belongs", typeErr.Value, expectedType(typeErr))}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return &Error{Line: lineAt(raw, int64(len(raw))), Message: "the document ends in the middle of a value"}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &Error{Line: lineOfField(raw, name, offset), Field: strings.Trim(name, `"`), Message: "there is no such field"}
	}
	return &Error{Line: lineAt(raw, offset), Message: err.Error()}
}

func expectedType(typeErr *json.UnmarshalTypeError) string {
	switch typeErr.Type.Kind().String() {
	case "slice", "array":
		return "a list"
	case "struct", "map":
		return "an object"
	case "string":
		return "a string"
	case "bool":
		return "true or false"
	default:
		return "a number of type " + typeErr.Type.Kind().String()
	}
}

func lineAt(raw []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(raw)))
	return bytes.Count(raw[:offset], []byte("\n")) + 1
}

// lineOfField returns the line of the first use of the quoted field name as a key.
func lineOfField(raw []byte, quoted string, offset int64) int {
	index := bytes.Index(raw, []byte(quoted))
	if index < 0 {
		return lineAt(raw, offset)
	}
	return lineAt(raw, int64(index))
}

// container is an object or a list that the walk is within.
type container struct {
	seenKeys   map[string]bool // nil for a list
	currentKey string          // the field whose value comes next; "" when a field's name comes next
}

// findDuplicateKey reports the first field that one object holds twice; the decoder would silently take the last. Names
// are compared without case, as the decoder matches them.
func findDuplicateKey(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var stack []*container
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil
		}
		stack, err = consumeToken(stack, token)
		if err != nil {
			return &Error{Line: lineAt(raw, decoder.InputOffset()), Field: err.Error(), Message: "the field stands twice in one object"}
		}
	}
}

// consumeToken takes one token. Its error's text is the path of the repeated field.
func consumeToken(stack []*container, token json.Token) ([]*container, error) {
	if token == json.Delim('}') || token == json.Delim(']') {
		return endValue(stack[:len(stack)-1]), nil
	}
	if name, ok := objectKey(stack, token); ok {
		current := stack[len(stack)-1]
		current.currentKey = name
		if lowerName := strings.ToLower(name); !current.seenKeys[lowerName] {
			current.seenKeys[lowerName] = true
			return stack, nil
		}
		return stack, errors.New(keyPath(stack))
	}
	switch token {
	case json.Delim('{'):
		return append(stack, &container{seenKeys: make(map[string]bool)}), nil
	case json.Delim('['):
		return append(stack, &container{}), nil
	}
	return endValue(stack), nil
}

func objectKey(stack []*container, token json.Token) (string, bool) {
	if len(stack) == 0 || stack[len(stack)-1].seenKeys == nil || stack[len(stack)-1].currentKey != "" {
		return "", false
	}
	name, ok := token.(string)
	if name == "" {
		name = `""`
	}
	return name, ok
}

func endValue(stack []*container) []*container {
	if len(stack) > 0 {
		stack[len(stack)-1].currentKey = ""
	}
	return stack
}

func keyPath(stack []*container) string {
	var parts []string
	for _, enclosing := range stack {
		if enclosing.currentKey != "" {
			parts = append(parts, enclosing.currentKey)
		}
	}
	return strings.Join(parts, ".")
}
