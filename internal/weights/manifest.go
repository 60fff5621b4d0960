// Package weights holds what a host knows of model versions: their manifests, and the verified chunks in its memory.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// Digest is a SHA-256 digest in lower-case hex.
type Digest string

// Hash returns a short hash of the digest, for rendezvous hashing.
func (d Digest) Hash() uint64 { return xxhash.Sum64String(string(d)) }

// Manifest lists the chunks of a version. Its own digest is the version's identity.
type Manifest struct {
	Model      core.Model `json:"model"`
	Object     string     `json:"object"`      // name of the weights at the origin
	SizeBytes  int64      `json:"size_bytes"`  // bytes of all chunks
	ChunkBytes int64      `json:"chunk_bytes"` // bytes of each chunk but the last
	Chunks     []Digest   `json:"chunks"`
	Files      []File     `json:"files,omitempty"` // of a version that was added from a folder
}

// ManifestFolder is the folder of manifests in the platform's object store.
const ManifestFolder = "manifests/"

// Sum returns the digest of the bytes.
func Sum(raw []byte) Digest {
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:]))
}

// NewManifest cuts the weights into chunks of chunkBytes and lists their digests.
func NewManifest(model core.Model, object string, raw []byte, chunkBytes int64) Manifest {
	manifest := Manifest{Model: model, Object: object, SizeBytes: int64(len(raw)), ChunkBytes: chunkBytes}
	for start := int64(0); start < manifest.SizeBytes; start += chunkBytes {
		end := min(start+chunkBytes, manifest.SizeBytes)
		manifest.Chunks = append(manifest.Chunks, Sum(raw[start:end]))
	}
	return manifest
}

// Encode returns the manifest's bytes and its identity.
func (m Manifest) Encode() ([]byte, core.VersionID, error) {
	raw, err := json.Marshal(m)
	return raw, core.VersionID(Sum(raw)), err
}

// DecodeManifest checks the bytes against the version's identity and reads them.
func DecodeManifest(raw []byte, id core.VersionID) (Manifest, error) {
	var manifest Manifest
	if core.VersionID(Sum(raw)) != id {
		return manifest, fault.New(fault.Corrupted, "the manifest's bytes do not match the version "+string(id), "fetch the manifest again")
	}
	if err := json.Unmarshal(raw, &manifest); err != nil {
		return manifest, fault.Wrap(err, fault.Corrupted, "the manifest of "+string(id)+" cannot be read", "add the version again with lovagectl version add")
	}
	return manifest, nil
}

// Range returns the offset and the length in bytes of chunk i.
func (m Manifest) Range(i int) (offset, length int64) {
	offset = int64(i) * m.ChunkBytes
	return offset, min(m.ChunkBytes, m.SizeBytes-offset)
}
