package main

import (
	"bufio"
	"strings"
	"testing"
)

func TestReport(t *testing.T) {
	const (
		passA  = `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
		failB  = `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n"
		failC  = `{"Action":"fail","Package":"p","Test":"TestC"}` + "\n"
		failP  = `{"Action":"fail","Package":"p"}` + "\n"
		panicB = `{"Action":"output","Package":"p","Test":"TestB","Output":"panic: late\n"}` + "\n"
		failS  = `{"Action":"fail","Package":"p","Test":"TestS"}` + "\n"
		failS1 = `{"Action":"fail","Package":"p","Test":"TestS/1"}` + "\n"
		failS2 = `{"Action":"fail","Package":"p","Test":"TestS/2"}` + "\n"
		wroteS = `{"Action":"output","Package":"p","Test":"TestS","Output":"    s_test.go:3: wrong\n"}` + "\n"
		broken = `{"Action":"build-fail","ImportPath":"p"}` + "\n"
	)
	cases := []struct {
		name, events                 string
		failed, knownFailures, fixed int
	}{
		{"all pass", passA, 0, 0, 0},
		{"a listed failure does not count", passA + failB + failP, 0, 1, 0},
		{"an unlisted failure counts", passA + failC + failP, 1, 0, 0},
		{"a listed and an unlisted failure", failB + failC + failP, 1, 1, 0},
		{"a panic in a listed test counts", panicB + failB + failP, 1, 1, 0},
		{"a package failure without a failed test counts", passA + failP, 1, 0, 0},
		{"a build failure counts", passA + broken, 1, 0, 0},
		{"a listed subtest and its parent", failS1 + failS + failP, 0, 1, 0},
		{"an unlisted subtest beside a listed one", failS1 + failS2 + failS + failP, 2, 1, 0},
		{"a parent that fails by itself, too", failS1 + wroteS + failS + failP, 1, 1, 0},
		{"a parent alone", failS + failP, 1, 0, 0},
		{"a listed test that passes is reported", `{"Action":"pass","Package":"p","Test":"TestB"}`, 0, 0, 1},
	}
	for _, c := range cases {
		r := &report{listed: map[string]bool{"p.TestB": true, "p.TestS/1": true}, output: make(map[string][]string)}
		r.read(bufio.NewReader(strings.NewReader(c.events)))
		if len(r.failed) != c.failed || len(r.knownFailures) != c.knownFailures || len(r.fixed) != c.fixed {
			t.Errorf("%s: failed %v, known failures %v, fixed %v", c.name, r.failed, r.knownFailures, r.fixed)
		}
	}
}
