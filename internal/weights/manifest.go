// Package weights defines the manifests of model versions and the in-memory store of verified chunks.
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

// Hash returns a 64-bit hash of the digest for rendezvous hashing.
func (d Digest) Hash() uint64 { return xxhash.Sum64String(string(d)) }

// Manifest lists the chunks of a version. The digest of the encoded manifest is the version's ID.
type Manifest struct {
	Model      core.Model `json:"model"`
	Object     string     `json:"object"`      // name of the weights at the origin
	SizeBytes  int64      `json:"size_bytes"`  // total size of all chunks
	ChunkBytes int64      `json:"chunk_bytes"` // size of every chunk except the last, which may be smaller
	Chunks     []Digest   `json:"chunks"`
	Files      []File     `json:"files,omitempty"` // set if the version was added from a folder
}

// ManifestPrefix is the key prefix of manifests in the platform's object store.
const ManifestPrefix = "manifests/"

// Sum returns the digest of raw.
func Sum(raw []byte) Digest {
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:]))
}

// NewManifest splits the weights into chunks of chunkBytes and returns a manifest with their digests.
func NewManifest(model core.Model, object string, raw []byte, chunkBytes int64) Manifest {
	manifest := Manifest{Model: model, Object: object, SizeBytes: int64(len(raw)), ChunkBytes: chunkBytes}
	for start := int64(0); start < manifest.SizeBytes; start += chunkBytes {
		end := min(start+chunkBytes, manifest.SizeBytes)
		manifest.Chunks = append(manifest.Chunks, Sum(raw[start:end]))
	}
	return manifest
}

// Encode returns the manifest as JSON and the version ID derived from it.
func (m Manifest) Encode() ([]byte, core.VersionID, error) {
	raw, err := json.Marshal(m)
	return raw, core.VersionID(Sum(raw)), err
}

// DecodeManifest decodes a manifest. It returns an error of kind Corrupted if the bytes do not match the version ID or
// are not valid JSON.
func DecodeManifest(raw []byte, id core.VersionID) (Manifest, error) {
	var manifest Manifest
	if core.VersionID(Sum(raw)) != id {
		return manifest, fault.New(fault.Corrupted, "the manifest does not match the digest of version "+string(id), "fetch the manifest again")
	}
	if err := json.Unmarshal(raw, &manifest); err != nil {
		return manifest, fault.Wrap(err, fault.Corrupted, "the manifest of version "+string(id)+" cannot be decoded", "add the version again with lovagectl version add")
	}
	return manifest, nil
}

// Range returns the offset and the length of chunk i, in bytes.
func (m Manifest) Range(i int) (offset, length int64) {
	offset = int64(i) * m.ChunkBytes
	return offset, min(m.ChunkBytes, m.SizeBytes-offset)
}
