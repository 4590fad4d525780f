package peridotusage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxRowBytes bounds an unpacked row.
const maxRowBytes = 64 << 20

// EncodeParts returns parts in the compressed form in which processes hand them
// over.
func EncodeParts(parts []Part) ([]byte, error) {
	return pack(parts)
}

// DecodeParts reverses EncodeParts.
func DecodeParts(data []byte) ([]Part, error) {
	var parts []Part
	err := unpack(data, &parts)
	return parts, err
}

// pack encodes the value of a row and compresses it.
func pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage")
	}
	var packed bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress usage")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress usage")
	}
	return packed.Bytes(), nil
}

// writers keeps compressors, each of which is large, for reuse.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// unpack reverses pack.
func unpack(packed []byte, value any) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxRowBytes))
	if err != nil {
		return errors.Wrap(err, "decompress usage")
	}
	return errors.Wrap(json.Unmarshal(data, value), "decode usage")
}
