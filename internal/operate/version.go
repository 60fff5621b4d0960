package operate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// AddVersion uploads the weights in the file, or in the files of a folder in order of name, to the origin and their
// manifest to the object store, and prints the version's identity. The weights are read once, so that the manifest
// names the very bytes that were uploaded.
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
	if err := o.Platform.PutObject(ctx, weights.ManifestFolder+string(version), encoded); err != nil {
		return err
	}
	return o.printf("%s\n", version)
}

func (o *Operator) uploadWeights(ctx context.Context, object, path string, files []weights.File, copyTo io.Writer) error {
	reader, err := openAll(path, files)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the weights cannot be read", "name a readable file or a folder of files")
	}
	defer reader.Close()
	url := "http://" + o.Addresses.OriginAddress + "/weights/" + object
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, io.TeeReader(reader, copyTo))
	if err != nil {
		return err
	}
	request.ContentLength = weights.TotalBytes(files)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.PlatformDown, "the origin took no upload", "try again")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fault.New(fault.PlatformDown, fmt.Sprintf("the origin answered the upload with status %d", answer.StatusCode), "try again")
	}
	return nil
}

// fileChain reads files one after the other.
type fileChain struct {
	io.Reader
	open []*os.File
}

// Close implements io.Closer.
func (c *fileChain) Close() error {
	for _, file := range c.open {
		_ = file.Close()
	}
	return nil
}

func openAll(path string, files []weights.File) (*fileChain, error) {
	chain := &fileChain{}
	readers := make([]io.Reader, 0, len(files))
	for _, entry := range files {
		name := path
		if entry.Name != "" {
			name = filepath.Join(path, entry.Name)
		}
		file, err := os.Open(name)
		if err != nil {
			_ = chain.Close()
			return nil, err
		}
		chain.open = append(chain.open, file)
		readers = append(readers, io.LimitReader(file, entry.SizeBytes))
	}
	chain.Reader = io.MultiReader(readers...)
	return chain, nil
}
