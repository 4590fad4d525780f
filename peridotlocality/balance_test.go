package peridotlocality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// loads returns a balance of a domain a and others of 6 slots each, with the given requests in
// progress that take the given time in ms. Each domain gets 0.15 requests in a ms.
func loads(millis, requests [3]float64) *Balance {
	b := &Balance{Horizon: MinHorizon}
	for i, name := range []string{"a", "b", "c"} {
		d := Domain{Name: name, Requests: requests[i], Capacity: 6 / millis[i], AnswerMillis: millis[i] * max(1, (requests[i]+1)/6), Arrivals: 0.15, IsKnown: true}
		if i == 0 {
			b.Own = d
		} else {
			b.Others = append(b.Others, d)
		}
	}
	return b
}

// TestDecide guards against requests that leave their domain in vain, and against ones that
// stay where they would be late while another domain has room.
func TestDecide(t *testing.T) {
	nominal := [3]float64{30, 30, 30}
	tests := []struct {
		name     string
		millis   [3]float64
		requests [3]float64
		change   func(b *Balance, r *Request)
		// least and most bound the fraction of requests that leave; reason is that of the others.
		least, most float64
		reason      Reason
	}{
		{name: "idle", millis: nominal},
		{name: "own would be on time", millis: nominal, requests: [3]float64{10, 0, 0}},
		{name: "own full", millis: nominal, requests: [3]float64{60, 3, 3}, least: 0.3, most: 0.7},
		{name: "own slow", millis: [3]float64{75, 30, 30}, requests: [3]float64{12, 3, 3}, least: 0.3, most: 0.8},
		{name: "all full", millis: nominal, requests: [3]float64{60, 60, 60}},
		{name: "all slow", millis: [3]float64{75, 75, 75}, requests: [3]float64{20, 20, 20}},
		{name: "others busier", millis: nominal, requests: [3]float64{40, 60, 80}},
		{name: "others unknown", millis: nominal, requests: [3]float64{60, 3, 3}, reason: Unknown, change: func(b *Balance, _ *Request) { b.Others[0].IsKnown, b.Others[1].IsKnown = false, false }},
		{name: "past the deadline everywhere", millis: [3]float64{75, 700, 700}, requests: [3]float64{120, 0, 0}},
		{name: "objective passed, deadline near", millis: nominal, requests: [3]float64{60, 3, 3}, least: 0.3, most: 0.7, change: func(_ *Balance, r *Request) { r.ToObjective, r.ToDeadline = -1, 100*time.Millisecond }},
		{name: "objective passed, deadline far", millis: nominal, requests: [3]float64{40, 3, 3}, change: func(_ *Balance, r *Request) { r.ToObjective = -1 }},
		{name: "neither objective nor deadline", millis: nominal, requests: [3]float64{60, 3, 3}, reason: Cost, change: func(_ *Balance, r *Request) { *r = Request{} }},
		{name: "large request", millis: nominal, requests: [3]float64{60, 3, 3}, least: 0.05, most: 0.2, change: func(_ *Balance, r *Request) { r.Bytes, r.MeanBytes = 9000, 1000 }},
		{name: "no own server", millis: nominal, least: 1, most: 1, change: func(b *Balance, _ *Request) { b.Own.Capacity = 0 }},
		{name: "no server, others full", millis: nominal, requests: [3]float64{0, 900, 900}, least: 1, most: 1, change: func(b *Balance, _ *Request) { b.Own.Capacity = 0 }},
		{name: "no server, others unknown", millis: nominal, reason: Cost, change: func(b *Balance, _ *Request) { b.Own.Capacity, b.Others[0].IsKnown = 0, false }},
		{name: "no server anywhere", millis: nominal, reason: Cost, change: func(b *Balance, _ *Request) { b.Own.Capacity, b.Others = 0, nil }},
	}
	for _, test := range tests {
		b, r := loads(test.millis, test.requests), Request{ToObjective: 120 * time.Millisecond, ToDeadline: 600 * time.Millisecond}
		if test.change != nil {
			test.change(b, &r)
		}
		random := rand.New(rand.NewPCG(1, 1))
		left := 0.0
		for range 2000 {
			switch d := b.Decide(r, random); {
			case d.Domain == "b" || d.Domain == "c":
				left++
			case d.Reason != test.reason || (d.Domain == "") != (test.reason != ""):
				t.Fatalf("%s: got %+v, want reason %q", test.name, d, test.reason)
			}
		}
		if got := left / 2000; got < test.least || got > test.most {
			t.Errorf("%s: got a fraction of %v, want %v to %v", test.name, got, test.least, test.most)
		}
	}
}

// TestDonorsShareRoom guards against two full domains that each fill the room of a third one.
func TestDonorsShareRoom(t *testing.T) {
	b := loads([3]float64{30, 30, 30}, [3]float64{60, 60, 0})
	random := rand.New(rand.NewPCG(1, 1))
	d := b.Decide(Request{ToObjective: 120 * time.Millisecond}, random)
	// All have 40 requests when waits are equal, so that each donor sends 20 of the 90 that
	// it gets within the horizon.
	if want := 20.0 / 90; math.Abs(d.Fraction-want) > 0.01 {
		t.Errorf("got a fraction of %v, want %v", d.Fraction, want)
	}
}

// TestState guards against log lines for single requests and against a state that doesn't end.
func TestState(t *testing.T) {
	var s State
	for ms := range 20000 {
		fraction := 0.0
		switch {
		case ms == 1000:
			fraction = 0.5 // One request.
		case ms > 3000 && ms < 9000 && ms%400 < 200:
			fraction = 0.4
		}
		changed := s.Observe(time.Duration(ms)*time.Millisecond, fraction)
		if want := ms > 3000 && ms < 9000; changed && s.Sending != want || ms == 8999 && !s.Sending {
			t.Errorf("at %d ms: got sending %v, want %v", ms, s.Sending, want)
		}
	}
	if s.Sending {
		t.Error("got sending after the end, want not")
	}
}

// TestTimes guards against times that are never forgotten, and against malformed reports.
func TestTimes(t *testing.T) {
	var times Times
	for _, ms := range []float64{75, 75, 75, math.NaN(), math.Inf(1), -1} {
		times.Observe(time.Second, ms)
		times.Merge(time.Second, NewTimes(0, ms, math.Inf(1)), 1)
		times.Merge(time.Second, NewTimes(0, 1, -1), 1)
	}
	for at, want := range map[time.Duration]float64{time.Second: 63.75, 4 * time.Second: 30} {
		if now := times.At(at); math.Abs(now.Mean(30)-want) > 0.5 {
			t.Errorf("at %v: got %v ms, want %v", at, now.Mean(30), want)
		}
	}
}
