package peridotkey

import (
	"fmt"
	"net/url"
	"strings"
	"testing"
)

func TestLeak(t *testing.T) {
	key, _, _ := New()
	other, _, _ := New()
	_, secret, _ := Split(key)
	escaped := fmt.Sprintf(`{"prompt":"\u%04x%s"}`, key[0], key[1:])
	percent := fmt.Sprintf("a=%%%02x%s", secret[0], secret[1:])
	tests := []struct {
		name  string
		place Place
		want  bool
	}{
		{"key in a query", Place{"query", "api_key=" + key, Query}, true},
		{"secret alone", Place{"query", "s=" + secret, Query}, true},
		{"percent-encoded secret", Place{"query", percent, Query}, true},
		{"percent-encoded, with a broken escape", Place{"query", "b=%zz&" + percent, Query}, true},
		{"encoded key", Place{"query", url.Values{"k": {key}}.Encode(), Query}, true},
		{"key in a body", Place{"body", `{"prompt":"` + key + `"}`, Body}, true},
		{"JSON escapes", Place{"body", escaped, Body}, true},
		{"form", Place{"body", percent, Body}, true},
		{"idempotency key", Place{"Idempotency-Key", key, Plain}, true},
		{"another key", Place{"body", `{"prompt":"` + other + `"}`, Body}, true},
		{"key after an incomplete key", Place{"body", "pk_pk_" + strings.TrimPrefix(other, "pk_"), Body}, true},
		{"no key", Place{"body", `{"prompt":"pk_1 \u00e9 100%"}`, Body}, false},
		{"empty", Place{"body", "", Body}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			field, got := Leak(key, tt.place)
			if got != tt.want || got && field != tt.place.Field {
				t.Errorf("Leak: got %t in %q, want %t in %q", got, field, tt.want, tt.place.Field)
			}
		})
	}
	if _, got := Leak("", Place{"query", "k=" + key, Query}); !got {
		t.Error("Leak with an empty key: got false, want true")
	}
}

func ExampleLeak() {
	key, _, _ := New()
	field, found := Leak(key, Place{Field: "query", Text: "hymn=42"}, Place{Field: "body", Text: "my key is " + key})
	fmt.Println(field, found)
	// Output: body true
}

func ExampleMatch() {
	key, _, hash := New()
	_, secret, _ := Split(key)
	fmt.Println(Match(secret, hash), Match("guess", hash))
	// Output: true false
}
