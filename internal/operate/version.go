package operate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// uploadProgressTimeout is how long the origin may neither read nor answer.
const uploadProgressTimeout = time.Minute

// AddVersion uploads weights to the origin and their manifest to the object store, and prints the version's ID. The path
// names a file, or a folder whose files are read in order of name. The weights are read only once, so that the manifest
// describes exactly the bytes that were uploaded.
func (o *Operator) AddVersion(ctx context.Context, model core.Model, object, path string, chunkBytes int64) error {
	if chunkBytes < 1 {
		return fault.New(fault.BadRequest, "a chunk must have at least one byte", "name another --chunk-bytes")
	}
	files, err := weights.ListFiles(path)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the weights cannot be read", "name a readable file or a folder of files")
	}
	builder := weights.NewBuilder(model, object, chunkBytes, files)
	if err := o.uploadWeights(ctx, object, path, files, builder); err != nil {
		return err
	}
	manifest, err := builder.Manifest()
	if err != nil {
		return err
	}
	encoded, version, err := manifest.Encode()
	if err != nil {
		return err
	}
	if err := o.Platform.PutObject(ctx, weights.ManifestPrefix+string(version), encoded); err != nil {
		return err
	}
	return o.printf("%s\n", version)
}

func (o *Operator) uploadWeights(ctx context.Context, object, path string, files []weights.File, copyTo io.Writer) error {
	reader, err := openFiles(path, files)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the weights cannot be read", "name a readable file or a folder of files")
	}
	defer reader.Close()
	client := stream.NewClient(uploadProgressTimeout, 1)
	response, err := client.Do(ctx, stream.Request{
		Method:      http.MethodPut,
		Address:     o.Addresses.OriginAddress,
		Target:      (&url.URL{Path: "/weights/" + object}).EscapedPath(),
		Content:     io.TeeReader(reader, copyTo),
		ContentSize: weights.TotalBytes(files),
		NewConn:     true,
	})
	if err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "the upload to the origin failed", "try again")
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return fault.New(fault.PlatformUnavailable, fmt.Sprintf("the origin answered the upload with status %d", response.Status), "try again")
	}
	if err := response.ReadToEnd(); err != nil {
		return fault.Wrap(err, fault.PlatformUnavailable, "the origin's answer to the upload broke off", "try again")
	}
	return nil
}

// multiFileReader reads files one after the other and closes all of them.
type multiFileReader struct {
	io.Reader
	files []*os.File
}

// Close implements io.Closer.
func (r *multiFileReader) Close() error {
	for _, file := range r.files {
		_ = file.Close()
	}
	return nil
}

func openFiles(path string, files []weights.File) (*multiFileReader, error) {
	combined := &multiFileReader{}
	readers := make([]io.Reader, 0, len(files))
	for _, info := range files {
		name := path
		if info.Name != "" {
			name = filepath.Join(path, info.Name)
		}
		file, err := os.Open(name)
		if err != nil {
			_ = combined.Close()
			return nil, err
		}
		combined.files = append(combined.files, file)
		readers = append(readers, io.LimitReader(file, info.SizeBytes))
	}
	combined.Reader = io.MultiReader(readers...)
	return combined, nil
}
