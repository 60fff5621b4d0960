package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		points []point
		scale  string
		x      float64
		want   float64
		fails  bool
	}{
		{"line", []point{{1, 3}, {2, 5}, {4, 9}}, "linear", 10, 21, false},
		{"logarithm", []point{{2, 1}, {4, 2}, {8, 3}}, "log", 1024, 10, false},
		{"two sizes only", []point{{1, 1}, {2, 2}, {2, 2}}, "linear", 3, 0, true},
	}
	for _, c := range cases {
		fitted, err := fit(c.points, c.scale)
		if (err != nil) != c.fails {
			t.Errorf("%s: error %v", c.name, err)
			continue
		}
		if err == nil && math.Abs(fitted.evaluate(c.x, c.scale)-c.want) > 1e-9 {
			t.Errorf("%s: %v at %v, want %v", c.name, fitted.evaluate(c.x, c.scale), c.x, c.want)
		}
	}
}

func TestRenderReadsBenchmarkOutput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures.txt")
	output := "BenchmarkPick/x=1-10 1 5 ns/op 10 bytes\nBenchmarkPick/x=2-10 1 5 ns/op 20 bytes\nBenchmarkPick/x=4-10 1 5 ns/op 40 bytes\n"
	if err := os.WriteFile(path, []byte(output), 0o600); err != nil {
		t.Fatal(err)
	}
	measured, err := readMeasurements(path)
	if err != nil {
		t.Fatal(err)
	}
	table, err := render([]row{{Role: "entry", Bench: "BenchmarkPick", Metric: "bytes", At: 600, Unit: "B", Budget: 5000}}, measured)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(table, "6000 B") || !strings.Contains(table, "**exceeds**") {
		t.Errorf("the row lacks its value or its budget status:\n%s", table)
	}
}
