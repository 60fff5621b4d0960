package main

import (
	"fmt"
	"math"
)

// point is a measured value y at a size x.
type point struct{ x, y float64 }

// line is the fitted line y = base + slope * x with its coefficient of determination.
type line struct{ base, slope, r2 float64 }

const minSizes = 3 // distinct sizes required for a fit

// fit returns the least-squares line through the points. With the scale "log" it fits against the binary logarithm of x.
// It fails if the points have fewer than minSizes distinct sizes.
func fit(points []point, scale string) (line, error) {
	sizes := make(map[float64]bool)
	for _, p := range points {
		sizes[p.x] = true
	}
	if len(sizes) < minSizes {
		return line{}, fmt.Errorf("%d sizes were measured, %d are needed", len(sizes), minSizes)
	}
	return leastSquares(applyScale(points, scale)), nil
}

func applyScale(points []point, scale string) []point {
	out := make([]point, len(points))
	for i, p := range points {
		out[i] = point{x: scaleX(p.x, scale), y: p.y}
	}
	return out
}

func scaleX(x float64, scale string) float64 {
	if scale == "log" {
		return math.Log2(x)
	}
	return x
}

func leastSquares(points []point) line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fitted := line{slope: slope, base: (sy - slope*sx) / n}
	fitted.r2 = fitted.rSquared(points, sy/n)
	return fitted
}

// rSquared returns the coefficient of determination, or 1 if all points have the same value.
func (l line) rSquared(points []point, mean float64) float64 {
	var residual, total float64
	for _, p := range points {
		residual += math.Pow(p.y-l.base-l.slope*p.x, 2)
		total += math.Pow(p.y-mean, 2)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// evaluate returns the value of the line at size x, which the scale transforms as in fit.
func (l line) evaluate(x float64, scale string) float64 {
	return l.base + l.slope*scaleX(x, scale)
}
