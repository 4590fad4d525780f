package peridotfront

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"peridotstack/peridotlink"
	"peridotstack/peridotreserve"
)

// TestCollector guards against responses that take memory that is not reserved, and against
// parts that are lost when there is none.
func TestCollector(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name   string
		body   io.Reader
		length int64
		pool   int64
		// size is the number of bytes collected, and claimed the most that may be reserved.
		size    int
		claimed int64
		isFull  bool
		err     error
	}{
		{name: "empty", body: strings.NewReader(""), length: 0, pool: 1 << 30},
		{name: "no body for HEAD", body: strings.NewReader(""), length: 1000, pool: 1 << 30, claimed: forwardBufferBytes},
		{name: "known length", body: bytes.NewReader(make([]byte, 1<<20)), length: 1 << 20, pool: 1 << 30, size: 1 << 20, claimed: 1 << 20},
		{name: "unknown length", body: bytes.NewReader(make([]byte, 1<<20)), length: -1, pool: 1 << 30, size: 1 << 20, claimed: 2 << 20},
		{name: "byte by byte", body: iotest.OneByteReader(strings.NewReader("abc")), length: -1, pool: 1 << 30, size: 3, claimed: forwardBufferBytes},
		{name: "no memory at all", body: strings.NewReader("abc"), length: 3, pool: 2, isFull: true},
		{name: "no memory for the whole", body: bytes.NewReader(make([]byte, 1<<20)), length: 1 << 20, pool: 512 << 10, size: 128 << 10, claimed: 128 << 10, isFull: true},
		{name: "too long", body: bytes.NewReader(make([]byte, maxAnswerBytes+2)), length: -1, pool: 1 << 30, size: maxAnswerBytes + 1, claimed: 2 * maxAnswerBytes, err: peridotlink.ErrTooLong},
		{name: "too long as announced", body: bytes.NewReader(make([]byte, maxAnswerBytes+2)), length: maxAnswerBytes + 2, pool: 1 << 30, size: maxAnswerBytes + 1, claimed: 2 * maxAnswerBytes, err: peridotlink.ErrTooLong},
		{name: "broken", body: iotest.TimeoutReader(iotest.ErrReader(broken)), length: 5, pool: 1 << 30, claimed: forwardBufferBytes, err: broken},
	} {
		pool := peridotreserve.NewPool(test.pool, smallBodyBytes)
		claim := pool.NewClaim()
		c := &collector{claim: &claim}
		err := c.read(test.body, test.length)
		if !errors.Is(err, test.err) || c.isFull != test.isFull || len(c.data) != test.size {
			t.Errorf("%s: got %d bytes, full %v, %v, want %d, %v, %v", test.name, len(c.data), c.isFull, err, test.size, test.isFull, test.err)
		}
		if int64(cap(c.data)) > test.claimed {
			t.Errorf("%s: got a buffer of %d bytes, want %d at most", test.name, cap(c.data), test.claimed)
		}
		claim.Release()
		if all := pool.NewClaim(); !all.Grow(test.pool - test.pool/8) {
			t.Errorf("%s: got memory reserved after the release, want none", test.name)
		}
	}
}
