package peridotreserve

import "testing"

// TestClaims guards against claims that use the memory kept for small ones, or that leave
// memory reserved after a refusal or a release.
func TestClaims(t *testing.T) {
	const size, small = 800, 10
	p := NewPool(size, small)
	large, other, little := p.NewClaim(), p.NewClaim(), p.NewClaim()
	for _, test := range []struct {
		name  string
		claim *Claim
		to    int64
		want  bool
	}{
		{name: "small", claim: &large, to: 10, want: true},
		{name: "becomes large", claim: &large, to: 200, want: true},
		{name: "lower amount", claim: &large, to: 100, want: true},
		{name: "large beyond its part", claim: &other, to: 501, want: false},
		{name: "rest of its part", claim: &other, to: 500, want: true},
		{name: "one more byte", claim: &other, to: 501, want: false},
		{name: "small beside large", claim: &little, to: 10, want: true},
		{name: "small that becomes large", claim: &little, to: 11, want: false},
	} {
		if got := test.claim.Grow(test.to); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	large.Shrink(50)
	if !other.Grow(650) {
		t.Error("after shrinking: got no room, want some")
	}
	for _, c := range []*Claim{&large, &other, &little, &little} {
		c.Release()
	}
	if all := p.NewClaim(); !all.Grow(700) {
		t.Error("after all releases: got no room for the part of large claims, want it")
	}
}

// TestHeadMeter guards against heads whose lines or bytes are not counted, and against data
// behind a head that is.
func TestHeadMeter(t *testing.T) {
	for _, test := range []struct {
		name         string
		parts        []string
		bytes, lines int64
	}{
		{name: "whole", parts: []string{"GET / HTTP/1.1\r\nA: b\r\n\r\nbody\n\n"}, bytes: 24, lines: 3},
		{name: "in parts", parts: []string{"GET / HTTP/1.1\r", "\nA: b\r\n\r", "\nbody\n"}, bytes: 24, lines: 3},
		{name: "bare line feeds", parts: []string{"G\nA:\n\nbody\n"}, bytes: 6, lines: 3},
		{name: "empty lines before", parts: []string{"\r\n\r\n", "\r\n"}, bytes: 6, lines: 3},
		{name: "blanks are no end", parts: []string{"G\n \n\r\r\nA:\n"}, bytes: 10, lines: 4},
		{name: "without line end", parts: []string{"aaaa"}, bytes: 4},
	} {
		var m HeadMeter
		for _, part := range test.parts {
			m.Add([]byte(part))
		}
		if m.Bytes() != test.bytes || m.lines != test.lines {
			t.Errorf("%s: got %d bytes and %d lines, want %d and %d", test.name, m.Bytes(), m.lines, test.bytes, test.lines)
		}
	}
}

// TestLimits guards against bounds that exceed the machine or leave clients nothing.
func TestLimits(t *testing.T) {
	for _, test := range []struct {
		memory      int64
		descriptors int
		connections int
	}{
		{memory: 144 << 20, connections: 955},
		{memory: 144 << 20, descriptors: 400, connections: 100},
		{memory: 144 << 20, descriptors: 100, connections: 1},
		{memory: 0, descriptors: -1, connections: 955},
		{memory: 1 << 20, connections: 2},
	} {
		l := LimitsOf(test.memory, test.descriptors)
		if l.Connections != test.connections {
			t.Errorf("%d bytes, %d descriptors: got %d connections, want %d", test.memory, test.descriptors, l.Connections, test.connections)
		}
		if sum := l.BodyBytes + l.HeadBytes + l.UsageBytes + int64(l.Connections)*connectionCost; test.memory > 0 && (sum > l.RuntimeBytes || l.RuntimeBytes > test.memory) {
			t.Errorf("%d bytes, %d descriptors: got %+v, want bounds below the memory", test.memory, test.descriptors, l)
		}
	}
}
