package weights

import (
	"os"
	"path/filepath"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// File describes one file of a version that was added from a folder. The weights are the contents of the files,
// concatenated in order. A version added from a single file has one File with an empty name.
type File struct {
	Name      string `json:"name,omitempty"` // path relative to the folder
	SizeBytes int64  `json:"size_bytes"`
}

// ListFiles returns the regular files at or below path, sorted by name. If path is a file, it returns a single File
// without a name.
func ListFiles(path string) ([]File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []File{{SizeBytes: info.Size()}}, nil
	}
	var files []File
	err = filepath.Walk(path, func(name string, info os.FileInfo, err error) error {
		if err != nil || !info.Mode().IsRegular() {
			return err
		}
		relative, err := filepath.Rel(path, name)
		files = append(files, File{Name: relative, SizeBytes: info.Size()})
		return err
	})
	return files, err
}

// TotalBytes returns the total size of the files in bytes.
func TotalBytes(files []File) int64 {
	total := int64(0)
	for _, file := range files {
		total += file.SizeBytes
	}
	return total
}

// Builder computes a manifest from the bytes written to it.
type Builder struct {
	manifest      Manifest
	expectedBytes int64
	chunk         []byte
}

// NewBuilder returns a builder that expects the concatenated contents of the files.
func NewBuilder(model core.Model, object string, chunkBytes int64, files []File) *Builder {
	b := &Builder{expectedBytes: TotalBytes(files)}
	b.manifest = Manifest{Model: model, Object: object, ChunkBytes: chunkBytes}
	if len(files) > 1 || len(files) == 1 && files[0].Name != "" {
		b.manifest.Files = files
	}
	return b
}

// Write implements io.Writer. It never returns an error.
func (b *Builder) Write(raw []byte) (int, error) {
	written := len(raw)
	for len(raw) > 0 {
		n := min(int(b.manifest.ChunkBytes)-len(b.chunk), len(raw))
		b.chunk = append(b.chunk, raw[:n]...)
		raw = raw[n:]
		if len(b.chunk) == int(b.manifest.ChunkBytes) {
			b.finishChunk()
		}
	}
	return written, nil
}

func (b *Builder) finishChunk() {
	b.manifest.Chunks = append(b.manifest.Chunks, Sum(b.chunk))
	b.manifest.SizeBytes += int64(len(b.chunk))
	b.chunk = b.chunk[:0]
}

// Manifest returns the manifest. It returns an error of kind BadRequest if nothing was written or if the number of bytes
// differs from the listed file sizes.
func (b *Builder) Manifest() (Manifest, error) {
	if len(b.chunk) > 0 {
		b.finishChunk()
	}
	if b.manifest.SizeBytes != b.expectedBytes || b.expectedBytes == 0 {
		return Manifest{}, fault.New(fault.BadRequest, "the weights are empty or their size changed while they were read", "add the version again when no process is writing to the files")
	}
	return b.manifest, nil
}
