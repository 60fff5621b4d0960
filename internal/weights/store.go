package weights

import (
	"bytes"
	"io"
	"sync"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Store keeps verified chunks in memory, keyed by digest. It is safe for concurrent use.
type Store struct {
	mu            sync.RWMutex
	chunks        map[Digest][]byte
	usedBytes     int64
	capacityBytes int64
}

// NewStore returns an empty store that holds at most capacityBytes bytes.
func NewStore(capacityBytes int64) *Store {
	return &Store{chunks: make(map[Digest][]byte), capacityBytes: capacityBytes}
}

// Put verifies the chunk and stores it. It returns an error of kind Corrupted if the bytes do not match the digest, and
// one of kind Overloaded if the store is full.
func (s *Store) Put(digest Digest, raw []byte) error {
	if Sum(raw) != digest {
		return fault.New(fault.Corrupted, "the chunk does not match its digest "+string(digest), "fetch the chunk from another source")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[digest]; ok {
		return nil
	}
	if s.usedBytes+int64(len(raw)) > s.capacityBytes {
		return fault.New(fault.Overloaded, "the memory for weights is full", "raise weights_bytes in the agent's settings or withdraw a version")
	}
	s.chunks[digest] = raw
	s.usedBytes += int64(len(raw))
	return nil
}

// Get returns the chunk, or nil if it is not stored. The caller must not modify the bytes.
func (s *Store) Get(digest Digest) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.chunks[digest]
}

// Missing returns the indices of the manifest's chunks that are not stored.
func (s *Store) Missing(manifest Manifest) []int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var missing []int
	for i, digest := range manifest.Chunks {
		if s.chunks[digest] == nil {
			missing = append(missing, i)
		}
	}
	return missing
}

// Reader returns a reader of the complete weights. It returns an error of kind NotFound if a chunk is missing.
func (s *Store) Reader(manifest Manifest) (io.Reader, error) {
	parts := make([]io.Reader, 0, len(manifest.Chunks))
	for _, digest := range manifest.Chunks {
		raw := s.Get(digest)
		if raw == nil {
			return nil, fault.New(fault.NotFound, "chunk "+string(digest)+" is not stored", "wait until every chunk is verified")
		}
		parts = append(parts, bytes.NewReader(raw))
	}
	return io.MultiReader(parts...), nil
}

// Fits reports whether the chunks of all the manifests fit into the store's capacity together. A chunk that occurs more
// than once is counted once.
func (s *Store) Fits(manifests ...Manifest) bool {
	seen := make(map[Digest]bool)
	total := int64(0)
	for _, manifest := range manifests {
		for i, digest := range manifest.Chunks {
			if seen[digest] {
				continue
			}
			seen[digest] = true
			_, length := manifest.Range(i)
			total += length
		}
	}
	return total <= s.capacityBytes
}

// Retain removes every chunk that none of the manifests lists.
func (s *Store) Retain(manifests []Manifest) {
	referenced := make(map[Digest]bool)
	for _, manifest := range manifests {
		for _, digest := range manifest.Chunks {
			referenced[digest] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, raw := range s.chunks {
		if !referenced[digest] {
			s.usedBytes -= int64(len(raw))
			delete(s.chunks, digest)
		}
	}
}
