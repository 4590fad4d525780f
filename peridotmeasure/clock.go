package peridotmeasure

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their times, those of one time in the order
// they were set.
type clock struct {
	now    time.Duration
	events eventQueue
	number int
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

// at sets an event; one in the past runs next.
func (c *clock) at(at time.Duration, run func()) {
	c.number++
	heap.Push(&c.events, event{at: max(at, c.now), number: c.number, run: run})
}

// after sets an event d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.at(c.now+d, run)
}

// every runs an event again and again until the time end.
func (c *clock) every(d, end time.Duration, run func()) {
	c.after(d, func() {
		run()
		if c.now+d <= end {
			c.every(d, end, run)
		}
	})
}

// run runs all events up to the time end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; it is for package heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; it is for package heap only.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
