package peridotusage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxRowBytes is the maximum size of decompressed data. A larger value is
// truncated and fails to decode.
const maxRowBytes = 64 << 20

// EncodeParts returns parts as compressed JSON, the form in which processes hand
// them over.
func EncodeParts(parts []Part) ([]byte, error) {
	return pack(parts)
}

// DecodeParts decodes the result of EncodeParts. It returns an error if data is
// not compressed JSON or is too large.
func DecodeParts(data []byte) ([]Part, error) {
	var parts []Part
	err := unpack(data, &parts)
	return parts, err
}

// pack returns value as compressed JSON.
func pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage")
	}
	var packed bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress usage")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress usage")
	}
	return packed.Bytes(), nil
}

// flateWriters holds compressors for reuse, because each one is large.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // Unreachable: the compression level is valid.
	}
	return w
}}

// unpack decodes the result of pack into value.
func unpack(packed []byte, value any) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxRowBytes))
	if err != nil {
		return errors.Wrap(err, "decompress usage")
	}
	return errors.Wrap(json.Unmarshal(data, value), "decode usage")
}
