package peridotlease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// KeyPrefix starts the keys of all lease rows.
const KeyPrefix = "lease/"

// Key returns the key of a shard's row.
func Key(shard string) string {
	return KeyPrefix + shard
}

// Row is the value of a lease row.
type Row struct {
	// Holder is the instance that holds the lease, or empty once it was released.
	Holder string
	// Nonce is unique per start of the holder's process.
	Nonce string
	// Token is the fencing token; it grows by one with each change of holder.
	Token int64
	// TTLMillis is how long the lease lasts after each renewal.
	TTLMillis int64
}

// Decode reads the value of a lease row; an absent row gives the zero Row.
func Decode(value []byte) (Row, error) {
	var r Row
	if len(value) == 0 {
		return r, nil
	}
	return r, errors.Wrap(json.Unmarshal(value, &r), "decode lease row")
}

func (r Row) encode() []byte {
	// A struct of strings and numbers always encodes.
	value, _ := json.Marshal(r)
	return value
}

func (r Row) ttl() time.Duration {
	return time.Duration(r.TTLMillis) * time.Millisecond
}
