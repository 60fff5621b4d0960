// Command knownred reads the output of "go test -json" and decides the verdict: every failure counts but those listed
// in KNOWN-RED.txt, which are printed. A listed test that passes is pointed out.
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

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type verdict struct {
	known   map[string]bool
	output  map[string][]string
	passed  int
	failed  []string
	red     []string
	mended  []string
	skipped int
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	v := &verdict{known: known, output: make(map[string][]string)}
	v.read(bufio.NewReader(os.Stdin))
	v.print()
	if len(v.failed) > 0 || v.passed == 0 {
		os.Exit(1)
	}
}

// readKnown returns the tests listed as known red: the first word of each line that is no comment, as PACKAGE.TEST.
func readKnown(path string) (map[string]bool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, line := range strings.Split(string(raw), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		known[words[0]] = true
	}
	return known, nil
}

func (v *verdict) read(from *bufio.Reader) {
	decoder := bufio.NewScanner(from)
	decoder.Buffer(make([]byte, 1<<20), 64<<20)
	for decoder.Scan() {
		var e event
		if err := json.Unmarshal(decoder.Bytes(), &e); err != nil {
			fmt.Println(decoder.Text())
			continue
		}
		v.take(e)
	}
}

func (v *verdict) take(e event) {
	name := e.Package
	if e.Test != "" {
		name = e.Package + "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		v.output[name] = append(v.output[name], e.Output)
	case "skip":
		if e.Test != "" {
			v.skipped++
		}
	case "pass":
		v.pass(name, e.Test)
	case "fail", "build-fail":
		v.fail(name, e)
	}
}

func (v *verdict) pass(name, test string) {
	if test == "" {
		return
	}
	v.passed++
	if v.listed(name) {
		v.mended = append(v.mended, name)
	}
	delete(v.output, name)
}

func (v *verdict) fail(name string, e event) {
	if v.listed(name) {
		v.red = append(v.red, name)
		return
	}
	if e.Test == "" && v.explained(e.Package) {
		return
	}
	v.failed = append(v.failed, name)
	fmt.Print(strings.Join(v.output[name], ""))
}

// listed also covers the subtests of a listed test.
func (v *verdict) listed(name string) bool {
	for known := range v.known {
		if strings.HasSuffix(name, known) || strings.Contains(name, known+"/") {
			return true
		}
	}
	return false
}

// explained tells whether a package's failure follows from tests that were counted or listed already. A panic is never
// explained, since it keeps the package's other tests from running.
func (v *verdict) explained(pkg string) bool {
	if v.panicked(pkg) {
		return false
	}
	for _, name := range slices.Concat(v.red, v.failed) {
		if strings.HasPrefix(name, pkg+".") {
			return true
		}
	}
	return false
}

func (v *verdict) panicked(pkg string) bool {
	for name, lines := range v.output {
		if name != pkg && !strings.HasPrefix(name, pkg+".") {
			continue
		}
		if strings.Contains(strings.Join(lines, ""), "panic: ") {
			return true
		}
	}
	return false
}

func (v *verdict) print() {
	sort.Strings(v.failed)
	sort.Strings(v.red)
	for _, name := range v.red {
		fmt.Println("known red:", name)
	}
	for _, name := range v.mended {
		fmt.Println("listed in KNOWN-RED.txt and passes now, take it out:", name)
	}
	for _, name := range v.failed {
		fmt.Println("FAILED:", name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", v.passed, len(v.failed), v.skipped)
}
