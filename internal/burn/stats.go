// Package burn measures service-level objectives. Entries record what callers got in slots of time, by service and
// workspace; lovagectl merges the slots of all entries and compares them with the objectives.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Measure names what a histogram holds.
type Measure string

// The measures, each with the unit of its histogram.
const (
	FirstToken            Measure = "first_token"    // milliseconds
	BetweenTokens         Measure = "between_tokens" // milliseconds
	MeasureTimeToReplicas Measure = "replicas"       // seconds
)

const (
	maxHistogramValue = 600_000 // largest value that a histogram tells apart, in the measure's unit
	significantDigits = 2       // significant digits of a histogram
)

// Key names a series. The time to replicas is recorded under no workspace.
type Key struct {
	Service   core.Service   `json:"service"`
	Workspace core.Workspace `json:"workspace,omitempty"`
}

// Sum holds the requests and the histograms of a stretch of time. The zero value is empty.
type Sum struct {
	Total      uint64
	Bad        uint64 // requests without a whole answer, by no fault of their callers
	histograms map[Measure]*hdrhistogram.PackedHistogram
}

// record adds a value of the measure; what exceeds the histogram counts as its largest value.
func (s *Sum) record(measure Measure, value int64) {
	_ = s.histogram(measure).RecordValue(min(max(value, 0), maxHistogramValue))
}

func (s *Sum) histogram(measure Measure) *hdrhistogram.PackedHistogram {
	if s.histograms == nil {
		s.histograms = make(map[Measure]*hdrhistogram.PackedHistogram)
	}
	if s.histograms[measure] == nil {
		s.histograms[measure] = hdrhistogram.NewPacked(1, maxHistogramValue, significantDigits)
	}
	return s.histograms[measure]
}

// Merge adds another sum to this one.
func (s *Sum) Merge(other *Sum) {
	s.Total += other.Total
	s.Bad += other.Bad
	for measure, histogram := range other.histograms {
		s.histogram(measure).Merge(histogram)
	}
}

// Count returns the number of the measure's values, and how many of them are above the limit.
func (s *Sum) Count(measure Measure, limit int64) (total, above uint64) {
	histogram := s.histograms[measure]
	if histogram == nil {
		return 0, 0
	}
	histogram.ForEachBucket(func(value, count int64) bool {
		total += uint64(count)
		if value > limit {
			above += uint64(count)
		}
		return true
	})
	return total, above
}

// bytes returns the memory that the sum takes.
func (s *Sum) bytes() int {
	const slotOverhead = 160 // bytes of a slot without histograms, with its map
	total := slotOverhead
	for _, histogram := range s.histograms {
		total += histogram.GetMemorySize()
	}
	return total
}

// Observation is what one request contributes.
type Observation struct {
	Bad        bool
	FirstToken time.Duration   // 0 for an answer that is no stream
	Between    []time.Duration // between successive parts of a stream
}
