package peridotmeasure

import (
	"slices"
	"time"
)

const (
	callTime    = 30 * time.Millisecond
	callsAtOnce = 8
)

// plain is the fake of a plain service: calls of one length, a few at once.
type plain struct {
	id      string
	domain  string
	clock   *clock
	down    bool
	running []*call
	waiting []*call
}

// call is one attempt of a call.
type call struct {
	record *Record
	ended  bool
	onRun  func()
	onEnd  func()
	onFail func()
}

func (p *plain) take(c *call) {
	p.waiting = append(p.waiting, c)
	p.start()
}

func (p *plain) start() {
	for len(p.waiting) > 0 && len(p.running) < callsAtOnce {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running = append(p.running, c)
		c.onRun()
		p.clock.after(callTime, func() { p.end(c) })
	}
}

func (p *plain) end(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	p.running = slices.DeleteFunc(p.running, func(other *call) bool { return other == c })
	c.onEnd()
	p.start()
}

func (p *plain) fail() {
	p.down = true
	lost := slices.Concat(p.running, p.waiting)
	p.running, p.waiting = nil, nil
	for _, c := range lost {
		c.ended = true
		c.onFail()
	}
}
