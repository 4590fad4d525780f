package peridotquarantine

import (
	"encoding/json"
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
