package peridotadmit

import (
	"container/heap"
	"time"
)

// activeQueue is a heap of accounts, the one whose queue empties first in front.
type activeQueue []*account

func (q activeQueue) Len() int           { return len(q) }
func (q activeQueue) Less(i, j int) bool { return q[i].finish < q[j].finish }

func (q activeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds an *account; it is for package heap only.
func (q *activeQueue) Push(x any) {
	a := x.(*account)
	a.index = len(*q)
	*q = append(*q, a)
}

// Pop removes the last account; it is for package heap only.
func (q *activeQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.index = -1
	return a
}

// advance drains the virtual queues up to now. While nothing is queued the
// virtual time stands still, so nobody saves up an idle share.
func (d *Admitter) advance(now time.Duration) {
	left := (now - d.at).Seconds() * d.capacity
	d.at = max(d.at, now)
	for left > 0 && len(d.active) > 0 {
		first := d.active[0]
		need := (first.finish - d.virtual) * d.weight
		if need > left {
			d.virtual += left / d.weight
			return
		}
		left -= max(0, need)
		d.virtual = max(d.virtual, first.finish)
		d.deactivate(first)
	}
}

func (d *Admitter) deactivate(a *account) {
	if a.index < 0 {
		return
	}
	heap.Remove(&d.active, a.index)
	d.weight -= a.weight()
	if len(d.active) == 0 {
		d.weight = 0
	}
}

// charge lengthens the account's queue by cost, or shortens it by a negative one.
// Without a known capacity no queue would ever drain, so there is none.
func (d *Admitter) charge(a *account, cost float64) {
	if d.capacity <= 0 {
		return
	}
	a.finish = max(a.finish, d.virtual) + cost/a.weight()
	switch {
	case a.finish <= d.virtual:
		d.deactivate(a)
	case a.index >= 0:
		heap.Fix(&d.active, a.index)
	default:
		d.weight += a.weight()
		heap.Push(&d.active, a)
	}
}

// queueTime returns how long the account's queue takes to drain to the virtual
// time finish while the accounts that are active now stay so.
func (d *Admitter) queueTime(a *account, finish float64) time.Duration {
	if d.capacity <= 0 || finish <= d.virtual {
		return 0
	}
	weight := d.weight
	if a.index < 0 {
		weight += a.weight()
	}
	return seconds((finish - d.virtual) * weight / d.capacity)
}

func seconds(s float64) time.Duration {
	return min(time.Duration(min(s, 1e6)*float64(time.Second)), maxRetryAfter)
}
