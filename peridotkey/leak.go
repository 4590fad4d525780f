package peridotkey

import (
	"net/url"
	"strconv"
	"strings"
)

// Place is a part of a request that goes on to a backend server.
type Place struct {
	// Field names the part for the caller.
	Field string
	Text  string
	// Encoding says how the text may hide a key.
	Encoding Encoding
}

// Encoding is how a text may be escaped.
type Encoding int

const (
	// Plain texts are what they seem.
	Plain Encoding = iota
	// Query texts and forms may be percent-encoded.
	Query
	// Body texts may be percent-encoded or hold JSON escapes.
	Body
)

// Leak returns the field of the first place that holds a key: the one given,
// which may be empty, or any text that has the form of a key from New.
func Leak(key string, places ...Place) (field string, found bool) {
	_, secret, _ := Split(key)
	for _, p := range places {
		if p.leaks(secret) {
			return p.Field, true
		}
	}
	return "", false
}

func (p Place) leaks(secret string) bool {
	if holdsKey(p.Text, secret) {
		return true
	}
	if p.Encoding == Plain {
		return false
	}
	if strings.Contains(p.Text, "%") && holdsKey(unescapePercent(p.Text), secret) {
		return true
	}
	return p.Encoding == Body && strings.Contains(p.Text, `\u`) && holdsKey(unescapeJSON(p.Text), secret)
}

// holdsKey reports whether the text holds the secret or anything like a key.
func holdsKey(text, secret string) bool {
	if secret != "" && strings.Contains(text, secret) {
		return true
	}
	for {
		i := strings.Index(text, prefix+separator)
		if i < 0 {
			return false
		}
		text = text[i+len(prefix+separator):]
		if startsKey(text) {
			return true
		}
	}
}

// startsKey reports whether the text begins with an identifier and a secret.
func startsKey(text string) bool {
	const idDigits, secretDigits = 2 * idBytes, 2 * secretBytes
	if len(text) < idDigits+len(separator)+secretDigits {
		return false
	}
	secret, ok := strings.CutPrefix(text[idDigits:], separator)
	return ok && isHex(text[:idDigits]) && isHex(secret[:secretDigits])
}

func isHex(text string) bool {
	return strings.Trim(text, "0123456789abcdef") == ""
}

// unescapePercent decodes what it can and leaves the rest as it is.
func unescapePercent(text string) string {
	if plain, err := url.QueryUnescape(text); err == nil {
		return plain
	}
	return unescape(text, "%", 2)
}

func unescapeJSON(text string) string {
	return unescape(text, `\u`, 4)
}

// unescape replaces each mark that is followed by the given number of
// hexadecimal digits by the character they stand for.
func unescape(text, mark string, digits int) string {
	var plain strings.Builder
	for {
		before, after, found := strings.Cut(text, mark)
		plain.WriteString(before)
		if !found {
			return plain.String()
		}
		text = after
		if len(after) < digits {
			continue
		}
		if code, err := strconv.ParseUint(after[:digits], 16, 32); err == nil {
			plain.WriteRune(rune(code))
			text = after[digits:]
		}
	}
}
