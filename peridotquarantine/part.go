package peridotquarantine

import (
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Part identifies a part of a prompt by its ID alone, whatever the model and the other
// parts are. Its text form is a hexadecimal number.
type Part uint64

// PartOf returns the part with the given ID.
func PartOf(id string) Part {
	return Part(xxhash.Sum64String(id))
}

// String returns the text form of the part.
func (p Part) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// MarshalText implements encoding.TextMarshaler.
func (p Part) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Part) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Wrapf(err, "part %q: want %d hexadecimal digits", text, hex.EncodedLen(8))
	}
	*p = Part(n)
	return nil
}
