package peridotkey

import (
	"net/url"
	"strconv"
	"strings"
)

// RequestPart is a part of a request that is forwarded to a backend server.
type RequestPart struct {
	// Field is the name of the part in messages to the caller.
	Field string
	Text  string
	// Encoding is how Text may be encoded.
	Encoding Encoding
}

// Encoding is how the characters of a text may be encoded.
type Encoding int

const (
	// Plain means that the text is not encoded.
	Plain Encoding = iota
	// Query means that the text may be percent-encoded, like a query or a form.
	Query
	// Body means that the text may be percent-encoded or contain JSON escapes.
	Body
)

// FindLeak returns the field of the first part that contains the secret of key, or
// any other text that has the form of a key from New. If key is empty, FindLeak
// checks only for the form.
func FindLeak(key string, parts ...RequestPart) (field string, found bool) {
	_, secret, _ := Split(key)
	for _, p := range parts {
		if p.leaksKey(secret) {
			return p.Field, true
		}
	}
	return "", false
}

// leaksKey reports whether p contains the secret or a key, encoded or not.
func (p RequestPart) leaksKey(secret string) bool {
	if containsKey(p.Text, secret) {
		return true
	}
	if p.Encoding == Plain {
		return false
	}
	if strings.Contains(p.Text, "%") && containsKey(unescapePercent(p.Text), secret) {
		return true
	}
	return p.Encoding == Body && strings.Contains(p.Text, `\u`) && containsKey(unescapeJSON(p.Text), secret)
}

// containsKey reports whether text contains the secret or a text that has the form
// of a key.
func containsKey(text, secret string) bool {
	if secret != "" && strings.Contains(text, secret) {
		return true
	}
	for {
		i := strings.Index(text, keyPrefix+keySeparator)
		if i < 0 {
			return false
		}
		text = text[i+len(keyPrefix+keySeparator):]
		if beginsWithIDAndSecret(text) {
			return true
		}
	}
}

// beginsWithIDAndSecret reports whether text begins with an identifier, a separator
// and a secret.
func beginsWithIDAndSecret(text string) bool {
	const idDigits, secretDigits = 2 * idBytes, 2 * secretBytes
	if len(text) < idDigits+len(keySeparator)+secretDigits {
		return false
	}
	secret, ok := strings.CutPrefix(text[idDigits:], keySeparator)
	return ok && isHex(text[:idDigits]) && isHex(secret[:secretDigits])
}

// isHex reports whether text contains only lower-case hexadecimal digits.
func isHex(text string) bool {
	return strings.Trim(text, "0123456789abcdef") == ""
}

// unescapePercent decodes percent-encoding. Invalid escapes stay unchanged.
func unescapePercent(text string) string {
	if decoded, err := url.QueryUnescape(text); err == nil {
		return decoded
	}
	return unescape(text, "%", 2)
}

// unescapeJSON decodes \u escapes. Invalid escapes stay unchanged.
func unescapeJSON(text string) string {
	return unescape(text, `\u`, 4)
}

// unescape replaces each escape, which consists of prefix and the given number of
// hexadecimal digits, by the character with that code.
func unescape(text, prefix string, digits int) string {
	var decoded strings.Builder
	for {
		before, after, found := strings.Cut(text, prefix)
		decoded.WriteString(before)
		if !found {
			return decoded.String()
		}
		text = after
		if len(after) < digits {
			continue
		}
		if code, err := strconv.ParseUint(after[:digits], 16, 32); err == nil {
			decoded.WriteRune(rune(code))
			text = after[digits:]
		}
	}
}
