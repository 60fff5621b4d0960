package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxObjectBytes bounds one message. The largest hold a compressed configuration, whose size is bounded where it is decompressed.
	maxObjectBytes = 16 << 20
	// maxInitialBytes is the most that is allocated for a message before its bytes arrive.
	maxInitialBytes = 64 << 10
)

// errObjectTooLarge ends the connection of a peer that states a larger message.
var errObjectTooLarge = errors.New("the peer sends a message that is larger than any of the protocol; check what listens at its address")

// objectCodec encodes messages as jsonrpc2.VarintObjectCodec does. It reads no more than maxObjectBytes of one.
type objectCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec. It returns io.ErrUnexpectedEOF if the connection ends within the message.
func (objectCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxObjectBytes {
		return errObjectTooLarge
	}
	raw, err := readExactly(stream, int(size))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// readExactly reads size bytes into a buffer that grows as they arrive.
func readExactly(r io.Reader, size int) ([]byte, error) {
	raw := make([]byte, 0, min(size, maxInitialBytes))
	for len(raw) < size {
		if len(raw) == cap(raw) {
			raw = append(make([]byte, 0, min(size, 2*cap(raw))), raw...)
		}
		n, err := r.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		if errors.Is(err, io.EOF) && len(raw) < size {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && len(raw) < size {
			return nil, err
		}
	}
	return raw, nil
}
