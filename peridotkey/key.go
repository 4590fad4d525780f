package peridotkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const (
	prefix      = "pk"
	separator   = "_"
	idBytes     = 8
	secretBytes = 24
)

// New returns a random key, its identifier and the hash of its secret.
func New() (key, id, hash string) {
	id = randomHex(idBytes)
	secret := randomHex(secretBytes)
	key = prefix + separator + id + separator + secret
	return key, id, Hash(secret)
}

// Split takes a key apart. It reports false for a string that cannot be a key.
func Split(key string) (id, secret string, ok bool) {
	parts := strings.Split(key, separator)
	if len(parts) != 3 || parts[0] != prefix || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}
	return parts[1], parts[2], true
}

// Hash returns the hash of a secret in hexadecimal. Secrets are random and
// long, so a plain hash resists guessing.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Match reports in constant time whether secret has the given hash.
func Match(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(Hash(secret)), []byte(hash)) == 1
}

func randomHex(size int) string {
	b := make([]byte, size)
	rand.Read(b) // crypto/rand.Read never fails.
	return hex.EncodeToString(b)
}
