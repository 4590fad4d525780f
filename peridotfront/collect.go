package peridotfront

import (
	"io"

	"peridotstack/peridotlink"
	"peridotstack/peridotreserve"
)

const (
	// forwardBufferBytes is the buffer for a response that is forwarded as it arrives, and the
	// memory reserved for a whole response before its request is sent.
	forwardBufferBytes = 16 << 10
	// minForwardBuffer is the buffer if even that can't be reserved, since the request has run.
	minForwardBuffer = 4 << 10
)

// collector collects a response. Each larger buffer is reserved before it is allocated.
type collector struct {
	claim *peridotreserve.Claim
	// held is what the claim holds for an earlier response to the same request.
	held int64
	data []byte
	// isFull is set once there was no memory for a larger buffer.
	isFull bool
}

// read reads a response of the given length, -1 if unknown, to its end or until there is no
// memory for more of it. It returns peridotlink.ErrTooLong if it is longer than
// maxAnswerBytes.
func (c *collector) read(body io.Reader, length int64) error {
	most := int64(maxAnswerBytes + 1)
	if length >= 0 {
		most = min(most, length)
	}
	for int64(len(c.data)) < most {
		if len(c.data) == cap(c.data) && !c.grow(c.nextBuffer(most)) {
			c.isFull = true
			return nil
		}
		n, err := body.Read(c.data[len(c.data):cap(c.data)])
		c.data = c.data[:len(c.data)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if len(c.data) > maxAnswerBytes {
		return peridotlink.ErrTooLong
	}
	return nil
}

// nextBuffer returns the size of the next buffer for a response of at most the given size.
// One of known length gets a buffer for all of it once an eighth has arrived.
func (c *collector) nextBuffer(most int64) int64 {
	size := int64(cap(c.data))
	if most <= maxAnswerBytes && size >= most/8 && size > 0 {
		return most
	}
	return min(most, max(forwardBufferBytes, 2*size))
}

// grow moves the data to a buffer of the given size. It returns false if there is no memory.
// Both buffers count until the data has been copied.
func (c *collector) grow(size int64) bool {
	if !c.claim.Grow(c.held + int64(cap(c.data)) + size) {
		return false
	}
	larger := make([]byte, len(c.data), size)
	copy(larger, c.data)
	c.data = larger
	c.claim.Shrink(c.held + max(forwardBufferBytes, size))
	return true
}

// drop frees the data, and returns a buffer to forward the rest of the response.
func (c *collector) drop() []byte {
	c.data = nil
	if !c.claim.Grow(c.held + forwardBufferBytes) {
		return make([]byte, minForwardBuffer)
	}
	c.claim.Shrink(c.held + forwardBufferBytes)
	return make([]byte, forwardBufferBytes)
}
