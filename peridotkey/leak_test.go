package peridotkey

import (
	"fmt"
	"net/url"
	"strings"
	"testing"
)

func TestFindLeak(t *testing.T) {
	key, _, _ := New()
	other, _, _ := New()
	_, secret, _ := Split(key)
	escaped := fmt.Sprintf(`{"prompt":"\u%04x%s"}`, key[0], key[1:])
	percent := fmt.Sprintf("a=%%%02x%s", secret[0], secret[1:])
	tests := []struct {
		name string
		part RequestPart
		want bool
	}{
		{"key in a query", RequestPart{"query", "api_key=" + key, Query}, true},
		{"secret alone", RequestPart{"query", "s=" + secret, Query}, true},
		{"percent-encoded secret", RequestPart{"query", percent, Query}, true},
		{"percent-encoded, with a broken escape", RequestPart{"query", "b=%zz&" + percent, Query}, true},
		{"encoded key", RequestPart{"query", url.Values{"k": {key}}.Encode(), Query}, true},
		{"key in a body", RequestPart{"body", `{"prompt":"` + key + `"}`, Body}, true},
		{"JSON escapes", RequestPart{"body", escaped, Body}, true},
		{"form", RequestPart{"body", percent, Body}, true},
		{"idempotency key", RequestPart{"Idempotency-Key", key, Plain}, true},
		{"another key", RequestPart{"body", `{"prompt":"` + other + `"}`, Body}, true},
		{"key after an incomplete key", RequestPart{"body", "pk_pk_" + strings.TrimPrefix(other, "pk_"), Body}, true},
		{"no key", RequestPart{"body", `{"prompt":"pk_1 \u00e9 100%"}`, Body}, false},
		{"empty", RequestPart{"body", "", Body}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			field, got := FindLeak(key, tt.part)
			if got != tt.want || got && field != tt.part.Field {
				t.Errorf("FindLeak: got %t in %q, want %t in %q", got, field, tt.want, tt.part.Field)
			}
		})
	}
	if _, got := FindLeak("", RequestPart{"query", "k=" + key, Query}); !got {
		t.Error("FindLeak with an empty key: got false, want true")
	}
}

func ExampleFindLeak() {
	key, _, _ := New()
	field, found := FindLeak(key, RequestPart{Field: "query", Text: "hymn=42"}, RequestPart{Field: "body", Text: "my key is " + key})
	fmt.Println(field, found)
	// Output: body true
}

func ExampleMatch() {
	key, _, hash := New()
	_, secret, _ := Split(key)
	fmt.Println(Match(secret, hash), Match("guess", hash))
	// Output: true false
}
