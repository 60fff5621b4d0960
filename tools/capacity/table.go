package main

import (
	"fmt"
	"math"
	"strings"
)

// row defines one row of the table.
type row struct {
	Role      string  `json:"role"`
	Quantity  string  `json:"quantity"`
	Bench     string  `json:"bench"`
	Metric    string  `json:"metric"`
	Scale     string  `json:"scale"` // "linear" or "log"
	Size      string  `json:"size"`  // unit of x
	At        float64 `json:"at"`    // target value of x
	Times     float64 `json:"times"` // factor applied to the result; 0 means 1
	Unit      string  `json:"unit"`
	Budget    float64 `json:"budget"` // in Unit; 0 for none
	Mechanism string  `json:"mechanism"`
	Command   string  `json:"command"`
}

// render returns the table in Markdown. A row with too few measurements is marked as not measured.
func render(rows []row, measured measurements) (string, error) {
	var out strings.Builder
	out.WriteString("| role | quantity | measured line | at | value | budget | | mechanism | command |\n")
	out.WriteString("|---|---|---|---:|---:|---:|---|---|---|\n")
	for _, r := range rows {
		out.WriteString(r.render(measured[seriesKey(r.Bench, r.Metric)]))
	}
	return out.String(), nil
}

func (r row) render(points []point) string {
	fitted, err := fit(points, r.Scale)
	if err != nil {
		return fmt.Sprintf("| %s | %s | not measured: %v | %s %s | | %s | | %s | `%s` |\n", r.Role, r.Quantity, err, formatNumber(r.At), r.Size, r.budget(), r.Mechanism, r.Command)
	}
	value := fitted.evaluate(r.At, r.Scale) * r.factor()
	measured := fmt.Sprintf("%s %+.3g per %s, R² %.2f", formatNumber(fitted.base), fitted.slope, r.slopeUnit(), fitted.r2)
	return fmt.Sprintf("| %s | %s | %s | %s %s | %s %s | %s | %s | %s | `%s` |\n",
		r.Role, r.Quantity, measured, formatNumber(r.At), r.Size, formatNumber(value), r.Unit, r.budget(), r.budgetStatus(value), r.Mechanism, r.Command)
}

func (r row) factor() float64 {
	if r.Times == 0 {
		return 1
	}
	return r.Times
}

func (r row) slopeUnit() string {
	if r.Scale == "log" {
		return "doubling of " + r.Size
	}
	return r.Size
}

func (r row) budget() string {
	if r.Budget == 0 {
		return ""
	}
	return formatNumber(r.Budget) + " " + r.Unit
}

func (r row) budgetStatus(value float64) string {
	if r.Budget == 0 {
		return ""
	}
	if value > r.Budget {
		return "**exceeds**"
	}
	return "within"
}

// formatNumber formats a value with about four digits and without an exponent.
func formatNumber(value float64) string {
	size := math.Abs(value)
	switch {
	case size >= 1000:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}
