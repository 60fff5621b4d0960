package config

// Kind says what an object of the configuration is.
type Kind string

// The kinds of objects, by the names that messages and commands use.
const (
	KindFailureDomain Kind = "failure domain"
	KindWorkspace     Kind = "workspace"
	KindModelObject   Kind = "model"
	KindVersion       Kind = "version"
	KindService       Kind = "service"
	KindRule          Kind = "rule"
)

// object is one object of a set.
type object struct {
	ref   objectRef
	value any
}

// objects lists every object of the set, kind by kind in order of the set's lists.
func (s *Set) objects() []object {
	var all []object
	all = appendObjects(all, KindFailureDomain, s.FailureDomains, func(item FailureDomain) string { return string(item.Name) })
	all = appendObjects(all, KindWorkspace, s.Workspaces, func(item Workspace) string { return string(item.Name) })
	all = appendObjects(all, KindModelObject, s.Models, func(item Model) string { return string(item.Name) })
	all = appendObjects(all, KindVersion, s.Versions, func(item Version) string { return item.Name })
	all = appendObjects(all, KindService, s.Services, func(item Service) string { return string(item.Name) })
	all = appendObjects(all, KindRule, s.Rules, func(item Rule) string { return item.Name })
	return all
}

func appendObjects[Item any](all []object, kind Kind, items []Item, name func(Item) string) []object {
	for _, item := range items {
		all = append(all, object{ref: objectRef{Kind: kind, Name: name(item)}, value: item})
	}
	return all
}
