package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// maxConfigurationBytes bounds a configuration that is unpacked: some hundred thousand routes.
const maxConfigurationBytes = 64 << 20

// packed is a configuration on its way between processes. Routes resemble one another, and packed they take about a
// tenth of the link between regions.
type packed []byte

func pack(configuration *catalog.Configuration) (packed, error) {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	err := json.NewEncoder(writer).Encode(configuration)
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the configuration cannot be packed", "report this")
	}
	return out.Bytes(), nil
}

// unpack returns nil for an empty one.
func (p packed) unpack() (*catalog.Configuration, error) {
	if len(p) == 0 {
		return nil, nil
	}
	var configuration catalog.Configuration
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err == nil {
		err = json.NewDecoder(io.LimitReader(reader, maxConfigurationBytes)).Decode(&configuration)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupted, "a delegate's configuration cannot be read", "another delegate or the store is asked")
	}
	return &configuration, nil
}
