package peridotadmit

import (
	"container/heap"
	"time"
)

// activeQueue is a heap of accounts. The account whose queue becomes empty first
// is at the front.
type activeQueue []*account

func (q activeQueue) Len() int           { return len(q) }
func (q activeQueue) Less(i, j int) bool { return q[i].virtualFinish < q[j].virtualFinish }

func (q activeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *activeQueue) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *activeQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.heapIndex = -1
	return a
}

// advance drains the virtual queues up to now. The virtual time stands still
// while all queues are empty, so no account accumulates an unused share.
func (d *Admitter) advance(now time.Duration) {
	available := (now - d.updatedAt).Seconds() * d.capacity
	d.updatedAt = max(d.updatedAt, now)
	for available > 0 && len(d.active) > 0 {
		first := d.active[0]
		drainCost := (first.virtualFinish - d.virtualTime) * d.activeWeight
		if drainCost > available {
			d.virtualTime += available / d.activeWeight
			return
		}
		available -= max(0, drainCost)
		d.virtualTime = max(d.virtualTime, first.virtualFinish)
		d.deactivate(first)
	}
}

// deactivate removes the account from the active queue if it is there.
func (d *Admitter) deactivate(a *account) {
	if a.heapIndex < 0 {
		return
	}
	heap.Remove(&d.active, a.heapIndex)
	d.activeWeight -= a.weight()
	if len(d.active) == 0 {
		d.activeWeight = 0
	}
}

// chargeQueue lengthens the account's queue by cost, or shortens it if cost is
// negative. While the capacity is unknown it does nothing, because the queue
// would never drain.
func (d *Admitter) chargeQueue(a *account, cost float64) {
	if d.capacity <= 0 {
		return
	}
	a.virtualFinish = max(a.virtualFinish, d.virtualTime) + cost/a.weight()
	switch {
	case a.virtualFinish <= d.virtualTime:
		d.deactivate(a)
	case a.heapIndex >= 0:
		heap.Fix(&d.active, a.heapIndex)
	default:
		d.activeWeight += a.weight()
		heap.Push(&d.active, a)
	}
}

// queueDrainTime returns how long it takes until the virtual time reaches
// finish, the end of the account's queue, if the set of active accounts stays
// the same.
func (d *Admitter) queueDrainTime(a *account, finish float64) time.Duration {
	if d.capacity <= 0 || finish <= d.virtualTime {
		return 0
	}
	weight := d.activeWeight
	if a.heapIndex < 0 {
		weight += a.weight()
	}
	return durationOf((finish - d.virtualTime) * weight / d.capacity)
}

// durationOf converts seconds to a duration of at most maxRetryAfter.
func durationOf(s float64) time.Duration {
	return min(time.Duration(min(s, 1e6)*float64(time.Second)), maxRetryAfter)
}
