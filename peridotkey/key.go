package peridotkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix    = "pk"
	keySeparator = "_"
	idBytes      = 8
	secretBytes  = 24
)

// New returns a random key, its identifier and the hash of its secret.
func New() (key, id, hash string) {
	id = randomHex(idBytes)
	secret := randomHex(secretBytes)
	key = keyPrefix + keySeparator + id + keySeparator + secret
	return key, id, Hash(secret)
}

// Split returns the identifier and the secret in a key. ok is false if key does not
// have the form of a key.
func Split(key string) (id, secret string, ok bool) {
	parts := strings.Split(key, keySeparator)
	if len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}
	return parts[1], parts[2], true
}

// Hash returns the SHA-256 hash of a secret in hexadecimal. A plain hash resists
// guessing because secrets are random and long.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Match reports in constant time whether hash is the hash of secret.
func Match(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(Hash(secret)), []byte(hash)) == 1
}

// randomHex returns size random bytes in hexadecimal.
func randomHex(size int) string {
	b := make([]byte, size)
	rand.Read(b) // crypto/rand.Read never fails.
	return hex.EncodeToString(b)
}
