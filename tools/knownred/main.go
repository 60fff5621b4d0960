// Command knownred reads the output of "go test -json" and exits with an error if a test fails that KNOWN-RED.txt does not
// list, or if no test passes. It prints the listed tests that failed, and those that pass and should be removed from
// the list.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
)

// event is a line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type report struct {
	listed        map[string]bool     // tests in KNOWN-RED.txt
	output        map[string][]string // by test, or by package for output outside tests
	passed        int
	failed        []string
	knownFailures []string
	fixed         []string // listed tests that pass
	skipped       int
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	listed, err := readList(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &report{listed: listed, output: make(map[string][]string)}
	r.read(bufio.NewReader(os.Stdin))
	r.print()
	if len(r.failed) > 0 || r.passed == 0 {
		os.Exit(1)
	}
}

// readList returns the tests listed in the file, as PACKAGE.TEST. The name is the first word of each line; lines that start
// with # are comments.
func readList(path string) (map[string]bool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]bool)
	for _, line := range strings.Split(string(raw), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		listed[words[0]] = true
	}
	return listed, nil
}

func (r *report) read(input *bufio.Reader) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 1<<20), 64<<20)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.handle(e)
	}
}

func (r *report) handle(e event) {
	name := e.Package
	if e.Test != "" {
		name = e.Package + "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "pass":
		r.pass(name, e.Test)
	case "fail", "build-fail":
		r.fail(name, e)
	}
}

func (r *report) pass(name, test string) {
	if test == "" {
		return
	}
	r.passed++
	if r.isListed(name) {
		r.fixed = append(r.fixed, name)
	}
	delete(r.output, name)
}

func (r *report) fail(name string, e event) {
	if r.isListed(name) {
		r.knownFailures = append(r.knownFailures, name)
		return
	}
	if e.Test == "" && r.causedByTests(e.Package) || e.Test != "" && r.causedBySubtests(name) {
		return
	}
	r.failed = append(r.failed, name)
	fmt.Print(strings.Join(r.output[name], ""))
}

// isListed reports whether the test, or a test of which it is a subtest, is listed.
func (r *report) isListed(name string) bool {
	for test := range r.listed {
		if strings.HasSuffix(name, test) || strings.Contains(name, test+"/") {
			return true
		}
	}
	return false
}

// causedBySubtests reports whether the failure of a test follows from those of listed subtests alone: the test itself has written
// nothing, and no other subtest has failed.
func (r *report) causedBySubtests(name string) bool {
	isSubtest := func(other string) bool { return strings.HasPrefix(other, name+"/") }
	if !slices.ContainsFunc(r.knownFailures, isSubtest) || slices.ContainsFunc(r.failed, isSubtest) {
		return false
	}
	return !slices.ContainsFunc(r.output[name], func(line string) bool {
		line = strings.TrimSpace(line)
		return line != "" && !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL")
	})
}

// causedByTests reports whether the failure of a package follows from test failures that are already counted. After a
// panic it returns false, because a panic keeps the other tests of the package from running.
func (r *report) causedByTests(pkg string) bool {
	if r.panicked(pkg) {
		return false
	}
	for _, name := range slices.Concat(r.knownFailures, r.failed) {
		if strings.HasPrefix(name, pkg+".") {
			return true
		}
	}
	return false
}

func (r *report) panicked(pkg string) bool {
	for name, lines := range r.output {
		if name != pkg && !strings.HasPrefix(name, pkg+".") {
			continue
		}
		if strings.Contains(strings.Join(lines, ""), "panic: ") {
			return true
		}
	}
	return false
}

func (r *report) print() {
	sort.Strings(r.failed)
	sort.Strings(r.knownFailures)
	for _, name := range r.knownFailures {
		fmt.Println("known red:", name)
	}
	for _, name := range r.fixed {
		fmt.Println("listed in KNOWN-RED.txt and passes now, take it out:", name)
	}
	for _, name := range r.failed {
		fmt.Println("FAILED:", name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
}
