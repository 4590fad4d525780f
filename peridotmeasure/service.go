package peridotmeasure

import (
	"slices"
	"time"
)

const (
	callDuration    = 30 * time.Millisecond
	maxRunningCalls = 8
)

// plainService is the fake of a server of the plain service. Each call takes
// callDuration, and at most maxRunningCalls run at the same time.
type plainService struct {
	id      string
	domain  string
	clock   *clock
	down    bool
	running []*call
	waiting []*call
}

// call is one attempt of a call to the plain service.
type call struct {
	record  *Record
	ended   bool
	onStart func()
	onDone  func()
	onFail  func()
}

func (p *plainService) enqueue(c *call) {
	p.waiting = append(p.waiting, c)
	p.startCalls()
}

// startCalls starts waiting calls in order of arrival, up to maxRunningCalls.
func (p *plainService) startCalls() {
	for len(p.waiting) > 0 && len(p.running) < maxRunningCalls {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running = append(p.running, c)
		c.onStart()
		p.clock.after(callDuration, func() { p.finish(c) })
	}
}

func (p *plainService) finish(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	p.running = slices.DeleteFunc(p.running, func(other *call) bool { return other == c })
	c.onDone()
	p.startCalls()
}

// fail takes the server down. All of its calls fail.
func (p *plainService) fail() {
	p.down = true
	lost := slices.Concat(p.running, p.waiting)
	p.running, p.waiting = nil, nil
	for _, c := range lost {
		c.ended = true
		c.onFail()
	}
}
