package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// maxConfigurationBytes limits the size of a decompressed configuration. It has room for more than a hundred thousand
// routes.
const maxConfigurationBytes = 64 << 20

// encodedConfiguration is a configuration in the form in which delegates send it: gzip-compressed JSON. Routes are so
// similar that compression saves about nine tenths of the bytes on the links between regions.
type encodedConfiguration []byte

// encodeConfiguration encodes and compresses the configuration.
func encodeConfiguration(configuration *catalog.Configuration) (encodedConfiguration, error) {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	err := json.NewEncoder(writer).Encode(configuration)
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the configuration cannot be encoded", "report this")
	}
	return out.Bytes(), nil
}

// decode returns the configuration, or nil if e is empty. It returns fault.Corrupted if e cannot be decoded.
func (e encodedConfiguration) decode() (*catalog.Configuration, error) {
	if len(e) == 0 {
		return nil, nil
	}
	var configuration catalog.Configuration
	reader, err := gzip.NewReader(bytes.NewReader(e))
	if err == nil {
		err = json.NewDecoder(io.LimitReader(reader, maxConfigurationBytes)).Decode(&configuration)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupted, "a delegate's configuration cannot be decoded", "none needed; another delegate or the store is read instead")
	}
	return &configuration, nil
}
