package peridotsite

import (
	"testing"
	"time"
)

// TestScarce guards against deployments that are served in another way than before
// although their configuration doesn't ask for it.
func TestScarce(t *testing.T) {
	for _, test := range []struct {
		name   string
		engine *Engine
		routes []Route
		want   bool
	}{
		{name: "few slots", engine: &Engine{Slots: 8, CacheTokens: 1_168_179}, want: true},
		{name: "little memory, many slots", engine: &Engine{Slots: 48, CacheTokens: 305_000}},
		{name: "memory for long prompts", engine: &Engine{Slots: 64, CacheTokens: 466_143}},
		{name: "twelve slots", engine: &Engine{Slots: 12, CacheTokens: 1_068_387}},
		{name: "slots unknown", engine: &Engine{CacheTokens: 100}},
		{name: "memory unknown", engine: &Engine{Slots: 16}},
		{name: "tight", routes: []Route{{Objective: 120 * time.Millisecond, Timeout: 600 * time.Millisecond}}, want: true},
		{name: "time for another try", routes: []Route{{Objective: 150 * time.Millisecond, Timeout: time.Second}}},
		{name: "no objective", routes: []Route{{Timeout: time.Second}}},
		{name: "no timeout", routes: []Route{{Objective: time.Second}}},
		{name: "no route"},
		{name: "half of the routes", routes: []Route{{Objective: 1, Timeout: 5}, {Objective: 1, Timeout: 6}}},
	} {
		for i := range test.routes {
			test.routes[i].Targets = []Target{{Service: "s", Weight: 1}}
		}
		c := (&Config{Routes: test.routes, Services: []Service{{Name: "s", Engine: test.engine}}}).BuildIndex()
		if got := c.Service("s").Scarce; got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
