package peridotfront

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotstack/peridotplace"
)

// TestTurnsInReports guards against interactive requests that other fronts don't learn, and against reports that fronts of the previous version can't decode.
func TestTurnsInReports(t *testing.T) {
	sent := peridotplace.Load{Backend: "d", Running: 3, Interactive: 2}
	m := &message{From: "front-1"}
	m.addReport(peridotplace.Report{Loads: []peridotplace.Load{sent, {Backend: "e", Running: 1}}})
	data, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeMessage(data)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[uint32]string{serverHash("d"): "d", serverHash("e"): "e"}
	if loads := got.report(ids).Loads; len(loads) != 2 || loads[0] != sent || len(got.Turns) != 1 {
		t.Errorf("got loads %+v with %d turns, want %+v and one turn", loads, len(got.Turns), sent)
	}
	var old struct {
		Loads []load `cbor:"3,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data, &old); err != nil || len(old.Loads) != 2 {
		t.Errorf("previous version: got %+v, error %v, want two loads", old.Loads, err)
	}
	got.Turns[0].Interactive = 1 << 31
	if loads := got.report(ids).Loads; loads[0].Interactive != 3 {
		t.Errorf("too many interactive requests: got %d, want those that run, 3", loads[0].Interactive)
	}
}

// TestEventGaps guards against pauses that the log line of a stream doesn't tell.
func TestEventGaps(t *testing.T) {
	var g eventGaps
	start := time.Unix(1000, 0)
	for _, ms := range []int{40, 50, 210, 260} {
		g.recordEvent(start.Add(time.Duration(ms)*time.Millisecond), start)
	}
	if want := 160 * time.Millisecond; g.longestGap != want {
		t.Errorf("got %v, want %v", g.longestGap, want)
	}
	var first eventGaps
	first.recordEvent(start.Add(time.Second), start)
	if first.longestGap != time.Second {
		t.Errorf("first event: got %v, want 1s", first.longestGap)
	}
}
