package peridotfront

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// minReadInterval is a lower bound of the time between two reads of the same rows for
	// requests that wait. It and readIntervalPerFront multiplied by the number of fronts are
	// also lower bounds of the mean time between sustained reads.
	minReadInterval      = 100 * time.Millisecond
	readIntervalPerFront = 5 * time.Millisecond
	// readBurst is how many reads may come before they are limited as sustained ones.
	readBurst = 10
)

// readInterval returns the mean time between sustained reads of the same rows for requests
// that wait.
func (f *Front) readInterval() time.Duration {
	return max(minReadInterval, time.Duration(f.peers.frontCount())*readIntervalPerFront)
}

// awaitedReads lets requests wait for a read of rows that begins after they came: one that
// began before may lack what has been stored since. It is safe for concurrent use. Its times
// are values of Front.now.
type awaitedReads struct {
	// wanted gets a value when a request waits.
	wanted chan struct{}

	mu       sync.Mutex
	isWanted bool
	beganAt  time.Duration
	// spent is how much of readBurst was used up at spentAt.
	spent   float64
	spentAt time.Duration
	// next is the read that begins next.
	next *awaitedRead
}

// awaitedRead is a read of rows. ended is closed at its end; succeeded must not be read before.
type awaitedRead struct {
	ended     chan struct{}
	succeeded bool
}

func newAwaitedReads() *awaitedReads {
	return &awaitedReads{wanted: make(chan struct{}, 1), next: &awaitedRead{ended: make(chan struct{})}}
}

// due reports whether a request waits for a read and the next one may begin. interval is the
// mean time between sustained reads.
func (r *awaitedReads) due(now, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.untilNext(now, interval) <= 0 && r.isWanted
}

// until returns how long it takes until the next read may begin.
func (r *awaitedReads) until(now, interval time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.untilNext(now, interval))
}

// untilDue returns how long it takes until a read is due, limit at most or if no request
// waits.
func (r *awaitedReads) untilDue(now, interval, limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isWanted {
		return limit
	}
	return min(limit, max(0, r.untilNext(now, interval)))
}

// untilNext is like until, but negative if the next read could have begun before. The caller
// must hold r.mu.
func (r *awaitedReads) untilNext(now, interval time.Duration) time.Duration {
	r.spent = max(0, r.spent-float64(now-r.spentAt)/float64(interval))
	r.spentAt = now
	untilRegained := time.Duration(math.Ceil((r.spent + 1 - readBurst) * float64(interval)))
	return max(r.beganAt+minReadInterval-now, untilRegained)
}

// begin records the begin of a read and returns the function that records its end.
func (r *awaitedReads) begin(now time.Duration) (end func(succeeded bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.next
	if r.isWanted {
		r.spent = min(r.spent+1, readBurst)
	}
	r.beganAt, r.isWanted, r.next = now, false, &awaitedRead{ended: make(chan struct{})}
	return func(succeeded bool) {
		read.succeeded = succeeded
		close(read.ended)
	}
}

// want asks for a read and returns the one that begins next.
func (r *awaitedReads) want() *awaitedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isWanted = true
	return r.next
}

// await waits for a read that begins from now on and succeeds, for timeout at most. It
// reports whether there was one.
func (r *awaitedReads) await(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	read := r.want()
	notify(r.wanted)
	for {
		select {
		case <-read.ended:
			if read.succeeded {
				return true
			}
			read = r.want() // Without notify, or failures would follow each other at once.
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
