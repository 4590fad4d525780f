package peridotquarantine

import (
	"encoding/json"
	"fmt"
	"testing"
)

func TestPartText(t *testing.T) {
	want := PartOf("5c1e07a2")
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Part
	if err := json.Unmarshal(data, &got); err != nil || got != want {
		t.Errorf("got %v, error %v; want %v", got, err, want)
	}
	for _, text := range []string{`""`, `"x"`, `"-1"`, `"10000000000000000"`, `1`} {
		if err := json.Unmarshal([]byte(text), &got); err == nil {
			t.Errorf("%s: got no error, want one", text)
		}
	}
}

// TestRequestOf guards against requests that are taken for others, and against repeats
// that are not recognized.
func TestRequestOf(t *testing.T) {
	want := RequestOf("GET", "board.example/x", "parish", 0, []byte("b"))
	if got := RequestOf("GET", "board.example/x", "parish", 0, []byte("b")); got != want || !got.IsRequest() {
		t.Errorf("got %v for the same request, whole %v; want %v, true", got, got.IsRequest(), want)
	}
	for _, test := range []struct {
		name string
		got  Part
	}{
		{name: "method", got: RequestOf("POST", "board.example/x", "parish", 0, []byte("b"))},
		{name: "target", got: RequestOf("GET", "board.example/y", "parish", 0, []byte("b"))},
		{name: "caller", got: RequestOf("GET", "board.example/x", "", 0, []byte("b"))},
		{name: "prompt", got: RequestOf("GET", "board.example/x", "parish", 1, []byte("b"))},
		{name: "body", got: RequestOf("GET", "board.example/x", "parish", 0, []byte("c"))},
		{name: "shifted fields", got: RequestOf("GET", "board.example/xparish", "", 0, []byte("b"))},
	} {
		if test.got == want {
			t.Errorf("%s: got %v for another request as well", test.name, want)
		}
	}
	if PartOf("a").IsRequest() || PartOf("b").IsRequest() || PartOf("c").IsRequest() {
		t.Error("a part of a prompt is taken for a request")
	}
}

// BenchmarkRequestOf measures what the identity of each request costs.
func BenchmarkRequestOf(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 20 << 10} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				RequestOf("POST", "board.example/x?y=1", "parish", 1, body)
			}
		})
	}
}
