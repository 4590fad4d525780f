package peridotquarantine

import (
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// wholeRequest is the bit that is set in the parts that are whole requests.
const wholeRequest Part = 1

// Part identifies what requests may have in common: a part of a prompt, by its ID alone,
// whatever the model and the other parts are, or a whole request. Its text form is a
// hexadecimal number.
type Part uint64

// PartOf returns the part of a prompt with the given ID.
func PartOf(id string) Part {
	return Part(xxhash.Sum64String(id)) &^ wholeRequest
}

// RequestOf returns the part that all requests have in common that ask the same: target is
// the host, path and query, caller the client account or empty, and prompt identifies the
// parts of the prompt, if there are any.
func RequestOf(method, target, caller string, prompt uint64, body []byte) Part {
	var digest xxhash.Digest
	digest.Reset()
	// Quotes and the length keep the fields apart. Writes to a digest never fail.
	_, _ = fmt.Fprintf(&digest, "%q %q %q %x %d\n", method, target, caller, prompt, len(body))
	_, _ = digest.Write(body)
	return Part(digest.Sum64()) | wholeRequest
}

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool {
	return p&wholeRequest != 0
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
