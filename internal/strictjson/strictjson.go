// Package strictjson decodes hand-written JSON. It rejects unknown and duplicate fields, trailing data and values of the
// wrong type, and reports the line of the error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Error describes an error in a JSON document and its position.
type Error struct {
	Line    int    // counted from 1
	Field   string // path of the field; "" if the error concerns no single field
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

// Decode decodes raw, which must hold exactly one JSON value, into target. Every error is an *Error.
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
		return &Error{Line: lineAt(raw, valueEnd+1), Message: "unexpected data after the end of the value"}
	}
	return findDuplicateKey(raw)
}

func newError(raw []byte, offset int64, err error) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &Error{Line: lineAt(raw, syntaxErr.Offset), Message: "invalid JSON: " + syntaxErr.Error()}
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{Line: lineAt(raw, typeErr.Offset), Field: typeErr.Field, Message: fmt.Sprintf("found a JSON %s, expected %s", typeErr.Value, expectedType(typeErr))}
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

// lineOfField returns the line of the first occurrence of the quoted field name, or the line of offset if there is none.
func lineOfField(raw []byte, quoted string, offset int64) int {
	index := bytes.Index(raw, []byte(quoted))
	if index < 0 {
		return lineAt(raw, offset)
	}
	return lineAt(raw, int64(index))
}

// container is an object or a list that encloses the current token.
type container struct {
	seenKeys   map[string]bool // keys read so far; nil for a list
	currentKey string          // key whose value comes next; "" if a key comes next
}

// findDuplicateKey returns an error for the first key that appears twice in one object; encoding/json would silently use
// the last value. Keys are compared case-insensitively, as encoding/json matches them.
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
			return &Error{Line: lineAt(raw, decoder.InputOffset()), Field: err.Error(), Message: "the field appears twice in one object"}
		}
	}
}

// consumeToken updates the stack for one token. For a duplicate key, the text of the error is the path of the key.
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
