package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const maxAnswerBytes = 64 << 20 // bytes of an answer after unpacking

// MethodWindows asks an entry for its sums over windows of time that end now. Its answer is a PackedAnswer.
const MethodWindows = "burn.windows"

// WindowsRequest is the request of MethodWindows.
type WindowsRequest struct {
	WindowsS []int64 `json:"windows_s"` // seconds
}

// WindowsAnswer holds an entry's sums.
type WindowsAnswer struct {
	CoveredS []float64      `json:"covered_s"` // seconds of each window that the entry has recorded
	Series   []SeriesAnswer `json:"series"`
}

// SeriesAnswer holds one series' sums, in order of the windows that were asked for.
type SeriesAnswer struct {
	Key
	Windows []EncodedStats `json:"windows"`
}

// EncodedStats is a sum between processes.
type EncodedStats struct {
	Total      uint64                       `json:"total,omitempty"`
	Bad        uint64                       `json:"bad,omitempty"`
	Histograms map[Measure]EncodedHistogram `json:"histograms,omitempty"`
}

// EncodedHistogram lists a histogram's buckets in use by a value of each and its count.
type EncodedHistogram struct {
	Values []int64 `json:"values"`
	Counts []int64 `json:"counts"`
}

// PackedAnswer is a WindowsAnswer as JSON in gzip. One stream for all histograms takes a small part of the time and the
// memory that one for each would.
type PackedAnswer struct {
	Packed []byte `json:"packed"`
}

func (s *Sum) encode() EncodedStats {
	encoded := EncodedStats{Total: s.Total, Bad: s.Bad}
	for measure, histogram := range s.histograms {
		if encoded.Histograms == nil {
			encoded.Histograms = make(map[Measure]EncodedHistogram)
		}
		encoded.Histograms[measure] = encodeHistogram(histogram)
	}
	return encoded
}

func encodeHistogram(histogram *hdrhistogram.PackedHistogram) EncodedHistogram {
	var encoded EncodedHistogram
	histogram.ForEachBucket(func(value, count int64) bool {
		encoded.Values = append(encoded.Values, value)
		encoded.Counts = append(encoded.Counts, count)
		return true
	})
	return encoded
}

// Decode returns the sum that was encoded.
func (e EncodedStats) Decode() (*Sum, error) {
	stats := &Sum{Total: e.Total, Bad: e.Bad}
	for measure, encoded := range e.Histograms {
		if len(encoded.Values) != len(encoded.Counts) {
			return nil, errInvalidAnswer(nil)
		}
		for i, value := range encoded.Values {
			if value < 0 || value > maxHistogramValue || encoded.Counts[i] < 1 {
				return nil, errInvalidAnswer(nil)
			}
			if err := stats.histogram(measure).RecordValues(value, encoded.Counts[i]); err != nil {
				return nil, errInvalidAnswer(err)
			}
		}
	}
	return stats, nil
}

// Pack packs the answer for the way between processes.
func (a WindowsAnswer) Pack() (PackedAnswer, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(a); err != nil {
		return PackedAnswer{}, err
	}
	if err := writer.Close(); err != nil {
		return PackedAnswer{}, err
	}
	return PackedAnswer{Packed: packed.Bytes()}, nil
}

// Unpack returns the answer that was packed.
func (p PackedAnswer) Unpack() (WindowsAnswer, error) {
	var answer WindowsAnswer
	reader, err := gzip.NewReader(bytes.NewReader(p.Packed))
	if err != nil {
		return answer, errInvalidAnswer(err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, errInvalidAnswer(err)
	}
	return answer, nil
}

func errInvalidAnswer(cause error) error {
	const message, remedy = "the sums cannot be read", "run lovagectl and the entries in versions that go together"
	if cause == nil {
		return fault.New(fault.Corrupted, message, remedy)
	}
	return fault.Wrap(cause, fault.Corrupted, message, remedy)
}
