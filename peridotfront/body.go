package peridotfront

import (
	"io"
	"net/http"
	"time"

	"peridotstack/peridotverdict"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyReadTimeout limits the time to read a request body.
	bodyReadTimeout = 10 * time.Second
	// bodyStallTimeout limits the time without a byte of it.
	bodyStallTimeout = 5 * time.Second
	// discardTimeout limits the time in which the server reads the rest of a body whose
	// request is refused, to use the connection again.
	discardTimeout = time.Second
	// smallBodyBytes is the size up to which a body may use the memory kept for small ones.
	smallBodyBytes = 64 << 10
	// minBodyBuffer and knownBodyBuffer are the sizes of the first buffer for a body of unknown
	// and of known length. Memory beyond that is used only for data that has arrived.
	minBodyBuffer   = 4 << 10
	knownBodyBuffer = 64 << 10
)

// maxBodyBytes returns the limit of the body.
func (x *exchange) maxBodyBytes() int64 {
	if n := x.config.Limits.BodyBytes; n != 0 {
		return int64(max(0, n))
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body into memory, because a retry sends it again.
func (x *exchange) readBody() *peridotverdict.Error {
	limit, length := x.maxBodyBytes(), x.request.ContentLength
	if length > limit {
		return tooLargeError(limit)
	}
	if length == 0 {
		return nil
	}
	first, most := int64(minBodyBuffer), limit+1 // A body of limit+1 bytes is too large.
	if length > 0 {
		first, most = knownBodyBuffer, length
	}
	if err := x.readUpTo(first, most); err != nil {
		return err
	}
	x.request.Trailer = nil // Trailers are not forwarded; they may be large.
	if int64(len(x.body)) > limit {
		return tooLargeError(limit)
	}
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Time{}); err != nil {
		x.logFields["deadline_error"] = err.Error()
	}
	return nil
}

// readUpTo reads the body up to its end, but at most the given number of bytes. Each larger
// buffer is reserved before it is allocated.
func (x *exchange) readUpTo(first, most int64) *peridotverdict.Error {
	control := http.NewResponseController(x.writer)
	end := time.Now().Add(bodyReadTimeout)
	for int64(len(x.body)) < most {
		if len(x.body) == cap(x.body) && !x.growBody(x.nextBuffer(first, most)) {
			x.front.metrics.Count("bodies_refused")
			x.front.noteMemoryPressure()
			return peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many request bodies are held", peridotverdict.RetryAfter(memoryRetryAfter))
		}
		// Without a deadline, a slow sender could keep its body in memory indefinitely.
		deadline := time.Now().Add(bodyStallTimeout)
		if deadline.After(end) {
			deadline = end
		}
		if err := control.SetReadDeadline(deadline); err != nil {
			x.logFields["deadline_error"] = err.Error()
		}
		n, err := x.request.Body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if err == io.EOF && (x.request.ContentLength < 0 || int64(len(x.body)) == most) {
			return nil
		}
		if err != nil {
			return peridotverdict.New(peridotverdict.RequestTimedOut, peridotverdict.NotRun, "the body did not arrive", peridotverdict.Cause(err))
		}
	}
	return nil
}

// nextBuffer returns the size of the next buffer. If the length is known and an eighth of the
// body has arrived, it takes the whole body, so that a large one needs little more than its
// own size.
func (x *exchange) nextBuffer(first, most int64) int64 {
	size := int64(cap(x.body))
	if x.request.ContentLength > 0 && size >= most/8 && size > 0 {
		return most
	}
	return min(most, max(first, 2*size))
}

// growBody moves the body to a buffer of the given size. It returns false if there is no
// memory for it. Both buffers count until the body has been copied.
func (x *exchange) growBody(size int64) bool {
	if !x.bodyClaim.Grow(int64(cap(x.body)) + size) {
		return false
	}
	larger := make([]byte, len(x.body), size)
	copy(larger, x.body)
	x.body = larger
	x.bodyClaim.Shrink(size)
	return true
}

// limitDiscard limits the time for which the server waits for the rest of the body of a
// refused request.
func (x *exchange) limitDiscard() {
	if x.request.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		x.logFields["deadline_error"] = err.Error()
	}
}

func tooLargeError(limit int64) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.NotRun, "the body is larger than "+byteCount(limit), peridotverdict.Field("Content-Length"))
}
