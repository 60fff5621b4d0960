package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action is the type of a change.
type Action string

// Change actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change describes how one object differs between two sets.
type Change struct {
	Action Action        `json:"action"`
	Kind   ObjectKind    `json:"kind"`
	Object string        `json:"object"`
	Fields []FieldChange `json:"fields,omitempty"` // only for Changed
}

// FieldChange holds the old and the new value of a field as JSON. "" means that the field is absent.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String formats the change with one line for the object and one for each changed field.
func (c Change) String() string {
	signs := map[Action]string{Added: "+", Removed: "-", Changed: "~"}
	text := fmt.Sprintf("%s %s %q", signs[c.Action], c.Kind, c.Object)
	for _, field := range c.Fields {
		text += fmt.Sprintf("\n    %s: %s -> %s", field.Field, orNone(field.Old), orNone(field.New))
	}
	return text
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// Diff returns the changes from one set to another, ordered by kind and name.
func Diff(from, to Set) []Change {
	before, after := fieldsByObject(from), fieldsByObject(to)
	refs := slices.Collect(maps.Keys(before))
	for ref := range after {
		if _, ok := before[ref]; !ok {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	var changes []Change
	for _, ref := range refs {
		oldFields, inOld := before[ref]
		newFields, inNew := after[ref]
		change := Change{Kind: ref.Kind, Object: ref.Name, Action: Changed}
		switch {
		case !inOld:
			change.Action = Added
		case !inNew:
			change.Action = Removed
		default:
			change.Fields = diffFields(oldFields, newFields)
		}
		if change.Action != Changed || len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

var kindOrder = []ObjectKind{ObjectFailureDomain, ObjectWorkspace, ObjectModel, ObjectVersion, ObjectService, ObjectRule}

func compareRefs(a, b objectRef) int {
	if a.Kind != b.Kind {
		return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
	}
	return strings.Compare(a.Name, b.Name)
}

// fieldsByObject returns the fields of every object as JSON values by field path.
func fieldsByObject(set Set) map[objectRef]map[string]string {
	values := make(map[objectRef]map[string]string)
	for _, object := range set.objects() {
		fields := make(map[string]string)
		flatten(fields, "", toGenericJSON(object.value))
		values[object.ref] = fields
	}
	return values
}

func toGenericJSON(value any) any {
	raw, _ := json.Marshal(value) // cannot fail: objects hold only types that JSON can represent
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var generic any
	_ = decoder.Decode(&generic)
	return generic
}

func flatten(fields map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			flatten(fields, joinPath(path, name), inner)
		}
	case []any:
		for i, inner := range value {
			flatten(fields, fmt.Sprintf("%s[%s]", path, elementKey(i, inner)), inner)
		}
	case nil:
	default:
		raw, _ := json.Marshal(value)
		fields[path] = string(raw)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementKey returns the value that identifies a list element, so that inserting an element does not change the paths of
// the others. It returns the index i for an element without such a value.
func elementKey(i int, element any) string {
	switch element := element.(type) {
	case string:
		return element
	case map[string]any:
		if host, ok := element["host"]; ok {
			return fmt.Sprint(host)
		}
		if method, ok := element["method"]; ok {
			return fmt.Sprint(method, " ", element["path"])
		}
	}
	return fmt.Sprint(i)
}

func diffFields(from, to map[string]string) []FieldChange {
	paths := slices.Collect(maps.Keys(from))
	for path := range to {
		if _, ok := from[path]; !ok {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var changes []FieldChange
	for _, path := range paths {
		if from[path] != to[path] {
			changes = append(changes, FieldChange{Field: path, Old: from[path], New: to[path]})
		}
	}
	return changes
}
