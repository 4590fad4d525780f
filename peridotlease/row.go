package peridotlease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// KeyPrefix is the prefix of the keys of all lease rows.
const KeyPrefix = "lease/"

// RowKey returns the key of a shard's lease row.
func RowKey(shard string) string {
	return KeyPrefix + shard
}

// Row is the value of a lease row, stored as JSON.
type Row struct {
	// Holder is the instance that holds the lease, or empty if the lease has been
	// released.
	Holder string
	// Nonce is unique to one start of the holder's process.
	Nonce string
	// Token is the fencing token. It increases each time the lease is acquired: by one
	// in era 0, and in later eras to Era*tokensPerEra plus the version of the row.
	Token int64
	// TTLMillis is the duration of the lease after each renewal, in milliseconds.
	TTLMillis int64
	// Era is the era of the table in which the row was written.
	Era int64 `json:",omitempty"`
}

// tokensPerEra is more than the versions of the table in one era, so that no later era
// repeats a token whose row was lost.
const tokensPerEra = 1 << 40

// DecodeRow decodes the value of a lease row. The empty value of an absent row
// decodes to the zero Row. It returns an error if value is not valid JSON for a
// Row.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if len(value) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(value, &r), "decode lease row")
}

func (r Row) encode() []byte {
	// Marshaling a struct of strings and integers can't fail.
	value, _ := json.Marshal(r)
	return value
}

func (r Row) ttl() time.Duration {
	return time.Duration(r.TTLMillis) * time.Millisecond
}
