package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/fault"
)

func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestReadFolderNamesEveryInvalidFile(t *testing.T) {
	folder := writeFiles(t, map[string]string{
		"a.json":    `{"models": [{"nam": "x"}]}`,
		"b.json":    "{}\n{}",
		"c.json":    `{"rules": "x"}`,
		"d.json":    `{"models": [], "models": []}`,
		"e.json":    strings.Repeat(" ", maxFileBytes+1),
		"notes.txt": "not read",
	})
	_, err := ReadFolder(folder)
	if err == nil {
		t.Fatal("invalid files were accepted")
	}
	for _, want := range []string{
		"a.json: line 1: nam: there is no such field",
		"b.json: line 2: unexpected data after the end of the value",
		"c.json: line 1: rules: found a JSON string, expected a list",
		"d.json: line 1: models: the field appears twice in one object",
		"e.json is larger than 8388608 bytes",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in:\n%v", want, err)
		}
	}
}

func TestReadFolderWithoutFiles(t *testing.T) {
	if _, err := ReadFolder(t.TempDir()); !fault.Is(err, fault.BadConfig) || fault.Remedy(err) == "" {
		t.Fatalf("got %v", err)
	}
}

func TestProblemsNameTheFile(t *testing.T) {
	folder := writeFiles(t, map[string]string{
		"one.json": `{"models": [{"name": "m"}]}`,
		"two.json": `{"models": [{"name": "m"}], "versions": [{"name": "v", "model": "m", "manifest": ""}]}`,
	})
	set, err := ReadFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(problemStrings(FindProblems(set).Problems), "\n")
	for _, want := range []string{
		`one.json: model "m": name: the name is used more than once, in ["one.json" "two.json"]; rename`,
		`two.json: version "v": manifest: "" is not a SHA-256 digest`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is not in:\n%s", want, got)
		}
	}
}

func FuzzReadFile(f *testing.F) {
	raw, _, err := Encode(validSet())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		set, err := parseFile("fuzz.json", raw)
		if err != nil {
			if !strings.Contains(err.Error(), "fuzz.json") || !fault.Is(err, fault.BadConfig) {
				t.Fatalf("the error does not name the file or is of another kind: %v", err)
			}
			return
		}
		_ = FindProblems(set)
		encoded, digest, err := Encode(set)
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := Decode(1, digest, encoded)
		if err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(snapshot.Set)
		if err != nil || !bytes.Equal(again, encoded) {
			t.Fatalf("published as %s and read as %s (%v)", encoded, again, err)
		}
	})
}
