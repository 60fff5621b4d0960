package config

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/strictjson"
)

// Limits on the configuration folder.
const (
	maxFileBytes   = 8 << 20
	maxFolderFiles = 4096
)

// sourceFiles maps each object to the names of the files that define it, in the order in which they were read.
type sourceFiles map[objectRef][]string

// objectRef identifies an object by kind and name.
type objectRef struct {
	Kind ObjectKind
	Name string
}

// ReadFolder reads all .json files of the folder into one set. Unknown and duplicate fields are errors that name the
// file and the line. The returned error joins the errors of all files.
func ReadFolder(folder string) (Set, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(paths) == 0 {
		return Set{}, fault.New(fault.BadConfig, "there are no .json files in "+folder, "name the folder that holds the configuration")
	}
	if len(paths) > maxFolderFiles {
		message := fmt.Sprintf("%s holds %d files, more than %d", folder, len(paths), maxFolderFiles)
		return Set{}, fault.New(fault.BadConfig, message, "put more objects into each file")
	}
	var set Set
	var problems []error
	for _, path := range paths {
		part, err := readFile(path)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		set.merge(part, filepath.Base(path))
	}
	set.sort()
	return set, errors.Join(problems...)
}

func readFile(path string) (Set, error) {
	file, err := os.Open(path)
	if err != nil {
		return Set{}, fault.Wrap(err, fault.BadConfig, path+" cannot be opened", "make the file readable")
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Set{}, fault.Wrap(err, fault.BadConfig, path+" cannot be read", "make the file readable")
	}
	return parseFile(filepath.Base(path), raw)
}

func parseFile(name string, raw []byte) (Set, error) {
	var part Set
	if len(raw) > maxFileBytes {
		message := fmt.Sprintf("%s is larger than %d bytes", name, maxFileBytes)
		return part, fault.New(fault.BadConfig, message, "split the objects over several files")
	}
	if err := strictjson.Decode(raw, &part); err != nil {
		return Set{}, fault.New(fault.BadConfig, name+": "+err.Error(), "correct the file; lovagectl config show prints a valid one")
	}
	return part, nil
}

func (s *Set) merge(part Set, file string) {
	if s.files == nil {
		s.files = make(sourceFiles)
	}
	for _, object := range part.objects() {
		s.files[object.ref] = append(s.files[object.ref], file)
	}
	s.FailureDomains = append(s.FailureDomains, part.FailureDomains...)
	s.Workspaces = append(s.Workspaces, part.Workspaces...)
	s.Models = append(s.Models, part.Models...)
	s.Versions = append(s.Versions, part.Versions...)
	s.Services = append(s.Services, part.Services...)
	s.Rules = append(s.Rules, part.Rules...)
}

// sort sorts each list by name. Objects of the same name keep the order in which they were read.
func (s *Set) sort() {
	slices.SortStableFunc(s.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Versions, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
}
