package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// ReadFolder reads every .json file of the folder as a part of one set. Reading is strict: an unknown field is an
// error that names the file.
func ReadFolder(folder string) (Set, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(paths) == 0 {
		return Set{}, fault.New(fault.BadConfig, "no .json files in "+folder, "name the folder that holds the configuration")
	}
	var set Set
	var problems []error
	for _, path := range paths {
		part, err := readFile(path)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		set.merge(part)
	}
	set.sort()
	return set, errors.Join(problems...)
}

func readFile(path string) (Set, error) {
	var part Set
	raw, err := os.ReadFile(path)
	if err != nil {
		return part, fault.Wrap(err, fault.BadConfig, path+" cannot be read", "make the file readable")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&part); err != nil {
		return part, fault.Wrap(err, fault.BadConfig, path+" is not a configuration file", "correct the field that the cause names")
	}
	return part, nil
}

func (s *Set) merge(part Set) {
	s.FailureDomains = append(s.FailureDomains, part.FailureDomains...)
	s.Workspaces = append(s.Workspaces, part.Workspaces...)
	s.Models = append(s.Models, part.Models...)
	s.Versions = append(s.Versions, part.Versions...)
	s.Services = append(s.Services, part.Services...)
	s.Rules = append(s.Rules, part.Rules...)
}

func (s *Set) sort() {
	slices.SortStableFunc(s.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Versions, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
}
