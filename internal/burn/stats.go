// Package burn measures burn rates of service-level objectives. Each entry records the outcomes and latencies of requests
// in time slots, by service and workspace. lovagectl merges the statistics of all entries and compares them with the
// objectives.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Measure identifies the quantity that a histogram holds.
type Measure string

// Measures, each with the unit of its histogram.
const (
	MeasureFirstToken     Measure = "first_token"    // milliseconds
	MeasureBetweenTokens  Measure = "between_tokens" // milliseconds
	MeasureTimeToReplicas Measure = "replicas"       // seconds
)

const (
	maxHistogramValue = 600_000 // in the unit of the measure; larger values are recorded as this one
	significantDigits = 2       // precision of a histogram, in decimal digits
)

// Key identifies a series. The series for the time to replicas of a service has no workspace.
type Key struct {
	Service   core.Service   `json:"service"`
	Workspace core.Workspace `json:"workspace,omitempty"`
}

// Stats holds the request counts and histograms of a period of time. The zero value is empty and ready to use.
type Stats struct {
	Total      uint64
	Bad        uint64 // requests that failed through no fault of the caller
	histograms map[Measure]*hdrhistogram.PackedHistogram
}

// record adds a value to the histogram of the measure. Values outside the range are clamped to it.
func (s *Stats) record(measure Measure, value int64) {
	_ = s.histogram(measure).RecordValue(min(max(value, 0), maxHistogramValue))
}

func (s *Stats) histogram(measure Measure) *hdrhistogram.PackedHistogram {
	if s.histograms == nil {
		s.histograms = make(map[Measure]*hdrhistogram.PackedHistogram)
	}
	if s.histograms[measure] == nil {
		s.histograms[measure] = hdrhistogram.NewPacked(1, maxHistogramValue, significantDigits)
	}
	return s.histograms[measure]
}

// Merge adds the counts and histograms of other.
func (s *Stats) Merge(other *Stats) {
	s.Total += other.Total
	s.Bad += other.Bad
	for measure, histogram := range other.histograms {
		s.histogram(measure).Merge(histogram)
	}
}

// CountAbove returns the number of recorded values of the measure and the number of those above the limit, which is in the
// unit of the measure.
func (s *Stats) CountAbove(measure Measure, limit int64) (total, above uint64) {
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

// bytes returns the approximate memory use.
func (s *Stats) bytes() int {
	const slotOverhead = 160 // bytes, including the map but no histograms
	total := slotOverhead
	for _, histogram := range s.histograms {
		total += histogram.GetMemorySize()
	}
	return total
}

// Observation is the outcome and timing of one request.
type Observation struct {
	Bad        bool            // the request failed through no fault of the caller
	FirstToken time.Duration   // 0 if the response was not a stream
	TokenGaps  []time.Duration // time between successive chunks of a stream
}
