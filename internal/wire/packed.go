package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"
)

const maxUnpackedBytes = 64 << 20

// Packed is a byte string that travels compressed.
type Packed []byte

// MarshalJSON implements json.Marshaler.
func (p Packed) MarshalJSON() ([]byte, error) {
	packed, err := pack(p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Packed) UnmarshalJSON(raw []byte) error {
	var packed []byte
	if err := json.Unmarshal(raw, &packed); err != nil {
		return err
	}
	unpacked, err := unpack(packed)
	*p = unpacked
	return err
}

// Updates are updates that travel compressed, since many of them resemble each other.
type Updates []Update

// MarshalJSON implements json.Marshaler.
func (u Updates) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal([]Update(u))
	if err != nil {
		return nil, err
	}
	return Packed(raw).MarshalJSON()
}

// UnmarshalJSON implements json.Unmarshaler.
func (u *Updates) UnmarshalJSON(raw []byte) error {
	var packed Packed
	if err := packed.UnmarshalJSON(raw); err != nil {
		return err
	}
	return json.Unmarshal(packed, (*[]Update)(u))
}

var packers = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.DefaultCompression) // fails only for an unknown level
	return writer
}}

func pack(raw []byte) ([]byte, error) {
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	var packed bytes.Buffer
	writer.Reset(&packed)
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	err := writer.Close()
	return packed.Bytes(), err
}

func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	reader := flate.NewReader(bytes.NewReader(packed))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
}
