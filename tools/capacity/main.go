// Command capacity fits lines through the results of "go test -bench", extrapolates them to the target size and writes the
// table between the markers of docs/CAPACITY.md. A JSON file defines the rows of the table.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

const (
	beginMarker = "<!-- capacity:begin -->"
	endMarker   = "<!-- capacity:end -->"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: capacity ROWS.json FIGURES.txt PAGE.md")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(rowsPath, measurementsPath, pagePath string) error {
	rows, err := readRows(rowsPath)
	if err != nil {
		return err
	}
	measurements, err := readMeasurements(measurementsPath)
	if err != nil {
		return err
	}
	table, err := render(rows, measurements)
	if err != nil {
		return err
	}
	return replaceTable(pagePath, table)
}

func readRows(path string) ([]row, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var rows []row
	if err := decoder.Decode(&rows); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return rows, nil
}

// measurements holds the measured points by seriesKey, that is by benchmark and metric.
type measurements map[string][]point

func seriesKey(bench, metric string) string {
	return strings.TrimPrefix(bench, "Benchmark") + " " + metric
}

func readMeasurements(path string) (measurements, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	measured := make(measurements)
	reader := benchfmt.NewReader(file, path)
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		measured.add(result)
	}
	return measured, reader.Err()
}

// add records the metrics of a benchmark whose name contains a size, such as Name/nodes=95. It ignores other benchmarks.
func (m measurements) add(result *benchfmt.Result) {
	base, parts := result.Name.Parts()
	for _, part := range parts {
		_, text, _ := strings.Cut(string(part), "=")
		size, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		for _, value := range result.Values {
			key := seriesKey(string(base), value.Unit)
			m[key] = append(m[key], point{x: size, y: value.Value})
		}
	}
}

func replaceTable(path, table string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	begin := bytes.Index(raw, []byte(beginMarker))
	end := bytes.Index(raw, []byte(endMarker))
	if begin < 0 || end < begin {
		return fmt.Errorf("%s has no markers %s and %s", path, beginMarker, endMarker)
	}
	var page bytes.Buffer
	page.Write(raw[:begin])
	page.WriteString(beginMarker + "\n\n" + table + "\n")
	page.Write(raw[end:])
	return os.WriteFile(path, page.Bytes(), 0o644)
}
