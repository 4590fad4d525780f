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
	// recordPrefix is the key prefix of the rows that contain records.
	recordPrefix = "once/"
	// expiryPrefix is the key prefix of the index rows, which sort by the time of the
	// claim.
	expiryPrefix = "onceexpiry/"
	// expiryBucketLength is the precision of the time in the keys of index rows.
	expiryBucketLength = time.Hour
	// keyLifetime is how long a key that contains its creation time may be used.
	keyLifetime = 24 * time.Hour
	// clockSkew is the largest allowed difference between the wall clocks of two
	// processes.
	clockSkew = time.Hour
	// minRecordLifetime is the shortest time that a record is kept. Within the allowed
	// clock skew, a key that contains its creation time expires before its record.
	minRecordLifetime = keyLifetime + 2*clockSkew
)

// Request is a request that may run at most once.
type Request struct {
	// RequestID identifies one attempt and is unique among all attempts.
	RequestID string
	// Account is the client account. It is empty on routes that need no account; all
	// their callers share one key space.
	Account string
	Service string
	// Key is the caller's idempotency key. It must not be empty.
	Key string
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint string
	// Timeout is the longest time that the request may run.
	Timeout time.Duration
}

// RowKey returns the key of the row that contains the request's record.
func (r Request) RowKey() string {
	sum := sha256.Sum256([]byte(r.Key))
	return recordPrefix + url.PathEscape(r.Account) + "/" + url.PathEscape(r.Service) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a hash of the parts of a request in which a repeat must equal
// the first attempt.
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

// KeyTime returns the creation time contained in a key that is a UUID of version 7.
// It returns false for other keys.
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

// expiryKey returns the key of the index row through which a Sweeper finds a record.
func expiryKey(rowKey string, claimedAt time.Time) string {
	bucket := claimedAt.Unix() / int64(expiryBucketLength/time.Second)
	return expiryPrefix + strconv.FormatInt(bucket, 10) + "/" + strings.TrimPrefix(rowKey, recordPrefix)
}

// splitExpiryKey returns the start of the time bucket and the record's row key, both
// taken from the key of an index row. It sets ok if the key is well formed.
func splitExpiryKey(key string) (bucketStart time.Time, rowKey string, ok bool) {
	number, rest, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	bucket, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return time.Time{}, "", false
	}
	return time.Unix(bucket*int64(expiryBucketLength/time.Second), 0), recordPrefix + rest, true
}
