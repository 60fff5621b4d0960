package config

// ObjectKind is the type of a configuration object.
type ObjectKind string

// Object kinds. Messages and commands use these values.
const (
	ObjectFailureDomain ObjectKind = "failure domain"
	ObjectWorkspace     ObjectKind = "workspace"
	ObjectModel         ObjectKind = "model"
	ObjectVersion       ObjectKind = "version"
	ObjectService       ObjectKind = "service"
	ObjectRule          ObjectKind = "rule"
)

// object is a configuration object with its reference.
type object struct {
	ref   objectRef
	value any
}

// objects returns every object of the set, grouped by kind and in the order of the set's lists.
func (s *Set) objects() []object {
	var all []object
	all = appendObjects(all, ObjectFailureDomain, s.FailureDomains, func(item FailureDomain) string { return string(item.Name) })
	all = appendObjects(all, ObjectWorkspace, s.Workspaces, func(item Workspace) string { return string(item.Name) })
	all = appendObjects(all, ObjectModel, s.Models, func(item Model) string { return string(item.Name) })
	all = appendObjects(all, ObjectVersion, s.Versions, func(item Version) string { return item.Name })
	all = appendObjects(all, ObjectService, s.Services, func(item Service) string { return string(item.Name) })
	all = appendObjects(all, ObjectRule, s.Rules, func(item Rule) string { return item.Name })
	return all
}

func appendObjects[Item any](all []object, kind ObjectKind, items []Item, name func(Item) string) []object {
	for _, item := range items {
		all = append(all, object{ref: objectRef{Kind: kind, Name: name(item)}, value: item})
	}
	return all
}
