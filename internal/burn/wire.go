package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const maxResponseBytes = 64 << 20 // decompressed size

// MethodWindows is the control method that returns the statistics of an entry over time windows that end now. Its request
// is a WindowsRequest and its response a PackedResponse.
const MethodWindows = "burn.windows"

// WindowsRequest is the request of MethodWindows.
type WindowsRequest struct {
	WindowsS []int64 `json:"windows_s"` // seconds
}

// WindowsResponse holds the statistics of one entry.
type WindowsResponse struct {
	CoveredS []float64     `json:"covered_s"` // seconds of each requested window for which the entry was running
	Series   []SeriesStats `json:"series"`
}

// SeriesStats holds the statistics of one series, in the order of the requested windows.
type SeriesStats struct {
	Key
	Windows []EncodedStats `json:"windows"`
}

// EncodedStats is the wire format of the statistics of a time window.
type EncodedStats struct {
	Total      uint64                       `json:"total,omitempty"`
	Bad        uint64                       `json:"bad,omitempty"`
	Histograms map[Measure]EncodedHistogram `json:"histograms,omitempty"`
}

// EncodedHistogram lists the non-empty buckets of a histogram: a representative value and the count of each.
type EncodedHistogram struct {
	Values []int64 `json:"values"`
	Counts []int64 `json:"counts"`
}

// PackedResponse is a WindowsResponse encoded as gzip-compressed JSON. Compressing all histograms in one stream takes a
// fraction of the time and memory of one stream for each histogram.
type PackedResponse struct {
	Packed []byte `json:"packed"`
}

func (s *Stats) encode() EncodedStats {
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

// Decode returns the decoded statistics. It fails with fault.Corrupted if a histogram is invalid.
func (e EncodedStats) Decode() (*Stats, error) {
	stats := &Stats{Total: e.Total, Bad: e.Bad}
	for measure, encoded := range e.Histograms {
		if len(encoded.Values) != len(encoded.Counts) {
			return nil, errInvalidResponse(nil)
		}
		for i, value := range encoded.Values {
			if value < 0 || value > maxHistogramValue || encoded.Counts[i] < 1 {
				return nil, errInvalidResponse(nil)
			}
			if err := stats.histogram(measure).RecordValues(value, encoded.Counts[i]); err != nil {
				return nil, errInvalidResponse(err)
			}
		}
	}
	return stats, nil
}

// Pack compresses the response for transport.
func (a WindowsResponse) Pack() (PackedResponse, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(a); err != nil {
		return PackedResponse{}, err
	}
	if err := writer.Close(); err != nil {
		return PackedResponse{}, err
	}
	return PackedResponse{Packed: packed.Bytes()}, nil
}

// Unpack returns the decompressed response. It fails with fault.Corrupted if the data is invalid.
func (p PackedResponse) Unpack() (WindowsResponse, error) {
	var response WindowsResponse
	reader, err := gzip.NewReader(bytes.NewReader(p.Packed))
	if err != nil {
		return response, errInvalidResponse(err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxResponseBytes)).Decode(&response); err != nil {
		return response, errInvalidResponse(err)
	}
	return response, nil
}

func errInvalidResponse(cause error) error {
	const message, remedy = "the burn statistics cannot be decoded", "run compatible versions of lovagectl and the entries"
	if cause == nil {
		return fault.New(fault.Corrupted, message, remedy)
	}
	return fault.Wrap(cause, fault.Corrupted, message, remedy)
}
