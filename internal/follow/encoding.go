package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// maxDecompressedBytes limits the size of a decompressed value. It is twice the largest response of the store, from which a
// configuration and endpoints are read, so that a sidecar's machine has room for it.
const maxDecompressedBytes = 16 << 20

// encodedConfiguration is a configuration in the form in which delegates send it: gzip-compressed JSON. Routes are so
// similar that compression saves about nine tenths of the bytes on the links between regions.
type encodedConfiguration []byte

// encodeConfiguration encodes and compresses the configuration.
func encodeConfiguration(configuration *catalog.Configuration) (encodedConfiguration, error) {
	return compress(configuration, "the configuration")
}

// decode returns the configuration, or nil if e is empty. It returns fault.Corrupted if e cannot be decoded.
func (e encodedConfiguration) decode() (*catalog.Configuration, error) {
	if len(e) == 0 {
		return nil, nil
	}
	var configuration catalog.Configuration
	if err := decompress(e, &configuration); err != nil {
		return nil, err
	}
	return &configuration, nil
}

// packedEndpoints is a list of endpoints as gzip-compressed JSON, for the same reason.
type packedEndpoints []byte

// minPackedEndpoints is the number of endpoints from which compression saves more bytes than it costs processor time.
const minPackedEndpoints = 4

// packEndpoints encodes and compresses the endpoints. It returns nil if they are too few.
func packEndpoints(endpoints []*catalog.Endpoint) (packedEndpoints, error) {
	if len(endpoints) < minPackedEndpoints {
		return nil, nil
	}
	return compress(endpoints, "the endpoints")
}

// unpack returns the endpoints. It returns fault.Corrupted if they cannot be decoded.
func (p packedEndpoints) unpack() ([]*catalog.Endpoint, error) {
	if len(p) == 0 {
		return nil, nil
	}
	var endpoints []*catalog.Endpoint
	err := decompress(p, &endpoints)
	return endpoints, err
}

// gzipWriters holds writers for reuse, since each has some hundred kilobytes of buffers.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func compress(value any, name string) ([]byte, error) {
	var out bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&out)
	err := json.NewEncoder(writer).Encode(value)
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, name+" cannot be encoded", "report this")
	}
	return out.Bytes(), nil
}

func decompress(raw []byte, dst any) error {
	reader, err := gzip.NewReader(bytes.NewReader(raw))
	if err == nil {
		err = json.NewDecoder(io.LimitReader(reader, maxDecompressedBytes)).Decode(dst)
	}
	if err != nil {
		return fault.Wrap(err, fault.Corrupted, "a delegate's response cannot be decoded", "none needed; another delegate or the store is read instead")
	}
	return nil
}
