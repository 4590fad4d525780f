package peridotturn

import "time"

const (
	// ChunkTokens is the assumed number of prompt tokens that an engine reads between
	// two steps of the answers that it generates.
	ChunkTokens = 4096
	// laterChunks is the number of later chunks for whose time an interactive request is
	// charged, since it stays at the engine while further prompts arrive.
	laterChunks = 2.0
	// lateShare is the share of the demoted prefills that is expected to run during an
	// interactive answer.
	lateShare = 0.5
	// runningShare is the cost of each running request in chunks.
	runningShare = 0.25
	// interactiveShare is the cost of a prefill for each interactive answer that it
	// pauses, relative to the time of the prefill.
	interactiveShare = 0.5
)

// Engine is the load of an engine.
type Engine struct {
	// PrefillMillis is the time in ms to finish the prefills that are not demoted, and
	// LateMillis that of the demoted ones.
	PrefillMillis, LateMillis float64
	// ChunkMillis is the time in ms that a prefill of ChunkTokens takes there now.
	ChunkMillis float64
	// SlotMillis is the mean time in ms that a request holds a slot.
	SlotMillis float64
	// Running is the number of active requests, and Interactive that of the interactive
	// ones among them.
	Running, Interactive int
	// Slots is the number of requests that run at the same time; 0 or less means no limit.
	Slots int
}

// WaitMillis returns the time in ms until an engine begins an interactive request: it
// finishes a chunk, and admits the request before all others but interactive ones.
func (e Engine) WaitMillis() float64 {
	wait := min(e.PrefillMillis, e.ChunkMillis)
	if e.Slots <= 0 {
		return wait
	}
	return max(wait, float64(max(0, e.Interactive+1-e.Slots))*e.SlotMillis/float64(e.Slots))
}

// InteractiveCost returns the cost in ms of an interactive answer with the given maximum
// gap at an engine, beside the wait and the prefill: the pauses that other prefills make,
// and the work that is lost if it preempts a request because no slot is free. A gap of 0 or
// less means no limit.
func (e Engine) InteractiveCost(gap time.Duration) float64 {
	cost := e.PrefillMillis + lateShare*e.LateMillis + e.ChunkMillis*(laterChunks+runningShare*float64(e.Running))
	if e.Slots > 0 && e.Running >= e.Slots {
		cost += max(e.SlotMillis, e.ChunkMillis)
	}
	if gap > 0 && e.ChunkMillis > toMillis(gap) {
		cost += e.ChunkMillis // Each chunk makes the answer late.
	}
	return cost
}

// PauseCost returns the cost in ms of the pauses that a prefill of the given time makes in
// the interactive answers of an engine. It is at most the time of the prefill, so that an
// engine with interactive answers is still better than one whose queue is longer by a prompt.
func (e Engine) PauseCost(prefillMillis float64) float64 {
	return prefillMillis * min(1, interactiveShare*float64(e.Interactive))
}
