package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"
)

const maxDecompressedBytes = 32 << 20

// Compressed is a byte string whose JSON encoding is compressed: DEFLATE with a preset dictionary, then base64.
type Compressed []byte

// MarshalJSON implements json.Marshaler.
func (p Compressed) MarshalJSON() ([]byte, error) {
	compressed, err := compress(p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(compressed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Compressed) UnmarshalJSON(raw []byte) error {
	var compressed []byte
	if err := json.Unmarshal(raw, &compressed); err != nil {
		return err
	}
	decompressed, err := decompress(compressed)
	*p = decompressed
	return err
}

// Updates is a list of updates whose JSON encoding is compressed. It compresses well, because updates resemble each
// other.
type Updates []Update

// MarshalJSON implements json.Marshaler.
func (u Updates) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal([]Update(u))
	if err != nil {
		return nil, err
	}
	return Compressed(raw).MarshalJSON()
}

// UnmarshalJSON implements json.Unmarshaler.
func (u *Updates) UnmarshalJSON(raw []byte) error {
	var decompressed Compressed
	if err := decompressed.UnmarshalJSON(raw); err != nil {
		return err
	}
	return json.Unmarshal(decompressed, (*[]Update)(u))
}

// dictionary is the preset DEFLATE dictionary, made of what most updates contain. Nodes with different dictionaries
// cannot read each other's messages, so changing it changes the protocol.
var dictionary = []byte(`"g":1,"v":[{"version":"","phase":"fetching","have":0,"total":0}],` +
	`"phase":"verified","have":64,"total":64,"phase":"failed","reason":"` +
	`"s":2,"d":2,"p":"draining","n":2,"t":"leaving"},"s":1,"d":1,"p":"starting","g":1,` +
	`"b":{"id":"entry-","role":"entry","failure_domain":"","region":"","data_address":"10.` +
	`{"h":"entry-1","l":176,"i":1,"a":{"id":"entry-1","role":"entry","failure_domain":"domain-","region":"region-",` +
	`"data_address":"10.0.0.1:7001","control_address":"10.0.0.1:7002","state":"live"},"s":1,"p":"ready","n":1,"t":"live"},` +
	`{"h":"runner-1","l":176,"i":1,"a":{"id":"runner-1","role":"agent","failure_domain":"domain-","region":"region-",` +
	`"data_address":"10.0.0.1:7001","control_address":"10.0.0.1:7002","state":"live"},"s":1,"p":"ready",` +
	`"g":1,"v":[{"version":"","phase":"serving","have":64,"total":64}],"n":1,"t":"live"},{"h":"runner-","l":176`)

var writerPool = sync.Pool{New: func() any {
	writer, _ := flate.NewWriterDict(nil, flate.DefaultCompression, dictionary) // fails only for an invalid level
	return writer
}}

func compress(raw []byte) ([]byte, error) {
	writer := writerPool.Get().(*flate.Writer)
	defer writerPool.Put(writer)
	var compressed bytes.Buffer
	writer.Reset(&compressed)
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	err := writer.Close()
	return compressed.Bytes(), err
}

func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	reader := flate.NewReaderDict(bytes.NewReader(compressed), dictionary)
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
}
