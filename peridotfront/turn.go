package peridotfront

import (
	"time"

	"peridotstack/peridotturn"
)

// maxTurnsPerDatagram limits the servers in message.Turns, of up to 7 bytes each, so that
// the loads of 200 servers still fit into a datagram.
const maxTurnsPerDatagram = 128

// eventGaps holds the times between the events of a stream.
type eventGaps struct {
	// lastEventAt is when the last event arrived; zero before the first one.
	lastEventAt time.Time
	// longestGap is the longest time between two events, or to the first one.
	longestGap time.Duration
}

// recordEvent records the arrival of an event of a stream whose request arrived at arrivedAt.
func (g *eventGaps) recordEvent(now, arrivedAt time.Time) {
	if g.lastEventAt.IsZero() {
		g.lastEventAt = arrivedAt
	}
	g.longestGap = max(g.longestGap, now.Sub(g.lastEventAt))
	g.lastEventAt = now
}

// logEventGaps sets the fields of the log line of a stream that had events, and counts an
// interactive answer that paused for longer than the route allows.
func (x *exchange) logEventGaps() {
	if x.events == 0 {
		return
	}
	x.logFields["longest_gap_ms"] = x.longestGap
	if x.interactive && x.longestGap > x.route.Gap {
		x.front.metrics.Count("interactive_pauses")
	}
}

// classify decides whether the request is interactive.
func (x *exchange) classify() {
	f := x.front
	r := peridotturn.Request{PromptTokens: x.promptTokens(), MaxTokens: x.call.MaxTokens, Objective: x.route.Objective, Gap: x.route.Gap}
	f.mu.Lock()
	x.interactive = f.placer.IsInteractive(x.service, r)
	f.mu.Unlock()
	if x.interactive {
		f.metrics.Count("interactive_requests")
	}
}
