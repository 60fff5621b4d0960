package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action says what became of an object from one set to another.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one object between two sets.
type Change struct {
	Action Action        `json:"action"`
	Kind   ObjectKind    `json:"kind"`
	Object string        `json:"object"`
	Fields []FieldChange `json:"fields,omitempty"` // of a changed object
}

// FieldChange is the difference of one field. An absent value is "".
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String renders the change on a line for the object and one for each field.
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

// Diff lists what differs between two sets, in order of kind and name.
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

// fieldsByObject returns the fields of every object, by path.
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
	raw, _ := json.Marshal(value) // objects hold nothing that JSON cannot
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

// elementKey names an element by what identifies it, so that an element put in between changes none of the others.
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
