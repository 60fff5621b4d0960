package main

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		points []point
		scale  string
		at     float64
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
		if err == nil && math.Abs(fitted.at(c.at, c.scale)-c.want) > 1e-9 {
			t.Errorf("%s: %v at %v, want %v", c.name, fitted.at(c.at, c.scale), c.at, c.want)
		}
	}
}
