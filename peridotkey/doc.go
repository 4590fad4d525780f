// Package peridotkey generates and verifies the keys of client accounts and
// operators. The system stores only a hash of the secret in a key. The entry instance
// that receives a key from a caller does not pass it on.
package peridotkey
