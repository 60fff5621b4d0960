package plan

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

const (
	wordBits  = 64
	wordBytes = 8
)

// Bitmap is a set of chunk indices.
type Bitmap []uint64

// NewBitmap returns an empty set for indices below n.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+wordBits-1)/wordBits) }

// Has reports whether the set contains i.
func (b Bitmap) Has(i int) bool { return b[i/wordBits]>>(i%wordBits)&1 == 1 }

// Set adds i.
func (b Bitmap) Set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

// Clear removes i.
func (b Bitmap) Clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

// Count returns the number of indices in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, word := range b {
		n += bits.OnesCount64(word)
	}
	return n
}

// Last returns the highest index in the set, or -1 if it is empty.
func (b Bitmap) Last() int {
	for w, word := range slices.Backward(b) {
		if word != 0 {
			return w*wordBits + bits.Len64(word) - 1
		}
	}
	return -1
}

// CountBelow returns the number of indices in the set that are below n.
func (b Bitmap) CountBelow(n int) int {
	count := 0
	for w, word := range b[:min(len(b), (n+wordBits-1)/wordBits)] {
		if rest := n - w*wordBits; rest < wordBits {
			word &= 1<<rest - 1
		}
		count += bits.OnesCount64(word)
	}
	return count
}

// Clone returns a copy of the set.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }

// Bytes encodes the set as little-endian 64-bit words.
func (b Bitmap) Bytes() []byte {
	raw := make([]byte, 0, len(b)*wordBytes)
	for _, word := range b {
		raw = binary.LittleEndian.AppendUint64(raw, word)
	}
	return raw
}

// DecodeBitmap decodes the result of Bytes for a set of indices below n. It returns nil if raw has the wrong length, and
// ignores indices that are not below n.
func DecodeBitmap(raw []byte, n int) Bitmap {
	set := NewBitmap(n)
	if len(raw) != len(set)*wordBytes {
		return nil
	}
	for i := range set {
		set[i] = binary.LittleEndian.Uint64(raw[i*wordBytes:])
	}
	if lastBits := n % wordBits; lastBits != 0 {
		set[len(set)-1] &= 1<<lastBits - 1
	}
	return set
}
