package weights

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const testChunkBytes = 7 // chunk and file boundaries differ

// writeFolder writes files of different lengths and returns their contents, concatenated in order of name.
func writeFolder(t *testing.T, dir string) []byte {
	t.Helper()
	var content []byte
	for i, name := range []string{"a/part-1", "a/part-2", "b"} {
		raw := bytes.Repeat([]byte{byte(i + 1)}, 5*i+3)
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		content = append(content, raw...)
	}
	return content
}

func TestBuilderMatchesNewManifest(t *testing.T) {
	dir := t.TempDir()
	raw := writeFolder(t, dir)
	files, err := ListFiles(dir)
	if err != nil || len(files) != 3 || files[1] != (File{Name: "a/part-2", SizeBytes: 8}) || TotalBytes(files) != int64(len(raw)) {
		t.Fatalf("%+v, %v", files, err)
	}
	for _, writeSize := range []int{1, 3, testChunkBytes, len(raw)} {
		builder := NewBuilder("brief", "v1", testChunkBytes, files)
		for remaining := raw; len(remaining) > 0; {
			n := min(writeSize, len(remaining))
			_, _ = builder.Write(remaining[:n])
			remaining = remaining[n:]
		}
		got, err := builder.Manifest()
		want := NewManifest("brief", "v1", raw, testChunkBytes)
		want.Files = files
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("writes of %d bytes: got %+v, %v", writeSize, got, err)
		}
	}
}

func TestBuilderRejectsChangedFileSize(t *testing.T) {
	for _, written := range []string{"", "short", "longer than it was listed"} {
		builder := NewBuilder("brief", "v1", testChunkBytes, []File{{SizeBytes: 10}})
		_, _ = builder.Write([]byte(written))
		if _, err := builder.Manifest(); !fault.Is(err, fault.BadRequest) {
			t.Errorf("wrote %q for a file of 10 bytes: got error %v, want BadRequest", written, err)
		}
	}
}

func TestStoreRejectsCorruptChunksAndEnforcesCapacity(t *testing.T) {
	raw := []byte("0123456789")
	manifest := NewManifest("brief", "v1", raw, 5)
	store := NewStore(7)
	if store.Fits(manifest) {
		t.Error("Fits accepts ten bytes with a capacity of seven")
	}
	if err := store.Put(manifest.Chunks[0], raw[5:]); !fault.Is(err, fault.Corrupted) || store.Get(manifest.Chunks[0]) != nil {
		t.Errorf("Put stored a corrupt chunk or returned another error than Corrupted: %v", err)
	}
	if err := store.Put(manifest.Chunks[0], raw[:5]); err != nil {
		t.Error(err)
	}
	if err := store.Put(manifest.Chunks[1], raw[5:]); !fault.Is(err, fault.Overloaded) {
		t.Errorf("Put beyond the capacity: got error %v, want Overloaded", err)
	}
	if _, err := store.Reader(manifest); !fault.Is(err, fault.NotFound) {
		t.Errorf("Reader of an incomplete version: got error %v, want NotFound", err)
	}
	store.Retain(nil)
	if len(store.Missing(manifest)) != 2 {
		t.Error("Retain kept chunks that no manifest lists")
	}
}
