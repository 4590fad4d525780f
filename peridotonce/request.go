package peridotonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	recordPrefix = "once/"
	expiryPrefix = "onceexpiry/"
	bucketLength = time.Hour
	// keyLifetime is how long after its making a key that carries its time may
	// be used.
	keyLifetime = 24 * time.Hour
	// clockSkew bounds the difference between the wall clocks of two processes.
	clockSkew = time.Hour
	// recordLifetime is how long a record stays at least. It outlasts every key
	// that carries its time, whatever the clocks.
	recordLifetime = keyLifetime + 2*clockSkew
)

// Request is one request that may run at most once.
type Request struct {
	// RequestID is unique among all attempts.
	RequestID string
	// Account is empty on routes open to all; their keys share one space.
	Account string
	Service string
	// Key is the caller's idempotency key; it is not empty.
	Key string
	// Fingerprint tells requests apart that came with the same key.
	Fingerprint string
	// Timeout bounds the run.
	Timeout time.Duration
}

// RowKey returns the key of the row that holds the request's record.
func (r Request) RowKey() string {
	sum := sha256.Sum256([]byte(r.Key))
	return recordPrefix + url.PathEscape(r.Account) + "/" + url.PathEscape(r.Service) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns the hash of what makes two requests the same.
func Fingerprint(method, path, query, contentType, body string) string {
	h := sha256.New()
	for _, part := range []string{method, path, query, contentType, body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // Writing to a hash never fails.
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// KeyTime returns when a key was made if the key says so, which a UUID of
// version 7 does.
func KeyTime(key string) (time.Time, bool) {
	const length, versionAt, variantAt = 36, 14, 19
	if len(key) != length || key[versionAt] != '7' || !strings.ContainsRune("89abAB", rune(key[variantAt])) {
		return time.Time{}, false
	}
	if key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	millis, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(millis), true
}

// expiryKey returns the key of the row by which a Sweeper finds a record.
func expiryKey(rowKey string, claimedAt time.Time) string {
	bucket := claimedAt.Unix() / int64(bucketLength/time.Second)
	return expiryPrefix + strconv.FormatInt(bucket, 10) + "/" + strings.TrimPrefix(rowKey, recordPrefix)
}

// splitExpiryKey returns the bucket and the record's row key of an expiry row.
func splitExpiryKey(key string) (bucketStart time.Time, rowKey string, ok bool) {
	number, rest, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	bucket, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return time.Time{}, "", false
	}
	return time.Unix(bucket*int64(bucketLength/time.Second), 0), recordPrefix + rest, true
}
