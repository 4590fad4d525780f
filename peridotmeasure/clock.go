package peridotmeasure

import (
	"container/heap"
	"time"
)

// clock is a simulated clock. It runs callbacks in the order of their times, and
// callbacks of the same time in the order in which they were scheduled.
type clock struct {
	now       time.Duration
	callbacks callbackQueue
	lastSeq   int
}

type callback struct {
	at   time.Duration
	seq  int
	call func()
}

// at schedules a callback for a time. A callback for a time in the past runs
// now, after those already scheduled for now.
func (c *clock) at(at time.Duration, call func()) {
	c.lastSeq++
	heap.Push(&c.callbacks, callback{at: max(at, c.now), seq: c.lastSeq, call: call})
}

// after schedules a callback d from now.
func (c *clock) after(d time.Duration, call func()) {
	c.at(c.now+d, call)
}

// every schedules a callback at each interval from now until the time end.
func (c *clock) every(interval, end time.Duration, call func()) {
	c.after(interval, func() {
		call()
		if c.now+interval <= end {
			c.every(interval, end, call)
		}
	})
}

// run runs all callbacks up to the time end and sets the clock to end.
func (c *clock) run(end time.Duration) {
	for len(c.callbacks) > 0 && c.callbacks[0].at <= end {
		cb := heap.Pop(&c.callbacks).(callback)
		c.now = cb.at
		cb.call()
	}
	c.now = end
}

type callbackQueue []callback

func (q callbackQueue) Len() int { return len(q) }

func (q callbackQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q callbackQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a callback; it is for package heap only.
func (q *callbackQueue) Push(x any) { *q = append(*q, x.(callback)) }

// Pop removes the last callback; it is for package heap only.
func (q *callbackQueue) Pop() any {
	last := len(*q) - 1
	cb := (*q)[last]
	(*q)[last] = callback{}
	*q = (*q)[:last]
	return cb
}
